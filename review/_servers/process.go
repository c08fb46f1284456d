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
	"syscall"
	"time"
)

// metricsPort is the port of the deploy file's metrics address.
const metricsPort = 9464

// serve starts an HTTP server and returns its address. The function stop closes it and all
// its connections.
func serve(address string, h http.Handler) (bound string, stop func() error, err error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // It ends with stop or with the process.
	return l.Addr().String(), server.Close, nil
}

// freeIP returns a loopback IP on which the metrics port is free.
func freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(250), 1+rand.IntN(250), 2+rand.IntN(250))
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(metricsPort)))
		if err != nil {
			continue
		}
		return ip, l.Close()
	}
	return "", errors.New("no loopback IP with a free metrics port")
}

// freePorts returns three TCP ports that are free on an IP. It holds each until all are
// drawn, so that none comes twice.
func freePorts(ip string) (ports [3]int, err error) {
	for i := range ports {
		l, listenErr := net.Listen("tcp4", ip+":0")
		if listenErr != nil {
			return ports, listenErr
		}
		defer func() { err = errors.Join(err, l.Close()) }()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// gateway is a process of the product, started with the command of the deploy file.
type gateway struct {
	name, ip       string
	client, ready  string
	settings, logs string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// newGateway prepares a process on a loopback IP of its own.
func newGateway(dir, name, zone, storeAddress string) (*gateway, error) {
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		name: name, ip: ip, client: fmt.Sprint(ip, ":", ports[0]), ready: fmt.Sprint(ip, ":", ports[1]),
		settings: filepath.Join(dir, name+".json"), logs: filepath.Join(dir, name+".log"),
	}
	text, err := render("deploy/settings.json.tmpl", platformFields(g, zone, ports[2], storeAddress))
	if err != nil {
		return nil, err
	}
	return g, os.WriteFile(g.settings, []byte(text), 0o600)
}

// platformFields returns the fields that the platform fills into the template, with the
// bounds of the small site.
func platformFields(g *gateway, zone string, peerPort int, storeAddress string) map[string]any {
	return map[string]any{
		"node_id": g.name, "zone": zone, "region": "new-england", "bind_ip": g.ip, "bootstrap": true,
		"listen":     map[string]any{"front": g.client, "ready": g.ready},
		"port_range": []any{peerPort, peerPort}, "seeds": []any{},
		"limits":   map[string]any{"cpu_share": 0.4, "cpus": 1, "memory_mb": 284, "max_fds": 4100},
		"platform": map[string]any{"addr": storeAddress},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 8, "lost_slack_ms": 200,
			"config_ms": 2000, "back_ms": 250, "max_skew_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "budget_ratio": 0.2,
			"budget_window_s": 10, "budget_slack": 52, "quota_window_s": 8, "quota_over": 0.1, "quota_slack": 72000, "recovery_s": 12,
			"lease_ms": 3000, "thaw_slack_ms": 300, "version_ms": 8000, "version_all_ms": 11000,
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{([a-z_0-9.]+)(\|json)?\}\}`)

// render fills in the placeholders of a template as the platform does. Sections are not
// supported.
func render(file string, fields map[string]any) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	text := placeholder.ReplaceAllStringFunc(string(raw), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		value := lookUp(fields, strings.Split(m[1], "."))
		if s, ok := value.(string); ok && m[2] == "" {
			return s
		}
		out, encodeErr := json.Marshal(value)
		err = errors.Join(err, encodeErr)
		return string(out)
	})
	return text, err
}

func lookUp(value any, path []string) any {
	for _, name := range path {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		}
	}
	return value
}

// start starts the process.
func (g *gateway) start() error {
	logs, err := os.OpenFile(g.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }() // The process has its own descriptor.
	g.cmd = exec.Command("target/marjoramrock", "gateway")
	g.cmd.Env = append(os.Environ(), "MARJORAMROCK_SETTINGS="+g.settings)
	g.cmd.Stdout, g.cmd.Stderr = logs, logs
	// The process must not outlive the script.
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		close(exited)
	}(g.cmd)
	return nil
}

// signal sends a signal to the process. An error means that it has ended.
func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	g.signal(syscall.SIGCONT)
	g.signal(syscall.SIGKILL)
	<-g.exited
}

// waitReady waits until the process answers the readiness check with 200.
func (g *gateway) waitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", g.name, timeout)
}
