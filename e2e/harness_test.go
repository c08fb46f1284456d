// Package e2e runs routers as separate processes on loopback, injects faults into
// them and the services they depend on, and checks the recorded histories.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/loopback"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

var (
	faultSeed     = flag.Uint64("seed", 1, "seed of the fault schedules")
	faultDuration = flag.Duration("length", 6*time.Second, "duration of each fault schedule")
)

var binaryPath string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "marjoramrock-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryPath = filepath.Join(dir, "marjoramrock")
	out, err := exec.Command("go", "build", "-o", binaryPath, "../cmd/marjoramrock").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// fleetOptions describes the deployment of a test.
type fleetOptions struct {
	zones          []string
	routers        int
	enginesPerZone int
	engineOptions  standin.EngineOptions
	// maxAnswerTokens is the limit of the model, by default 4096.
	maxAnswerTokens int
	// editDeployment changes the deployment before it is committed.
	editDeployment func(*declare.Deployment)
	// log is the routers' log level.
	log string
}

// vm is an entry VM and its router process.
type vm struct {
	name, zone                               string
	entryAddress, peerAddress, statusAddress string
	settingsPath                             string
	cmd                                      *exec.Cmd
	log                                      *bytes.Buffer
}

// fleet is a running deployment under test.
type fleet struct {
	t              testing.TB
	dir            string
	platform       *standin.Platform
	platformClient *platform.Client
	engines        map[string]*standin.Engine
	services       map[string]*standin.Service
	weightStore    *standin.WeightStore
	vms            []*vm
	keys           map[string]string
	doc            config.Document
	httpClient     *http.Client
	log            string
}

// Names of the teams and the model in every test deployment.
const (
	teamLarge = "large"
	teamSmall = "small"
	modelName = "atlas"
)

func newFleet(t testing.TB, s fleetOptions) *fleet {
	t.Helper()
	if len(s.zones) == 0 {
		s.zones = []string{"zone-a", "zone-b"}
	}
	if s.engineOptions.Slots == 0 {
		s.engineOptions.Slots = 16
	}
	if s.maxAnswerTokens == 0 {
		s.maxAnswerTokens = 4096
	}
	if s.engineOptions.CacheBlocks == 0 {
		s.engineOptions.CacheBlocks = 200
	}
	f := &fleet{
		t: t, dir: t.TempDir(), log: s.log,
		engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{},
		weightStore: &standin.WeightStore{}, keys: map[string]string{},
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	var err error
	f.platform, err = standin.NewPlatform("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(f.platform.Close)
	f.platformClient = platform.NewClient(f.platform.Settings(), nil)
	f.startBackends(s)
	f.writeCerts()
	for i := range s.routers {
		f.vms = append(f.vms, f.newVM(i, s.zones[i%len(s.zones)]))
	}
	t.Cleanup(f.killAll)
	for _, v := range f.vms {
		f.startRouter(v)
	}
	f.awaitReady()
	return f
}

func (f *fleet) startBackends(s fleetOptions) {
	d := declare.New()
	for _, zone := range s.zones {
		d.Zone(zone, 1/float64(len(s.zones)))
	}
	d.Model(modelName, "v1").Bytes(3).Limit(s.maxAnswerTokens)
	for z, zone := range s.zones {
		for i := range s.enginesPerZone {
			f.startEngine(d, s, zone, fmt.Sprintf("engine-%d-%d", z+1, i+1))
		}
	}
	desk := d.Service("desk")
	for i := range 2 {
		name := fmt.Sprintf("desk-%d", i+1)
		v, err := standin.NewService("127.0.0.1:0")
		require.NoError(f.t, err)
		f.t.Cleanup(v.Close)
		f.services[name] = v
		zone := s.zones[i%len(s.zones)]
		desk.Server(name, zone, v.Address())
		f.platform.PutVM(platform.VM{Name: name, Zone: zone, Role: platform.RoleBackend, State: platform.StateLive})
	}
	d.Team(teamLarge).Rate(1e6).Burst(1e7)
	d.Team(teamSmall).Rate(1000).Burst(4000)
	d.ModelRoute("captions", modelName).Deadline(30 * time.Second).Wait(3 * time.Second)
	d.ServiceRoute("bookings", "/bookings", "desk").Once().Deadline(4 * time.Second).Wait(2 * time.Second)
	d.ServiceRoute("lookups", "/lookups/", "desk").Deadline(4 * time.Second)
	d.ServiceRoute("open", "/open", "desk").Open().Deadline(4 * time.Second)
	if s.editDeployment != nil {
		s.editDeployment(d)
	}
	for _, declared := range d.Document().Teams {
		secret, digest, err := operator.NewSecret()
		require.NoError(f.t, err)
		f.keys[declared.Name] = secret
		d.Key(declared.Name, declared.Name, digest)
	}
	f.doc = d.Document()
	_, err := operator.Commit(context.Background(), f.platformClient, operator.ReplaceConfig(f.doc, 0))
	require.NoError(f.t, err)
}

func (f *fleet) startEngine(d *declare.Deployment, s fleetOptions, zone, name string) {
	o := s.engineOptions
	o.Name, o.Model, o.Version, o.Seed = name, modelName, "v1", *faultSeed
	e, err := standin.NewEngine("127.0.0.1:0", o, f.weightStore)
	require.NoError(f.t, err)
	f.t.Cleanup(e.Close)
	f.engines[name] = e
	declared := d.Engine(name, zone, modelName, e.Address()).Slots(o.Slots)
	if o.SupportsFencing {
		declared.Fenced()
	}
	f.platform.PutVM(platform.VM{Name: name, Zone: zone, Role: platform.RoleBackend, State: platform.StateLive})
}

func (f *fleet) writeCerts() {
	authority, err := peer.NewAuthority()
	require.NoError(f.t, err)
	pair, err := authority.Issue()
	require.NoError(f.t, err)
	for name, raw := range map[string][]byte{"ca.pem": authority.Cert(), "vm.pem": pair.Cert, "vm.key": pair.Key} {
		require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, name), raw, 0o600))
	}
}

// newVM returns a VM with a loopback IP address of its own.
func (f *fleet) newVM(i int, zone string) *vm {
	host := fmt.Sprintf("127.0.0.%d", 11+i)
	v := &vm{
		name: fmt.Sprintf("vm-%d", i+1), zone: zone, log: &bytes.Buffer{},
	}
	v.drawAddresses(f.t, host)
	f.writeSettings(v, nil)
	return v
}

func (f *fleet) writeSettings(v *vm, seeds []string) {
	s := router.Settings{
		VM: v.name, Zone: v.zone, EntryAddress: v.entryAddress, PeerAddress: v.peerAddress, StatusAddress: v.statusAddress,
		Platform: f.platform.Settings(),
		TLS: peer.CertFiles{
			Cert: filepath.Join(f.dir, "vm.pem"), Key: filepath.Join(f.dir, "vm.key"), CA: filepath.Join(f.dir, "ca.pem"),
		},
		Seeds: seeds, LogLevel: f.log, AllowFaults: true,
		DrainDelay: config.Duration(300 * time.Millisecond), AbsenceTimeout: config.Duration(2 * time.Second),
	}
	raw, err := json.Marshal(s)
	require.NoError(f.t, err)
	v.settingsPath = filepath.Join(f.dir, v.name+".json")
	require.NoError(f.t, os.WriteFile(v.settingsPath, raw, 0o600))
}

func (v *vm) drawAddresses(t testing.TB, host string) {
	v.entryAddress, v.peerAddress, v.statusAddress = loopback.FreeAddressOn(t, host), loopback.FreeAddressOn(t, host), loopback.FreeAddressOn(t, host)
}

// The addresses of a VM are drawn before any of them is bound, so a repeated one fails the
// listener that comes second.
func TestAddressesOfAVMAreDistinct(t *testing.T) {
	const vms = 700
	seen := make(map[string]bool, 3*vms)
	for range vms {
		v := &vm{}
		v.drawAddresses(t, "127.0.0.11")
		for _, address := range []string{v.entryAddress, v.peerAddress, v.statusAddress} {
			require.False(t, seen[address], address)
			seen[address] = true
		}
	}
}

// startRouter starts the router of a VM and adds the VM to the platform's list.
func (f *fleet) startRouter(v *vm) {
	v.cmd = exec.Command(binaryPath, "router", "--settings", v.settingsPath)
	v.cmd.Stderr = v.log
	require.NoError(f.t, v.cmd.Start())
	f.platform.PutVM(platform.VM{
		Name: v.name, Zone: v.zone, Role: platform.RoleRouter, State: platform.StateLive, PeerAddress: v.peerAddress, StatusAddress: v.statusAddress,
	})
}

// kill ends a router with SIGKILL.
func (f *fleet) kill(v *vm) {
	if v.cmd == nil {
		return
	}
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
	v.cmd = nil
}

func (f *fleet) killAll() {
	for _, v := range f.vms {
		f.kill(v)
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", v.name, lastLogLines(v.log.String(), 40))
		}
	}
}

// lastLogLines returns the last lines of a log. It omits the frequent lines about
// slots that were taken.
func lastLogLines(text string, lines int) string {
	var all []string
	for _, line := range strings.Split(text, "\n") {
		if !strings.Contains(line, "slot taken") {
			all = append(all, line)
		}
	}
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// freeze stops a router with SIGSTOP; thaw continues it.
func (f *fleet) freeze(v *vm) { f.signal(v, syscall.SIGSTOP) }
func (f *fleet) thaw(v *vm)   { f.signal(v, syscall.SIGCONT) }

func (f *fleet) signal(v *vm, s syscall.Signal) {
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// setLinkFaults sets which links of one router are cut.
func (f *fleet) setLinkFaults(v *vm, c router.CutLinks) {
	raw, err := json.Marshal(c)
	require.NoError(f.t, err)
	resp, err := f.httpClient.Post("http://"+v.statusAddress+"/faults", "application/json", bytes.NewReader(raw))
	require.NoError(f.t, err)
	_ = resp.Body.Close()
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
}

// partitionZone cuts the links between a zone's routers and all other zones and
// the platform; restoreLinks undoes it.
func (f *fleet) partitionZone(zone string) {
	for _, v := range f.vms {
		if v.cmd == nil {
			continue
		}
		if v.zone != zone {
			f.setLinkFaults(v, router.CutLinks{Zones: []string{zone}})
			continue
		}
		var others []string
		for _, z := range f.doc.Zones {
			if z.Name != zone {
				others = append(others, z.Name)
			}
		}
		f.setLinkFaults(v, router.CutLinks{Platform: true, Zones: others})
	}
}

// restoreLinks restores all links of the running routers.
func (f *fleet) restoreLinks() {
	for _, v := range f.vms {
		if v.cmd != nil {
			f.setLinkFaults(v, router.CutLinks{})
		}
	}
}

func (f *fleet) status(v *vm) (router.Status, error) {
	var s router.Status
	err := operator.GetJSON(v.statusAddress, "/status", &s)
	return s, err
}

// awaitReady waits until every router is ready and knows the addresses of all others, and
// every slot is held. A router that is cut off before it has read the others' entries in
// the list of VMs cannot borrow from the holders of its zone's slots.
func (f *fleet) awaitReady() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		var all []router.Status
		for _, v := range f.vms {
			var d router.Dump
			if err := operator.GetJSON(v.statusAddress, "/dump", &d); err != nil || len(d.VMs) != len(f.vms) {
				return false
			}
			all = append(all, d.Status)
		}
		return trial.AllReady(all)
	}, 30*time.Second, 20*time.Millisecond, "not every router is ready and knows all others, with every slot held")
}

// awaitGeneration waits until generation n or a later one is in force on every
// running router.
func (f *fleet) awaitGeneration(n uint64, within time.Duration) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, v := range f.vms {
			if s, err := f.status(v); v.cmd != nil && (err != nil || s.Generation < n) {
				return false
			}
		}
		return true
	}, within, 10*time.Millisecond, "generation %d is not in force on every router", n)
}

// requestModel sends a model request to a VM with the named key.
func (f *fleet) requestModel(v *vm, name string, a trial.ModelRequest) (trial.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	a.Model = modelName
	return trial.SendModelRequest(ctx, f.httpClient, v.entryAddress, f.keys[name], a)
}

// callResult is the response to a call, or its error.
type callResult struct {
	status int
	// runStatus is the value of the header answer.HeaderRun: whether the call ran.
	runStatus string
	// requestID is the id that the router gave the call.
	requestID string
	body      string
	err       error
}

// sendCall sends an HTTP call to a VM.
func (f *fleet) sendCall(v *vm, method, path, key, idempotency, body string, headers map[string]string) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.entryAddress+path, strings.NewReader(body))
	require.NoError(f.t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotency != "" {
		req.Header.Set(answer.HeaderIdempotencyKey, idempotency)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := f.httpClient.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return callResult{status: resp.StatusCode, runStatus: resp.Header.Get(answer.HeaderRunStatus), requestID: resp.Header.Get(answer.HeaderRequestID), body: string(raw), err: err}
}

// parallel calls f in n goroutines and waits for all of them.
func parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}
