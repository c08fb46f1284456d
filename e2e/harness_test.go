// Package e2e runs routers as separate processes on loopback, breaks them and
// what they depend on, and checks the recorded histories.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
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
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

var (
	seed   = flag.Uint64("seed", 1, "seed of the fault schedules")
	length = flag.Duration("length", 6*time.Second, "how long each fault schedule runs")
)

var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(build(m))
}

func build(m *testing.M) int {
	dir, err := os.MkdirTemp("", "marjoramrock-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "marjoramrock")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/marjoramrock").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// shape is what a test's fleet consists of.
type shape struct {
	zones   []string
	routers int
	// engines is the number in each zone.
	engines int
	engine  standin.EngineOptions
	// tweak changes the declaration before it is committed.
	tweak func(*declare.Deployment)
	// log is the routers' log level.
	log string
}

// vm is one entry VM with its router process.
type vm struct {
	name, zone          string
	entry, peer, status string
	settings            string
	cmd                 *exec.Cmd
	log                 *bytes.Buffer
}

// fleet is a running deployment under test.
type fleet struct {
	t        testing.TB
	dir      string
	platform *standin.Platform
	client   *platform.Client
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	store    *standin.WeightStore
	vms      []*vm
	keys     map[string]string
	doc      config.Document
	http     *http.Client
	log      string
}

// Teams, and the model, of every test deployment.
const (
	teamLarge = "large"
	teamSmall = "small"
	modelName = "atlas"
)

func newFleet(t testing.TB, s shape) *fleet {
	t.Helper()
	if len(s.zones) == 0 {
		s.zones = []string{"zone-a", "zone-b"}
	}
	if s.engine.Slots == 0 {
		s.engine.Slots = 16
	}
	if s.engine.CacheBlocks == 0 {
		s.engine.CacheBlocks = 200
	}
	f := &fleet{
		t: t, dir: t.TempDir(), log: s.log,
		engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{},
		store: &standin.WeightStore{}, keys: map[string]string{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	var err error
	f.platform, err = standin.NewPlatform("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(f.platform.Close)
	f.client = platform.NewClient(f.platform.Settings(), nil)
	f.backends(s)
	f.certs()
	for i := range s.routers {
		f.vms = append(f.vms, f.newVM(i, s.zones[i%len(s.zones)]))
	}
	t.Cleanup(f.killAll)
	for _, v := range f.vms {
		f.start(v)
	}
	f.settled()
	return f
}

func (f *fleet) backends(s shape) {
	d := declare.New()
	for _, zone := range s.zones {
		d.Zone(zone, 1/float64(len(s.zones)))
	}
	d.Model(modelName, "v1").Bytes(3).Limit(4096)
	for z, zone := range s.zones {
		for i := range s.engines {
			f.addEngine(d, s, zone, fmt.Sprintf("engine-%d-%d", z+1, i+1))
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
	if s.tweak != nil {
		s.tweak(d)
	}
	for _, declared := range d.Document().Teams {
		secret, digest, err := operator.NewSecret()
		require.NoError(f.t, err)
		f.keys[declared.Name] = secret
		d.Key(declared.Name, declared.Name, digest)
	}
	f.doc = d.Document()
	_, err := operator.Commit(context.Background(), f.client, operator.ReplaceConfig(f.doc, 0))
	require.NoError(f.t, err)
}

func (f *fleet) addEngine(d *declare.Deployment, s shape, zone, name string) {
	o := s.engine
	o.Name, o.Model, o.Version, o.Seed = name, modelName, "v1", *seed
	e, err := standin.NewEngine("127.0.0.1:0", o, f.store)
	require.NoError(f.t, err)
	f.t.Cleanup(e.Close)
	f.engines[name] = e
	declared := d.Engine(name, zone, modelName, e.Address()).Slots(o.Slots)
	if o.SupportsFencing {
		declared.Fenced()
	}
	f.platform.PutVM(platform.VM{Name: name, Zone: zone, Role: platform.RoleBackend, State: platform.StateLive})
}

func (f *fleet) certs() {
	authority, err := peer.NewAuthority()
	require.NoError(f.t, err)
	pair, err := authority.Issue()
	require.NoError(f.t, err)
	for name, raw := range map[string][]byte{"ca.pem": authority.Cert(), "vm.pem": pair.Cert, "vm.key": pair.Key} {
		require.NoError(f.t, os.WriteFile(filepath.Join(f.dir, name), raw, 0o600))
	}
}

// newVM gives a VM its own loopback address.
func (f *fleet) newVM(i int, zone string) *vm {
	host := fmt.Sprintf("127.0.0.%d", 11+i)
	v := &vm{
		name: fmt.Sprintf("vm-%d", i+1), zone: zone, log: &bytes.Buffer{},
		entry: freePort(f.t, host), peer: freePort(f.t, host), status: freePort(f.t, host),
	}
	f.write(v, nil)
	return v
}

func (f *fleet) write(v *vm, seeds []string) {
	s := router.Settings{
		VM: v.name, Zone: v.zone, EntryAddress: v.entry, PeerAddress: v.peer, StatusAddress: v.status,
		Platform: f.platform.Settings(),
		TLS: peer.CertFiles{
			Cert: filepath.Join(f.dir, "vm.pem"), Key: filepath.Join(f.dir, "vm.key"), CA: filepath.Join(f.dir, "ca.pem"),
		},
		Seeds: seeds, LogLevel: f.log, AllowFaults: true,
		DrainDelay: config.Duration(300 * time.Millisecond), AbsenceTimeout: config.Duration(2 * time.Second),
	}
	raw, err := json.Marshal(s)
	require.NoError(f.t, err)
	v.settings = filepath.Join(f.dir, v.name+".json")
	require.NoError(f.t, os.WriteFile(v.settings, raw, 0o600))
}

func freePort(t testing.TB, host string) string {
	l, err := net.Listen("tcp", host+":0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// start runs a VM's router and lists the VM.
func (f *fleet) start(v *vm) {
	v.cmd = exec.Command(binary, "router", "--settings", v.settings)
	v.cmd.Stderr = v.log
	require.NoError(f.t, v.cmd.Start())
	f.platform.PutVM(platform.VM{
		Name: v.name, Zone: v.zone, Role: platform.RoleRouter, State: platform.StateLive, PeerAddress: v.peer, StatusAddress: v.status,
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
			f.t.Logf("log of %s:\n%s", v.name, tail(v.log.String(), 40))
		}
	}
}

func tail(text string, lines int) string {
	var all []string
	for _, line := range strings.Split(text, "\n") {
		if !strings.Contains(line, "slot taken") {
			all = append(all, line)
		}
	}
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func (f *fleet) freeze(v *vm) { f.signal(v, syscall.SIGSTOP) }
func (f *fleet) thaw(v *vm)   { f.signal(v, syscall.SIGCONT) }

func (f *fleet) signal(v *vm, s syscall.Signal) {
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// cut sets the fault switches of one router.
func (f *fleet) cut(v *vm, c router.CutLinks) {
	raw, err := json.Marshal(c)
	require.NoError(f.t, err)
	resp, err := f.http.Post("http://"+v.status+"/faults", "application/json", bytes.NewReader(raw))
	require.NoError(f.t, err)
	_ = resp.Body.Close()
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
}

// cutZone cuts a zone's routers off from all other zones, and from the
// platform too; heal undoes all cuts.
func (f *fleet) cutZone(zone string) {
	for _, v := range f.vms {
		if v.cmd == nil {
			continue
		}
		if v.zone != zone {
			f.cut(v, router.CutLinks{Zones: []string{zone}})
			continue
		}
		var others []string
		for _, z := range f.doc.Zones {
			if z.Name != zone {
				others = append(others, z.Name)
			}
		}
		f.cut(v, router.CutLinks{Platform: true, Zones: others})
	}
}

func (f *fleet) heal() {
	for _, v := range f.vms {
		if v.cmd != nil {
			f.cut(v, router.CutLinks{})
		}
	}
}

func (f *fleet) status(v *vm) (router.Status, error) {
	var s router.Status
	err := operator.GetJSON(v.status, "/status", &s)
	return s, err
}

// settled waits until every router is ready and every slot is held.
func (f *fleet) settled() {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		var all []router.Status
		for _, v := range f.vms {
			s, err := f.status(v)
			if err != nil {
				return false
			}
			all = append(all, s)
		}
		return trial.AllReady(all)
	}, 30*time.Second, 20*time.Millisecond, "the fleet does not settle")
}

// generation waits until every running router has a generation in force.
func (f *fleet) generation(n uint64, within time.Duration) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, v := range f.vms {
			if s, err := f.status(v); v.cmd != nil && (err != nil || s.Generation < n) {
				return false
			}
		}
		return true
	}, within, 10*time.Millisecond, "generation %d is not in force everywhere", n)
}

// ask makes a model request at a VM.
func (f *fleet) ask(v *vm, name string, a trial.ModelRequest) (trial.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	a.Model = modelName
	return trial.SendModelRequest(ctx, f.http, v.entry, f.keys[name], a)
}

// called is the answer to a service call.
type called struct {
	status int
	run    string
	// request is the router's id of the call.
	request string
	body    string
	err     error
}

// call makes a service call at a VM.
func (f *fleet) call(v *vm, method, path, key, idempotency, body string, headers map[string]string) called {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.entry+path, strings.NewReader(body))
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
	resp, err := f.http.Do(req)
	if err != nil {
		return called{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return called{status: resp.StatusCode, run: resp.Header.Get(answer.HeaderRunStatus), request: resp.Header.Get(answer.HeaderRequestID), body: string(raw), err: err}
}

// parallel runs f for n workers and waits.
func parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}
