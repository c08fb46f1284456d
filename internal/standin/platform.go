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

// PlatformFaults are the switches of a Platform.
type PlatformFaults struct {
	// Down refuses every exchange.
	Down bool `json:"down"`
	// DelayMillis delays every answer, in milliseconds.
	DelayMillis int `json:"slow"`
	// LostAnswerFraction is the part of writes that take effect and answer with a failure.
	LostAnswerFraction float64 `json:"lose"`
	// VMListLagMillis is how old the VM list is, in milliseconds.
	VMListLagMillis int `json:"lag"`
}

// Platform stands in for the table service, object store and VM list.
type Platform struct {
	*server

	mu      sync.Mutex // guards the fields below
	faults  PlatformFaults
	rows    map[string]map[string]item
	tokens  map[string]bool
	objects map[string][]byte
	vms     map[string]platform.VM
	// lists holds older views of vms, for the lag.
	lists  []listView
	random *rand.Rand
	reads  int
	writes int
}

type listView struct {
	at  time.Time
	vms []platform.VM
}

// PlatformCounts is what a Platform has served.
type PlatformCounts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// NewPlatform starts a platform at an address.
func NewPlatform(address string) (*Platform, error) {
	p := &Platform{
		rows:    make(map[string]map[string]item),
		tokens:  make(map[string]bool),
		objects: make(map[string][]byte),
		vms:     make(map[string]platform.VM),
		random:  rand.New(rand.NewPCG(1, 1)),
	}
	s, err := listen(address, p.handle)
	if err != nil {
		return nil, err
	}
	p.server = s
	return p, nil
}

// Settings returns what a process needs to reach p.
func (p *Platform) Settings() platform.Settings { return PlatformSettings(p.Address()) }

// PlatformSettings returns the settings for a Platform at an address.
func PlatformSettings(address string) platform.Settings {
	return platform.Settings{
		Tables:  "http://" + address + "/tables",
		Objects: "http://" + address + "/objects",
		VMs:     "http://" + address + "/vms",
		Table:   "marjoramrock",
		Bucket:  "marjoramrock",
	}
}

// SetFaults changes the switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// PutVM adds or changes a listed VM.
func (p *Platform) PutVM(vm platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
	p.record()
}

// RemoveVM removes a VM from the list: it is gone.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
	p.record()
}

// Counts returns the exchanges served so far.
func (p *Platform) Counts() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return PlatformCounts{Reads: p.reads, Writes: p.writes}
}

func (p *Platform) record() {
	view := listView{at: time.Now()}
	for _, vm := range p.vms {
		view.vms = append(view.vms, vm)
	}
	p.lists = append(p.lists, view)
	if len(p.lists) > 1000 {
		p.lists = p.lists[500:]
	}
}

func (p *Platform) view() []platform.VM {
	limit := time.Now().Add(-time.Duration(p.faults.VMListLagMillis) * time.Millisecond)
	for i := len(p.lists) - 1; i >= 0; i-- {
		if !p.lists[i].at.After(limit) {
			return slices.Clone(p.lists[i].vms)
		}
	}
	return nil
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/control/") {
		p.control(ctx, strings.TrimPrefix(path, "/control/"))
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
		p.table(ctx)
	case strings.HasPrefix(path, "/objects/"):
		p.object(ctx, strings.TrimPrefix(path, "/objects/"))
	case path == "/vms":
		p.list(ctx)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// list answers with the VMs, or that they are as the caller has them.
func (p *Platform) list(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	list := platform.List{VMs: p.view()}
	p.reads++
	p.mu.Unlock()
	slices.SortFunc(list.VMs, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	reply(ctx, fasthttp.StatusOK, list)
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(ctx.Response.Body()))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

// control changes the stand-in from another process.
func (p *Platform) control(ctx *fasthttp.RequestCtx, what string) {
	switch what {
	case "faults":
		var f PlatformFaults
		if accept(ctx, &f) {
			p.SetFaults(f)
		}
	case "put":
		var vm platform.VM
		if accept(ctx, &vm) {
			p.PutVM(vm)
		}
	case "drop":
		var vm platform.VM
		if accept(ctx, &vm) {
			p.RemoveVM(vm.Name)
		}
	case "counts":
		reply(ctx, fasthttp.StatusOK, p.Counts())
	default:
		ctx.Error("no such control", fasthttp.StatusNotFound)
	}
}

func (p *Platform) object(ctx *fasthttp.RequestCtx, name string) {
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
