package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/valyala/fasthttp"
)

// PlatformFaults are the faults injected into a Platform.
type PlatformFaults struct {
	// Down answers every request with 503 Service Unavailable.
	Down bool `json:"down"`
	// DelayMillis delays every answer.
	DelayMillis int `json:"slow"`
	// LostAnswerFraction is the fraction of writes that take effect but are answered with
	// an error.
	LostAnswerFraction float64 `json:"lose"`
	// VMListLagMillis is the age of the VM list in answers.
	VMListLagMillis int `json:"lag"`
}

// Platform is a stand-in for the table service, the object store and the VM list.
type Platform struct {
	*server

	mu              sync.Mutex // guards the fields below
	faults          PlatformFaults
	rows            map[string]map[string]item
	committedTokens map[string]bool
	objects         map[string][]byte
	vms             map[string]platform.VM
	// listHistory holds earlier states of vms for VMListLagMillis.
	listHistory []listSnapshot
	random      *rand.Rand
	reads       int
	writes      int
}

type listSnapshot struct {
	at  time.Time
	vms []platform.VM
}

// PlatformCounts counts the operations on tables, objects and the VM list.
type PlatformCounts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// NewPlatform starts a platform at an address.
func NewPlatform(address string) (*Platform, error) {
	p := &Platform{
		rows:            make(map[string]map[string]item),
		committedTokens: make(map[string]bool),
		objects:         make(map[string][]byte),
		vms:             make(map[string]platform.VM),
		random:          rand.New(rand.NewPCG(1, 1)),
	}
	s, err := listen(address, p.handle)
	if err != nil {
		return nil, err
	}
	p.server = s
	return p, nil
}

// Settings returns the settings with which a process reaches p.
func (p *Platform) Settings() platform.Settings { return PlatformSettings(p.Address()) }

// PlatformSettings returns the settings for a Platform at an address.
func PlatformSettings(address string) platform.Settings {
	return platform.Settings{
		TablesURL:  "http://" + address + "/tables",
		ObjectsURL: "http://" + address + "/objects",
		VMsURL:     "http://" + address + "/vms",
		Table:      "marjoramrock",
		Bucket:     "marjoramrock",
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// PutVM adds a VM to the list or updates it.
func (p *Platform) PutVM(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
	p.recordList()
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.recordList()
}

// Counts returns the number of operations so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCounts{Reads: p.reads, Writes: p.writes}
}

func (p *Platform) recordList() {
	view := listSnapshot{at: time.Now()}
	for _, vm := range p.vms {
		view.vms = append(view.vms, vm)
	}
	p.listHistory = append(p.listHistory, view)
	if len(p.listHistory) > 1000 {
		p.listHistory = p.listHistory[500:]
	}
}

func (p *Platform) laggedVMs() []platform.VM {
	limit := time.Now().Add(-time.Duration(p.faults.VMListLagMillis) * time.Millisecond)
	for i := len(p.listHistory) - 1; i >= 0; i-- {
		if !p.listHistory[i].at.After(limit) {
			return slices.Clone(p.listHistory[i].vms)
		}
	}
	return nil
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/control/") {
		p.handleControl(ctx, strings.TrimPrefix(path, "/control/"))
		return
	}
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.DelayMillis > 0 {
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	}
	if faults.Down {
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	switch {
	case strings.HasPrefix(path, "/tables"):
		p.handleTable(ctx)
	case strings.HasPrefix(path, "/objects/"):
		p.handleObject(ctx, strings.TrimPrefix(path, "/objects/"))
	case path == "/vms":
		p.handleList(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// handleList answers with the VM list, or with 304 Not Modified if the caller has it.
func (p *Platform) handleList(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	list := platform.VMList{VMs: p.laggedVMs()}
	p.reads++
	p.mu.Unlock()
	slices.SortFunc(list.VMs, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(ctx, fasthttp.StatusOK, list)
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(ctx.Response.Body()))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

// handleControl changes the faults and the VM list, or reports the counts, for another
// process.
func (p *Platform) handleControl(ctx *fasthttp.RequestCtx, name string) {
	switch name {
	case "faults":
		var f PlatformFaults
		if decodeBody(ctx, &f) {
			p.SetFaults(f)
		}
	case "put":
		var vm platform.VM
		if decodeBody(ctx, &vm) {
			p.PutVM(vm)
		}
	case "drop":
		var vm platform.VM
		if decodeBody(ctx, &vm) {
			p.RemoveVM(vm.Name)
		}
	case "counts":
		writeJSON(ctx, fasthttp.StatusOK, p.Counts())
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}

func (p *Platform) handleObject(ctx *fasthttp.RequestCtx, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.IsPut() {
		p.writes++
		p.objects[name] = append([]byte(nil), ctx.PostBody()...)
		return
	}
	p.reads++
	data, ok := p.objects[name]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		ctx.SetContentType("application/xml")
		ctx.SetBodyString(`<?xml version="1.0"?><Error><Code>NoSuchKey</Code><Message>absent</Message></Error>`)
		return
	}
	ctx.SetBody(data)
}
