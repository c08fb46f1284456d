package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/parts"
)

// proofAgeShare is the share of Bounds.KeyRevocation for which a proof of the
// catalog admits calls with keys. The rest covers the time that a call takes from
// the caller, and differences in clock rates.
const proofAgeShare = 0.92

// retrySpread is the part of the time until a team has tokens again by which the
// Retry-After of refusals is spread.
const retrySpread = 0.25

// Precheck refuses a call whose body has not been read yet if it has no route, or an
// invalid key. It reports whether the call may go on, and whether that is without a key
// where others need one. Serve checks again: the body may take long.
func (g *Gateway) Precheck(call *Call, writer ResponseWriter) (keyless, ok bool) {
	f := &forwardedCall{call: call, writer: writer, startedAt: g.now()}
	c, r := g.matchRoute(f)
	if r != nil {
		g.refuse(f, *r)
		g.recordOutcome(f)
		return false, false
	}
	return c.RequiresKeys() && f.route.Public, true
}

// matchRoute matches the route of a call and authenticates the caller.
func (g *Gateway) matchRoute(f *forwardedCall) (*catalog.Catalog, *Refusal) {
	c := g.catalog.Current()
	if c == nil {
		f.detail = "no configuration yet"
		return nil, &Refusal{Reason: ReasonUnavailable, RetryAfter: defaultRetryAfter}
	}
	f.generation = c.Version()
	if f.route = c.Match(f.call.Host, f.call.Path); f.route == nil {
		return nil, &Refusal{Reason: ReasonNoRoute}
	}
	return c, g.authenticate(c, f)
}

// admit matches the route of a call, authenticates the caller and charges its
// team.
func (g *Gateway) admit(f *forwardedCall) *Refusal {
	c, r := g.matchRoute(f)
	if r != nil {
		return r
	}
	if r := g.admitPart(f); r != nil {
		return r
	}
	f.deadline = f.startedAt + f.route.Timeout
	if f.call.Timeout > 0 {
		f.deadline = min(f.deadline, f.startedAt+f.call.Timeout)
	}
	if end := time.Duration(g.servesUntil.Load()); end > 0 && f.deadline > end {
		f.detail = "process ends before the deadline of the call"
		return &Refusal{Reason: ReasonUnavailable, RetryAfter: defaultRetryAfter}
	}
	if f.service = pickService(f.route); f.service == "" {
		return &Refusal{Reason: ReasonUnavailable, RetryAfter: defaultRetryAfter}
	}
	if s := c.Service(f.service); s != nil {
		f.engine = s.Engine
	}
	if f.kvStore = kvStoreFor(c.KVCacheStores(), f.call.Prompt); f.kvStore != nil && g.kvStores.isDown(f.kvStore.Address, f.startedAt) {
		f.kvStore = nil
	}
	return g.charge(f)
}

// kvStoreFor returns the KV cache store for the parts of a prompt. It hashes the
// longest shared part (rendezvous hashing), so that each store holds other parts and
// together they hold as many as possible.
func kvStoreFor(stores []*catalog.KVCacheStore, p parts.Prompt) *catalog.KVCacheStore {
	shared := p.SharedParts()
	if len(shared) == 0 {
		return nil
	}
	var best *catalog.KVCacheStore
	var bestHash uint64
	for _, s := range stores {
		if h := xxhash.Sum64String(s.Address + "/" + shared[len(shared)-1].ID); best == nil || h > bestHash {
			best, bestHash = s, h
		}
	}
	return best
}

// authenticate finds the team of the call's key.
func (g *Gateway) authenticate(c *catalog.Catalog, f *forwardedCall) *Refusal {
	team, r := g.keyTeam(c, f)
	f.team = team
	return r
}

// keyTeam returns the team that the call's key belongs to now, or nil for a call that
// needs no key.
func (g *Gateway) keyTeam(c *catalog.Catalog, f *forwardedCall) (*catalog.Team, *Refusal) {
	if !c.RequiresKeys() || f.route.Public {
		return nil, nil
	}
	age, ok := g.catalog.ProofAge(g.now())
	if f.proofAge = age; !ok || age > g.maxProofAge() {
		f.detail = "proof of the configuration is too old"
		return nil, &Refusal{Reason: ReasonUnavailable, RetryAfter: defaultRetryAfter}
	}
	team := c.TeamByKey(f.call.Key)
	if team == nil {
		return nil, &Refusal{Reason: ReasonUnknownKey}
	}
	return team, nil
}

// stillAuthorized reports whether the call's key still belongs to the team that the
// call was admitted for. It returns the refusal of the call otherwise. A response that
// has begun is not cut for its key: the call was made while the key was valid.
func (g *Gateway) stillAuthorized(f *forwardedCall) (bool, *Refusal) {
	if f.headerSent {
		return true, nil
	}
	team, r := g.keyTeam(g.catalog.Current(), f)
	switch {
	case r != nil:
		return false, r
	case (team == nil) != (f.team == nil) || team != nil && team.Name != f.team.Name:
		return false, &Refusal{Reason: ReasonUnavailable, RetryAfter: defaultRetryAfter}
	}
	return true, nil
}

// maxProofAge is the age beyond which the proof of the catalog no longer admits
// calls with keys.
func (g *Gateway) maxProofAge() time.Duration {
	return time.Duration(float64(g.settings.Bounds.KeyRevocation) * proofAgeShare)
}

func (g *Gateway) charge(f *forwardedCall) *Refusal {
	if f.team == nil || f.team.Rate <= 0 {
		return nil
	}
	tokens := float64(f.team.DefaultCallTokens)
	if f.call.TokensKnown {
		tokens = float64(f.call.Prompt.InputTokens + f.call.Prompt.MaxOutputTokens)
	}
	ok, wait := g.quota.Take(f.team.Name, g.teamLimits(f.team), f.route.Priority, tokens, g.now())
	if !ok {
		f.detail = fmt.Sprintf("%.0f tokens", tokens)
		// Clients that are refused together should not return together.
		wait += time.Duration(retrySpread * rand.Float64() * float64(wait))
		return &Refusal{Reason: ReasonOverRate, RetryAfter: max(wait, defaultRetryAfter)}
	}
	f.chargedTokens = tokens
	return nil
}

// pickService picks one of a route's services at random, by weight.
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

// priority returns the priority of a call at engines. The priority of the team takes
// precedence over that of the route.
func (f *forwardedCall) priority() int {
	p := f.route.Priority
	if f.team != nil {
		p += teamPriorityWeight * f.team.Priority
	}
	return min(max(p, 0), lowestPriority)
}

const (
	// teamPriorityWeight is the number of route priorities per team priority.
	teamPriorityWeight = 3
	// lowestPriority is the largest number that engines accept as a priority.
	lowestPriority = 9
)
