package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/parts"
)

// revokePart is the part of the bound on withdrawn keys during which a proof of
// the catalog admits calls with keys; the rest covers the way from the caller
// and differences of clock rates.
const revokePart = 0.92

// admit finds the route and the team of a call, and charges the team.
func (g *Gateway) admit(f *flight) *Refusal {
	c := g.catalog.Current()
	if c == nil {
		f.why = "no configuration yet"
		return &Refusal{Reason: ReasonUnavailable, RetryAfter: comeBack}
	}
	f.generation = c.Version()
	if f.route = c.Match(f.call.Host, f.call.Path); f.route == nil {
		return &Refusal{Reason: ReasonNoRoute}
	}
	if r := g.identify(c, f); r != nil {
		return r
	}
	f.ends = f.began + f.route.Timeout
	if f.call.Timeout > 0 {
		f.ends = min(f.ends, f.began+f.call.Timeout)
	}
	if f.service = pickService(f.route); f.service == "" {
		return &Refusal{Reason: ReasonUnavailable, RetryAfter: comeBack}
	}
	if s := c.Service(f.service); s != nil {
		f.engine = s.Engine
	}
	if f.shelf = shelfOf(c.KVCacheStores(), f.call.Prompt); f.shelf != nil && g.shelves.down(f.shelf.Address, f.began) {
		f.shelf = nil
	}
	return g.charge(f)
}

// shelfOf returns the shelf that a prompt's parts are kept on: one of several
// by the deepest shared part, so that together they hold as much as they can.
func shelfOf(shelves []*catalog.KVCacheStore, p parts.Prompt) *catalog.KVCacheStore {
	shared := p.SharedParts()
	if len(shared) == 0 {
		return nil
	}
	var best *catalog.KVCacheStore
	var most uint64
	for _, s := range shelves {
		if h := xxhash.Sum64String(s.Address + "/" + shared[len(shared)-1].ID); best == nil || h > most {
			best, most = s, h
		}
	}
	return best
}

// identify finds the team that holds the call's key.
func (g *Gateway) identify(c *catalog.Catalog, f *flight) *Refusal {
	if !c.RequiresKeys() || f.route.Public {
		return nil
	}
	age, ok := g.catalog.ProofAge(g.now())
	if f.proof = age; !ok || age > g.stale() {
		f.why = "proof of the configuration is too old"
		return &Refusal{Reason: ReasonUnavailable, RetryAfter: comeBack}
	}
	if f.team = c.TeamByKey(f.call.Key); f.team == nil {
		return &Refusal{Reason: ReasonUnknownKey}
	}
	return nil
}

// stale is the age from which the proof of the catalog admits no keys.
func (g *Gateway) stale() time.Duration {
	return time.Duration(float64(g.settings.Bounds.KeyRevocation) * revokePart)
}

func (g *Gateway) charge(f *flight) *Refusal {
	if f.team == nil || f.team.Rate <= 0 {
		return nil
	}
	tokens := float64(f.team.DefaultCallTokens)
	if f.call.TokensKnown {
		tokens = float64(f.call.Prompt.InputTokens + f.call.Prompt.MaxOutputTokens)
	}
	ok, wait := g.quota.Take(f.team.Name, g.limitsOf(f.team), tokens, g.now())
	if !ok {
		f.why = fmt.Sprintf("%.0f tokens", tokens)
		return &Refusal{Reason: ReasonOverRate, RetryAfter: max(wait, comeBack)}
	}
	f.charged = tokens
	return nil
}

// pickService draws one of a route's services by weight.
func pickService(r *catalog.Route) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range r.Targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Service
		}
	}
	return ""
}

// priority is the rank at engines: that of the team goes before that of the route.
func (f *flight) priority() int {
	p := f.route.Priority
	if f.team != nil {
		p += teamRanks * f.team.Priority
	}
	return min(max(p, 0), lowestPriority)
}

const (
	// teamRanks is how many ranks of routes lie between two ranks of teams.
	teamRanks = 3
	// lowestPriority is the last rank that engines know.
	lowestPriority = 9
)
