package main

import (
	"fmt"
	"time"
)

// Keys and prompts of the cases about a part that crashes engines.
const (
	promptPath  = "/lepu270/2f"
	firstKey    = "wu3fexd9dnn2ctnfzs98"
	secondKey   = "9anu6wsjnbanfqasnmgk"
	promptLimit = 5 * time.Second
	// deadlyPart crashes each engine that begins to write an answer on it.
	deadlyPart = "5c1e07a2"
	// warmTime is the time between the start of the machines and that of the traffic.
	warmTime = 10 * time.Second
)

// promptConfig returns a configuration with one route of streams and two tenants.
func promptConfig(kvStoreAddress string) map[string]any {
	tenant := func(name, key string) map[string]any {
		return map[string]any{
			"name": name, "api_keys": []any{key}, "prio": 1, "unit": "tokens", "uncached_tokens": 200, "isolated": false, "rate_per_s": 200989, "burst": 200989,
		}
	}
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-m82thhk", "host": clientHost, "prefix": "/lepu270/", "kind": "streaming", "timeout_ms": 5000, "goal_ms": 500, "prio": 1,
			"service": serviceName, "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_goal_ms": 250,
		}},
		"services": []any{
			map[string]any{
				"name": serviceName, "health_path": "/healthz", "max_conns": 610, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": engineSlots, "kv_tokens": 134082, "kv_token_bytes": 96256, "link_mbps": 260000.0, "models": []any{map[string]any{"name": modelName}},
				},
			},
			map[string]any{"name": "wuno96b", "kv_store": kvStoreAddress, "zone": zones[1], "kv_tokens": kvStoreTokens, "link_mbps": 190000.0, "max_inflight": 12},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{tenant("sese880", firstKey), tenant("lomu214", secondKey)},
	}
}

// prompt returns a request whose prompt has the given parts and one of its own.
func prompt(key string, parts ...string) request {
	id := newID()
	prefix := ""
	for _, p := range parts {
		prefix += p + ":410,"
	}
	return request{
		id: id, method: "POST", path: promptPath, key: key, deadline: promptLimit, body: "prompt of " + id,
		header: map[string]string{"Model": modelName, "Token-Count": "1460,80", "Prefix-Hash": fmt.Sprintf("%s%s:250", prefix, id[:8])},
	}
}

// promptDeployment is six gateways in front of nine engines.
type promptDeployment struct {
	*deployment
	fleet *fleet
}

func startPromptDeployment(rec *record) (*promptDeployment, error) {
	base, err := newDeployment(rec)
	if err != nil {
		return nil, err
	}
	d := &promptDeployment{deployment: base}
	kvStoreAddress, err := base.serve("127.0.0.1:0", kvStore{})
	if err != nil {
		d.close()
		return nil, err
	}
	base.store.put("op", "config", promptConfig(kvStoreAddress))
	base.store.put("op", "version/"+modelName, map[string]any{"model": modelName, "version": 1})
	if d.fleet, err = newFleet(rec, base.store, 9, deadlyPart); err == nil {
		err = base.addVMs(6)
	}
	if err == nil {
		err = base.startAll()
	}
	if err == nil {
		err = base.waitReady()
	}
	if err != nil {
		d.close()
		return nil, err
	}
	time.Sleep(warmTime)
	return d, nil
}

func (d *promptDeployment) close() {
	if d.fleet != nil {
		d.fleet.close()
	}
	d.deployment.close()
}

// endedVM returns the name of a VM whose process has ended, or nothing.
func (d *deployment) endedVM() string {
	for _, v := range d.vms {
		if v.ended() {
			return v.name
		}
	}
	return ""
}
