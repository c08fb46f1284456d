package config

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
)

// weightTolerance is how far the zone weights' sum may be from 1.
const weightTolerance = 1e-6

// reservedPaths belong to the router itself.
var reservedPaths = []string{"/v1/", "/healthz", "/readyz"}

// Read parses a configuration file and returns it with every problem found,
// of form or of meaning, in one pass. The document is valid only without any.
func Read(file string, source []byte) (Document, ProblemsError) {
	var doc Document
	r := read(file, source, &doc)
	if len(r.problems) == 0 {
		checker{r}.document(doc)
	}
	return doc, r.problems
}

// Check returns the problems of meaning in a document made by a program.
func Check(doc Document) ProblemsError {
	r := &reader{file: "document", lines: map[string]int{}}
	checker{r}.document(doc)
	return r.problems
}

type checker struct{ *reader }

type nameSet map[string]bool

func (c checker) document(doc Document) {
	zones := names(c, "zones", doc.Zones)
	models := names(c, "models", doc.Models)
	services := names(c, "services", doc.Services)
	teams := names(c, "teams", doc.Teams)
	names(c, "engines", doc.Engines)
	names(c, "keys", doc.Keys)
	names(c, "routes", doc.Routes)
	names(c, "retired", doc.RetiredVMs)
	c.zones(doc.Zones)
	c.models(doc.Models)
	c.engines(doc.Engines, zones, models)
	c.services(doc.Services, zones)
	c.teams(doc.Teams, doc.Zones)
	c.keys(doc.Keys, teams)
	c.routes(doc.Routes, models, services)
	c.policy(doc.Policy)
}

func names[T Item](c checker, section string, items []T) nameSet {
	set := make(nameSet, len(items))
	for i, item := range items {
		field := at(section, i, "name")
		if item.Key() == "" {
			c.report(field, "empty", "give it a name")
		}
		if set[item.Key()] {
			c.report(field, fmt.Sprintf("%q stands twice", item.Key()), "rename or drop one")
		}
		set[item.Key()] = true
	}
	return set
}

func at(section string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", section, i, field)
}

func (c checker) refer(field, kind, name string, set nameSet) {
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
		c.report(field, fmt.Sprintf("%q is no address", address), "write IP:PORT")
		return
	}
	if seen[address] {
		c.report(field, fmt.Sprintf("%q stands twice", address), "give each backend server its own address")
	}
	seen[address] = true
}

func (c checker) zones(zones []Zone) {
	sum := 0.0
	for i, z := range zones {
		c.positive(at("zones", i, "weight"), z.Weight)
		sum += z.Weight
	}
	if len(zones) > 0 && math.Abs(sum-1) > weightTolerance {
		c.report("zones", fmt.Sprintf("weights sum to %g", sum), "make them sum to 1")
	}
}

func (c checker) models(models []Model) {
	for i, m := range models {
		c.positive(at("models", i, "bytes"), m.MinBytesPerToken)
		c.positive(at("models", i, "limit"), float64(m.MaxAnswerTokens))
		if m.Version == "" {
			c.report(at("models", i, "version"), "empty", "name the weights' version")
		}
		if strings.Contains(m.Name, "/") {
			c.report(at("models", i, "name"), "has a slash", "leave slashes to adapters")
		}
	}
}

func (c checker) engines(engines []Engine, zones, models nameSet) {
	seen := make(nameSet)
	for i, e := range engines {
		c.refer(at("engines", i, "zone"), "zone", e.Zone, zones)
		c.refer(at("engines", i, "model"), "model", e.Model, models)
		c.address(at("engines", i, "address"), e.Address, seen)
		c.positive(at("engines", i, "slots"), float64(e.Slots))
	}
}

func (c checker) services(services []Service, zones nameSet) {
	seen := make(nameSet)
	for i, s := range services {
		if len(s.Servers) == 0 {
			c.report(at("services", i, "servers"), "none", "name at least one backend server")
		}
		for j, server := range s.Servers {
			field := fmt.Sprintf("services[%d].servers[%d]", i, j)
			c.refer(field+".zone", "zone", server.Zone, zones)
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
		c.refer(at("teams", i, "region"), "region", t.Region, regions)
		c.positive(at("teams", i, "rate"), t.Rate)
		c.positive(at("teams", i, "burst"), t.Burst)
	}
}

func (c checker) keys(keys []Key, teams nameSet) {
	seen := make(nameSet)
	for i, k := range keys {
		c.refer(at("keys", i, "team"), "team", k.Team, teams)
		if len(k.Digest) != 64 || strings.Trim(k.Digest, "0123456789abcdef") != "" {
			c.report(at("keys", i, "digest"), "no SHA-256 in hex", "use the digest that keys issue printed")
		}
		if seen[k.Digest] {
			c.report(at("keys", i, "digest"), "stands twice", "issue each key anew")
		}
		seen[k.Digest] = true
	}
}

func (c checker) routes(routes []Route, models, services nameSet) {
	routed := make(nameSet)
	for i, r := range routes {
		c.target(i, r, models, services)
		if r.Model != "" && routed[r.Model] {
			c.report(at("routes", i, "model"), "overlaps another route to the model", "keep one route a model")
		}
		routed[r.Model] = true
		c.overlap(i, routes)
		c.timing(i, r)
	}
}

func (c checker) target(i int, r Route, models, services nameSet) {
	switch {
	case (r.Model == "") == (r.Service == ""):
		c.report(at("routes", i, "model"), "not exactly one of model and service", "give one of the two")
	case r.Model != "":
		c.refer(at("routes", i, "model"), "model", r.Model, models)
		if r.Path != "" || r.AtMostOnce || r.MissingIdempotencyKey != "" {
			c.report(at("routes", i, "model"), "path, once and keyless are for service routes", "drop them")
		}
	default:
		c.refer(at("routes", i, "service"), "service", r.Service, services)
		c.path(i, r)
		if r.MissingIdempotencyKey != "" && (!r.AtMostOnce || (r.MissingIdempotencyKey != MissingKeyRefuse && r.MissingIdempotencyKey != MissingKeySend)) {
			c.report(at("routes", i, "keyless"), "not allowed here", "with once, write refuse or send")
		}
		if r.AtMostOnce && r.Public {
			c.report(at("routes", i, "open"), "an open route has no team to claim calls for", "drop open or once")
		}
	}
}

func (c checker) path(i int, r Route) {
	field := at("routes", i, "path")
	if !strings.HasPrefix(r.Path, "/") {
		c.report(field, "no path", "begin it with a slash")
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
		if other.Path != "" && (matches(other.Path, path) || matches(path, other.Path)) {
			c.report(at("routes", i, "path"), "overlaps route "+other.Name, "make the paths differ")
		}
	}
}

func (c checker) timing(i int, r Route) {
	if r.Deadline < 0 || r.DispatchTimeout < 0 {
		c.report(at("routes", i, "deadline"), "below zero", "give a time above zero")
	}
	if r.EffectiveDispatchTimeout() > r.EffectiveDeadline() {
		c.report(at("routes", i, "wait"), "longer than the deadline", "shorten it")
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
		c.report("policy.first", fmt.Sprintf("%q is not known", p.QueueOrder), "give earliest or latest")
	}
}
