package gateway

import (
	"slices"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/parts"
)

// survey is what the choice of one server looks at.
type survey struct {
	now      time.Duration
	statuses []backend.Status
	// silent are the zones that seem to be cut off.
	silent map[string]bool
	// spread is the largest random addition to the cost of a server.
	spread float64
	// salts are those of the versions of the call's model.
	salts map[int64]string
	// held are the tokens of shared parts that each server is believed to hold.
	held []int
	// known are the tokens of shared parts under each salt that some holder has
	// or is about to have.
	known map[string]int
	// sources hold some of the shared parts, the most first.
	sources []source
}

// source is an engine or shelf that others can fetch parts from.
type source struct {
	// server is the index in statuses, or -1 for the shelf.
	server  int
	salt    string
	tokens  int
	address string
	zone    string
}

func (g *Gateway) survey(f *flight, service string) *survey {
	now := g.now()
	v := &survey{
		now: now, statuses: g.table.Statuses(service, now), silent: g.node.SilentZones(cutAfter),
		spread: min(mostSpread, spread*float64(g.node.MemberCount()+1)),
	}
	if f.call.Prompt.Model != "" {
		g.surveyParts(f, v)
	}
	return v
}

// surveyParts finds out who holds the shared parts of a call's prompt.
func (g *Gateway) surveyParts(f *flight, v *survey) {
	model, shared := f.call.Prompt.Model, f.call.Prompt.SharedParts()
	since := v.now - g.residence(f, len(v.statuses))
	v.salts = make(map[int64]string)
	v.held, v.known = make([]int, len(v.statuses)), make(map[string]int)
	holdings := make([]parts.CacheLookup, len(v.statuses))
	for i, s := range v.statuses {
		version := s.Versions[model]
		if _, ok := v.salts[version]; !ok {
			v.salts[version] = saltOf(model, version, f.team)
		}
		holdings[i] = parts.CacheLookup{Holder: holderOf(s.Server), Salt: v.salts[version], Since: since}
	}
	if len(shared) == 0 {
		return
	}
	if f.shelf != nil {
		for _, salt := range v.salts {
			holdings = append(holdings, parts.CacheLookup{Holder: shelfHolder(f.shelf.Address), Salt: salt, Since: parts.NoAgeLimit})
		}
	}
	g.parts.Lookup(holdings, shared, v.now)
	for i, h := range holdings {
		v.known[h.Salt] = max(v.known[h.Salt], h.HeldTokens)
		if i < len(v.statuses) {
			v.held[i] = h.HeldTokens
		}
		if h.ReadyTokens == 0 {
			continue
		}
		o := source{server: -1, salt: h.Salt, tokens: h.ReadyTokens}
		if i < len(v.statuses) {
			s := v.statuses[i]
			if s.InBackoff {
				continue
			}
			o.server, o.address, o.zone = i, s.Server.Address, s.Server.Zone
		} else {
			o.address, o.zone = f.shelf.Address, f.shelf.Zone
		}
		v.sources = append(v.sources, o)
	}
	slices.SortStableFunc(v.sources, func(a, b source) int { return b.tokens - a.tokens })
}

// reached reports whether an engine of a zone reaches another zone: a source
// that cannot be reached costs more than reading.
func (v *survey) reached(from, to string) bool { return from == to || !v.silent[to] }

// best returns the source with the most parts beyond what a server holds, of
// equal ones one in its zone.
func (v *survey) best(server int, salt string) (source, bool) {
	var best source
	found := false
	zone := v.statuses[server].Server.Zone
	for _, o := range v.sources {
		switch {
		case o.tokens <= v.held[server]+fetchLeast, found && o.tokens < best.tokens:
			return best, found
		case o.server == server, o.salt != salt, !v.reached(zone, o.zone):
		case !found || (best.zone != zone && o.zone == zone):
			best, found = o, true
		}
	}
	return best, found
}

// source sets where a server fetches a prompt's shared parts from and what is
// left for it to read, and returns the time of the transfer in milliseconds.
func (v *survey) source(c *choice, f *flight, server int) float64 {
	prompt := f.call.Prompt
	own, zone := v.held[server], c.server.Zone
	o, ok := v.best(server, c.salt)
	if !ok {
		c.missing, c.again = max(0, prompt.InputTokens-own), max(0, v.known[c.salt]-own)
		if c.shelved && len(prompt.SharedParts()) > 0 {
			// The engine may have dropped what it held, and this VM may not have
			// heard of what the shelf holds. Nothing moves that the engine has.
			c.fetch = f.shelf.Address
		}
		return 0
	}
	c.fetch = o.address
	c.moved = o.tokens - own
	c.missing, c.again = max(0, prompt.InputTokens-o.tokens), max(0, v.known[c.salt]-o.tokens)
	if f.engine == nil || f.engine.LinkMbps <= 0 {
		return 0
	}
	transfer := float64(c.moved) * f.engine.BytesPerToken * 8 / (f.engine.LinkMbps * 1000)
	if o.zone != zone {
		transfer *= 2
	}
	return transfer
}

const (
	// cachePart is the part of an engine's memory that caches have beside the
	// running calls.
	cachePart = 0.8
	// leastResidence and mostResidence bound the estimate.
	leastResidence = time.Second
	mostResidence  = time.Minute
)

// residence is how long a part that nobody uses stays in an engine's cache, by
// what all VMs together send to the engines of a service.
func (g *Gateway) residence(f *flight, engines int) time.Duration {
	rate := g.inflow.Rate(g.now()) * float64(g.node.MemberCount()+1)
	if f.engine == nil || rate <= 0 {
		return mostResidence
	}
	seconds := cachePart * float64(f.engine.CapacityTokens*engines) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), leastResidence), mostResidence)
}

func holderOf(s backend.Server) parts.Holder { return parts.Holder{ID: s.ID, Born: s.Born} }
