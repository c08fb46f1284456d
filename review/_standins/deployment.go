package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the small deployment sites/gumless-ne.toml.
const (
	memoryMB      = 284
	heartbeat     = 1200 * time.Millisecond
	contactTime   = 3 * time.Second
	graceTime     = 8 * time.Second
	readyDeadline = 20 * time.Second
)

var zones = []string{"boston-a", "providence-b", "hartford-c"}

// vm is a machine of the system with its gateway process.
type vm struct {
	name, zone, ip string
	settings       string
	log            *os.File

	mu     sync.Mutex // guards the fields below
	cmd    *exec.Cmd
	exited chan struct{}
}

func (v *vm) entry() string   { return v.ip + ":8606" }
func (v *vm) ready() string   { return v.ip + ":8605" }
func (v *vm) control() string { return v.ip + ":8608" }

// deployment is a store, engines and gateway processes on loopback addresses.
type deployment struct {
	record  *record
	store   *store
	dir     string
	root    string
	servers []*http.Server
	vms     []*vm
	// storeAddress is the address of the store for all VMs, seeds are addresses of some.
	storeAddress string
	seeds        []string
}

// newDeployment starts the store.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "marjoramrock-review-")
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, fmt.Errorf("deployment: %w", err)
	}
	d := &deployment{record: rec, store: newStore(), dir: dir, root: root}
	if d.storeAddress, err = d.serve("127.0.0.1:0", d.store); err != nil {
		return nil, err
	}
	return d, nil
}

// serve starts an HTTP server and returns its address.
func (d *deployment) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// freeIP returns a loopback address on which the ports of a VM are free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
		free := true
		for _, port := range []int{8605, 8606, 8608, 7600, 9464} {
			l, err := net.Listen("tcp4", ip+":"+strconv.Itoa(port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

// addVMs creates n VMs, without starting them.
func (d *deployment) addVMs(n int) error {
	for i := range n {
		ip, err := freeIP()
		if err != nil {
			return err
		}
		zone := zones[i%len(zones)]
		v := &vm{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone, ip: ip}
		d.vms = append(d.vms, v)
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, v.control())
		}
	}
	for _, v := range d.vms {
		v.settings = filepath.Join(d.dir, v.name+".json")
		if err := d.writeSettings(v, true); err != nil {
			return err
		}
		var err error
		if v.log, err = os.Create(filepath.Join(d.dir, v.name+".log")); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	return nil
}

// writeSettings writes the settings file of a VM. First says that the whole system starts
// for the first time.
func (d *deployment) writeSettings(v *vm, first bool) error {
	raw, err := d.render(v, first)
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings, raw, 0o600); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// restart starts the process of a VM again after its end.
func (d *deployment) restart(v *vm) error {
	if err := d.writeSettings(v, false); err != nil {
		return err
	}
	return d.start(v)
}

// fields returns the fields that the platform fills into the template of the settings.
func (d *deployment) fields(v *vm, first bool) map[string]any {
	return map[string]any{
		"node_id": v.name, "role": "gateway", "machine_class": "front", "bind_ip": v.ip, "zone": v.zone, "region": "new-england",
		"listen":     map[string]any{"front": v.entry(), "ready": v.ready(), "control": v.control()},
		"port_range": []any{7600, 7615}, "seeds": d.seeds, "bootstrap": first, "heartbeat_ms": 1200,
		"limits":    map[string]any{"cpu_share": 0.4, "cpus": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"contracts": []any{"base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"},
		"bounds": map[string]any{
			"revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8, "lease_ms": 3000, "version_ms": 8000, "budget_ratio": 0.2, "budget_slack": 52,
			"budget_window_s": 10, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 72000,
		},
		"platform": map[string]any{"addr": d.storeAddress},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// render fills the template of the settings that the deploy file names.
func (d *deployment) render(v *vm, first bool) ([]byte, error) {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", "settings.json.tmpl"))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	fields := d.fields(v, first)
	return placeholder.ReplaceAllFunc(template, func(m []byte) []byte {
		parts := placeholder.FindSubmatch(m)
		var value any = fields
		for _, name := range strings.Split(string(parts[1]), ".") {
			switch x := value.(type) {
			case map[string]any:
				value = x[name]
			case []any:
				i, _ := strconv.Atoi(name)
				value = x[i]
			default:
				value = nil
			}
		}
		if len(parts[2]) == 0 {
			return fmt.Append(nil, value)
		}
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		return raw
	}), nil
}

// started holds the processes that run.
var started sync.Map

// killStarted ends all processes that run.
func killStarted() {
	started.Range(func(p, _ any) bool {
		// An error means that it has ended.
		_ = p.(*os.Process).Kill()
		return true
	})
}

// start starts the process of a VM with the command of the deploy file.
func (d *deployment) start(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	cmd := exec.Command(filepath.Join(d.root, "target", "marjoramrock"), "gateway")
	cmd.Dir = d.root
	cmd.Env = []string{"MARJORAMROCK_SETTINGS=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", v.name, err)
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	started.Store(cmd.Process, true)
	go func() {
		err := cmd.Wait()
		started.Delete(cmd.Process)
		d.record.add("process of %s (pid %d) ended: %v", v.name, cmd.Process.Pid, err)
		close(exited)
	}()
	d.record.add("process of %s started, pid %d, entry %s", v.name, cmd.Process.Pid, v.entry())
	return nil
}

func (d *deployment) startAll() error {
	for _, v := range d.vms {
		if err := d.start(v); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a VM.
func (d *deployment) signal(v *vm, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d.record.add("%s to %s", s, v.name)
	// An error means that the process has ended.
	_ = v.cmd.Process.Signal(s)
}

// ended reports whether the process of a VM has ended.
func (v *vm) ended() bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
		return true
	default:
		return false
	}
}

// isReady reports whether a VM answers the readiness check with 200.
func (v *vm) isReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all VMs are ready.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(readyDeadline)
	for _, v := range d.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready within %s", v.name, readyDeadline)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and removes the folder with their settings. The logs are kept
// if the variable KEEP is set.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.mu.Lock()
		cmd, exited := v.cmd, v.exited
		v.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
		_ = v.log.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
