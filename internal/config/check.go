package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// weightSumTolerance bounds the difference between the sum of the zone weights
// and 1.
const weightSumTolerance = 1e-6

// reservedPaths are served by the router itself.
var reservedPaths = []string{"/v1/", "/healthz", "/readyz"}

// Read parses a configuration file and returns the document with all problems
// found. It validates the values only if there are no syntax or type errors. The
// document is valid only if there are no problems.
func Read(file string, source []byte) (Document, ProblemsError) {
	var doc Document
	r := parse(file, source, &doc, false)
	if len(r.problems) == 0 {
		checker{r}.document(doc)
	}
	return doc, r.problems
}

// Check validates a document that was built by a program rather than read from
// a file.
func Check(doc Document) ProblemsError {
	r := &parser{file: "document", lines: map[string]int{}}
	checker{r}.document(doc)
	return r.problems
}

type checker struct{ *parser }

type nameSet map[string]bool

func (c checker) document(doc Document) {
	zones := checkNames(c, "zones", doc.Zones)
	models := checkNames(c, "models", doc.Models)
	services := checkNames(c, "services", doc.Services)
	teams := checkNames(c, "teams", doc.Teams)
	checkNames(c, "engines", doc.Engines)
	checkNames(c, "keys", doc.Keys)
	checkNames(c, "routes", doc.Routes)
	checkNames(c, "retired", doc.RetiredVMs)
	c.zones(doc.Zones)
	c.models(doc.Models)
	c.engines(doc.Engines, zones, models)
	c.services(doc.Services, zones)
	c.teams(doc.Teams, doc.Zones)
	c.keys(doc.Keys, teams)
	c.routes(doc.Routes, models, services)
	c.policy(doc.Policy)
}

func checkNames[T Item](c checker, section string, items []T) nameSet {
	set := make(nameSet, len(items))
	for i, item := range items {
		field := fieldPath(section, i, "name")
		if item.Key() == "" {
			c.report(field, "empty", "give it a name")
		}
		if set[item.Key()] {
			c.report(field, fmt.Sprintf("duplicate name %q", item.Key()), "rename or remove one")
		}
		set[item.Key()] = true
	}
	return set
}

func fieldPath(section string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", section, i, field)
}

func (c checker) reference(field, kind, name string, set nameSet) {
	if !set[name] {
		c.report(field, fmt.Sprintf("no %s %q", kind, name), "declare it or correct the name")
	}
}

func (c checker) positive(field string, v float64) {
	if !(v > 0) || math.IsInf(v, 0) {
		c.report(field, "not above zero", "give a number above zero")
	}
}

func (c checker) address(field, address string, seen nameSet) {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || net.ParseIP(host) == nil || n < 1 || n > 65535 {
		c.report(field, fmt.Sprintf("%q is not an address", address), "write IP:PORT")
		return
	}
	if seen[address] {
		c.report(field, fmt.Sprintf("duplicate address %q", address), "give each backend server its own address")
	}
	seen[address] = true
}

func (c checker) zones(zones []Zone) {
	sum := 0.0
	for i, z := range zones {
		c.positive(fieldPath("zones", i, "weight"), z.Weight)
		sum += z.Weight
	}
	if len(zones) > 0 && math.Abs(sum-1) > weightSumTolerance {
		c.report("zones", fmt.Sprintf("weights sum to %g", sum), "make them sum to 1")
	}
}

func (c checker) models(models []Model) {
	for i, m := range models {
		c.positive(fieldPath("models", i, "bytes"), m.MinBytesPerToken)
		c.positive(fieldPath("models", i, "limit"), float64(m.MaxAnswerTokens))
		if m.Version == "" {
			c.report(fieldPath("models", i, "version"), "empty", "give the version of the weights")
		}
		if strings.Contains(m.Name, "/") {
			c.report(fieldPath("models", i, "name"), "contains a slash", "remove it; a slash separates the adapter")
		}
	}
}

func (c checker) engines(engines []Engine, zones, models nameSet) {
	seen := make(nameSet)
	for i, e := range engines {
		c.reference(fieldPath("engines", i, "zone"), "zone", e.Zone, zones)
		c.reference(fieldPath("engines", i, "model"), "model", e.Model, models)
		c.address(fieldPath("engines", i, "address"), e.Address, seen)
		c.positive(fieldPath("engines", i, "slots"), float64(e.Slots))
	}
}

func (c checker) services(services []Service, zones nameSet) {
	seen := make(nameSet)
	for i, s := range services {
		if len(s.Servers) == 0 {
			c.report(fieldPath("services", i, "servers"), "none", "list at least one backend server")
		}
		for j, server := range s.Servers {
			field := fmt.Sprintf("services[%d].servers[%d]", i, j)
			c.reference(field+".zone", "zone", server.Zone, zones)
			c.address(field+".address", server.Address, seen)
		}
	}
}

func (c checker) teams(teams []Team, zones []Zone) {
	regions := nameSet{"": true}
	for _, z := range zones {
		regions[z.Region] = true
	}
	for i, t := range teams {
		c.reference(fieldPath("teams", i, "region"), "region", t.Region, regions)
		c.positive(fieldPath("teams", i, "rate"), t.Rate)
		c.positive(fieldPath("teams", i, "burst"), t.Burst)
	}
}

func (c checker) keys(keys []Key, teams nameSet) {
	seen := make(nameSet)
	for i, k := range keys {
		c.reference(fieldPath("keys", i, "team"), "team", k.Team, teams)
		if len(k.Digest) != 64 || strings.Trim(k.Digest, "0123456789abcdef") != "" {
			c.report(fieldPath("keys", i, "digest"), "not a SHA-256 digest in lowercase hex", "use the digest printed by 'keys issue'")
		}
		if seen[k.Digest] {
			c.report(fieldPath("keys", i, "digest"), "duplicate digest", "issue a new key")
		}
		seen[k.Digest] = true
	}
}

func (c checker) routes(routes []Route, models, services nameSet) {
	routed := make(nameSet)
	for i, r := range routes {
		c.target(i, r, models, services)
		if r.Model != "" && routed[r.Model] {
			c.report(fieldPath("routes", i, "model"), "overlaps another route to the model", "keep one route per model")
		}
		routed[r.Model] = true
		c.overlap(i, routes)
		c.timeouts(i, r)
	}
}

func (c checker) target(i int, r Route, models, services nameSet) {
	switch {
	case (r.Model == "") == (r.Service == ""):
		c.report(fieldPath("routes", i, "model"), "needs exactly one of model and service", "set one of them")
	case r.Model != "":
		c.reference(fieldPath("routes", i, "model"), "model", r.Model, models)
		if r.Path != "" || r.AtMostOnce || r.MissingIdempotencyKey != "" {
			c.report(fieldPath("routes", i, "model"), "path, once and keyless are only for service routes", "remove them")
		}
	default:
		c.reference(fieldPath("routes", i, "service"), "service", r.Service, services)
		c.path(i, r)
		if r.MissingIdempotencyKey != "" && (!r.AtMostOnce || (r.MissingIdempotencyKey != MissingKeyRefuse && r.MissingIdempotencyKey != MissingKeySend)) {
			c.report(fieldPath("routes", i, "keyless"), "not allowed here", "with once, write refuse or send")
		}
		if r.AtMostOnce && r.Public {
			c.report(fieldPath("routes", i, "open"), "an open route has no team to claim calls for", "remove open or once")
		}
	}
}

func (c checker) path(i int, r Route) {
	field := fieldPath("routes", i, "path")
	if !strings.HasPrefix(r.Path, "/") {
		c.report(field, "not an absolute path", "start it with a slash")
	}
	for _, reserved := range reservedPaths {
		if strings.HasPrefix(r.Path, reserved) || r.Path == "/" {
			c.report(field, "overlaps "+reserved, "choose another path")
			return
		}
	}
}

func (c checker) overlap(i int, routes []Route) {
	path := routes[i].Path
	if path == "" {
		return
	}
	for _, other := range routes[:i] {
		if other.Path != "" && (matchesPath(other.Path, path) || matchesPath(path, other.Path)) {
			c.report(fieldPath("routes", i, "path"), "overlaps route "+other.Name, "make the paths differ")
		}
	}
}

func (c checker) timeouts(i int, r Route) {
	if r.Deadline < 0 || r.DispatchTimeout < 0 {
		c.report(fieldPath("routes", i, "deadline"), "below zero", "give a time above zero")
	}
	if r.EffectiveDispatchTimeout() > r.EffectiveDeadline() {
		c.report(fieldPath("routes", i, "wait"), "longer than the deadline", "shorten it")
	}
}

func (c checker) policy(p *Policy) {
	if p == nil {
		return
	}
	if p.MaxProofAge < 0 {
		c.report("policy.stale", "below zero", "give a time above zero")
	}
	if _, err := ParseQueueOrder(string(p.QueueOrder)); err != nil {
		c.report("policy.first", fmt.Sprintf("unknown value %q", p.QueueOrder), "give earliest or latest")
	}
}
