package main

import (
	"fmt"
	"os"
	"time"
)

// Names of the deployment.
const (
	modelName    = "m0"
	modelService = "gum-llm"
	plainService = "dispatch-app"
)

// idleTimeout is the configuration's limit on how long a client's connection may be
// idle, as in the example of the small site.
const idleTimeout = 15 * time.Second

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
	isolated  bool
}

// deployment is a small deployment: processes of the product, and stand-ins of the
// platform's store and of the engines.
type deployment struct {
	dir    string
	record *record
	store  *store
	// storeAddress is where the processes reach the store.
	storeAddress string
	gateways     []*gateway
	version      int64
	tenants      []tenant
}

// newDeployment starts the store with a configuration of the given tenants. The caller
// must call close.
func newDeployment(r *record, tenants ...tenant) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, tenants: tenants}
	if d.store, err = newStore("127.0.0.1"); err != nil {
		return d, err
	}
	d.storeAddress = d.store.address
	return d, d.putConfig()
}

// putConfig writes a new version of the configuration.
func (d *deployment) putConfig() error {
	d.version += 3
	route := func(name, prefix, kind, service string, timeout, goal, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout, "goal_ms": goal, "prio": 1,
			"service": service, "max_attempts": attempts, "public": false, "sticky": service == modelService, "resumable": resumable, "gap_goal_ms": 250,
		}
	}
	tenants := []map[string]any{}
	for _, t := range d.tenants {
		tenants = append(tenants, map[string]any{
			"name": t.name, "api_keys": []string{t.key}, "prio": 1, "unit": "tokens", "uncached_tokens": 200, "isolated": t.isolated,
			"rate_per_s": 200989, "burst": 200989,
		})
	}
	return d.store.put("op", "config", map[string]any{
		"version": d.version,
		"routes": []any{
			route("site-rate", "/rate/", "streaming", modelService, 5000, 500, 1, false),
			route("method-ask", "/ask/", "streaming", modelService, 15000, 300, 2, true),
			route("book-job", "/book/", "unsafe", plainService, 800, 300, 1, false),
			route("route-look", "/look/", "safe", plainService, 800, 300, 2, false),
		},
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_conns": 610, "protocol": "h1", "engine": map[string]any{
				"slots": 128, "kv_tokens": 134082, "kv_token_bytes": 96256, "link_mbps": 260000.0, "models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 96, "protocol": "h1"},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
		"tenants": tenants,
	})
}

// startGateways starts processes of the product and waits until they are ready.
func (d *deployment) startGateways(zones ...string) error {
	for i, zone := range zones {
		g, err := newGateway(d.dir, fmt.Sprintf("front-%s-%d", zone, i+1), zone, d.storeAddress)
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	for _, g := range d.gateways {
		if err := g.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	// The processes have yet to read the list of engines.
	time.Sleep(time.Second)
	return nil
}

// close ends all processes and removes their files. The logs are kept if the
// environment variable LOGS names a folder.
func (d *deployment) close() {
	for _, g := range d.gateways {
		g.kill()
		if to := os.Getenv("LOGS"); to != "" {
			if raw, err := os.ReadFile(g.logs); err == nil {
				_ = os.WriteFile(to+"/"+g.name+".log", raw, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.dir)
}
