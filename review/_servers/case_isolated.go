package main

import (
	"fmt"
	"time"
)

// isolationSettled is how long the case waits after the configuration that isolates the
// tenant: longer than config_ms.
const isolationSettled = 4 * time.Second

// playIsolated lets one tenant's request fill an engine's cache, isolates that tenant by a
// new configuration, and then sends a request of another tenant with the same parts. The
// rule WALL is broken if the engine serves it from the parts of the isolated tenant.
func playIsolated(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, tenant{name: "harbor", key: "key-harbor"}, tenant{name: "plaza", key: "key-plaza"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	llm, err := newEngine(&engine{id: "i-llm-1", service: modelService, zone: "a", model: modelName, store: d.store, record: r})
	if err != nil {
		return false, err
	}
	if err := d.startGateways("a"); err != nil {
		return false, err
	}
	ask := func(id, key string) error {
		c, err := dial(d.gateways[0].client)
		if err != nil {
			return err
		}
		defer func() { _ = c.conn.Close() }()
		a := c.do(request{method: "POST", path: "/rate/1", id: id, body: "prompt", header: map[string]string{
			"Authorization": "Bearer " + key, "Deadline-Ms": "5000", "Model": modelName, "Token-Count": "1460,80", "Prefix-Hash": "5c1e07a2:800,91bd3f06:410," + id + ":250",
		}}, 6*time.Second)
		r.add("%s with %s answered: %v", id, key, a)
		if a.err != nil || a.status != 200 {
			return fmt.Errorf("%s was not served: %v", id, a)
		}
		return nil
	}
	if err := ask("a1", "key-harbor"); err != nil {
		return false, err
	}
	if trouble {
		d.tenants[0].isolated = true
		if err := d.putConfig(); err != nil {
			return false, err
		}
		r.add("configuration %d is acknowledged: tenant harbor is isolated", d.version)
	}
	time.Sleep(isolationSettled)
	if err := ask("b1", "key-plaza"); err != nil {
		return false, err
	}
	for _, x := range llm.ran() {
		for part, maker := range x.reused {
			if maker != x.tenant && (d.isolated(maker) || d.isolated(x.tenant)) {
				r.add("%s of tenant %s ran on part %s that tenant %s made; one of the two is isolated", x.id, x.tenant, part, maker)
				broken = true
			}
		}
	}
	return broken, nil
}

// isolated reports whether a tenant is isolated in the newest configuration.
func (d *deployment) isolated(name string) bool {
	for _, t := range d.tenants {
		if t.name == name {
			return t.isolated
		}
	}
	return false
}
