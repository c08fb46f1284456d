package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	host       = "h.example"
	zone       = "a"
	gatewayBin = "target/marjoramrock"
)

// serveHTTP starts an HTTP server on a free port.
func serveHTTP(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// freeAddresses returns n addresses on which nothing listens.
func freeAddresses(n int) (out []string, err error) {
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// gateway is a process of the system.
type gateway struct {
	name, entry, ready, peer, metrics string
	file                              string
	log                               *os.File
	cmd                               *exec.Cmd
	exited                            chan struct{}
	// ends counts how often the platform has ended the process for its memory.
	ends int
	// peakKB is the largest resident memory of all processes, in kilobytes.
	peakKB int
}

// newGateway writes the settings of a process, as deploy/settings.json.tmpl renders them.
func newGateway(dir, name, storeAddress string, memoryMB int) (*gateway, error) {
	g := &gateway{name: name, file: filepath.Join(dir, name+".json")}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	g.entry, g.ready, g.peer, g.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	settings := fmt.Sprintf(`{
  "vm": %q, "zone": %q, "region": "r",
  "entry": %q, "ready": %q, "peer": %q, "metrics": %q, "store": %q,
  "seeds": [%q], "first": true, "memory": %d,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "quota", "platform"],
  "bounds": {
    "revoke": {"ms": 5000}, "leave": {"ms": 2000}, "grace": {"s": 8}, "lease": {"ms": 3000}, "version": {"ms": 8000},
    "repeats": 0.2, "spare": 52, "window": {"s": 10}, "span": {"s": 8}, "over": 0.1, "slack": 72000,
    "expose": {"share": null, "slack": null, "rollback": {"ms": null}}
  }
}
`, name, zone, g.entry, g.ready, g.peer, g.metrics, storeAddress, g.peer, memoryMB)
	if err := os.WriteFile(g.file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	g.log, err = os.Create(filepath.Join(dir, name+".log"))
	return g, err
}

// start runs the command of deploy/system.toml.
func (g *gateway) start() error {
	cmd, exited := exec.Command(gatewayBin, "gateway"), make(chan struct{})
	cmd.Env = append(os.Environ(), "MARJORAMROCK_SETTINGS="+g.file)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	g.cmd, g.exited = cmd, exited
	return nil
}

// kill ends the process.
func (g *gateway) kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
}

// waitReady waits until the readiness check succeeds.
func (g *gateway) waitReady(timeout time.Duration) error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the process does not become ready")
}

// residentKB returns the resident memory of the process, without pages of files, in kilobytes.
func (g *gateway) residentKB() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(raw), "\n") {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			if n, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB")); err == nil {
				return n
			}
		}
	}
	return 0
}
