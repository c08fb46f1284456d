package gateway

import (
	"slices"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/parts"
)

// serverView is a snapshot of what the selection of a server depends on.
type serverView struct {
	now      time.Duration
	statuses []backend.Status
	// silentZones holds the zones that seem to be partitioned.
	silentZones map[string]bool
	// maxJitterMillis is the maximum random addition to the cost of a server.
	maxJitterMillis float64
	// cacheSalts maps each version of the call's model that some server runs to its
	// cache salt.
	cacheSalts map[int64]string
	// heldTokens is the number of tokens of shared parts that each server is believed
	// to have cached.
	heldTokens []int
	// knownTokens is the number of tokens of shared parts that some holder has cached,
	// or is about to have cached, under each salt.
	knownTokens map[string]int
	// partSources lists holders of shared parts, sorted by descending readyTokens.
	partSources []partSource
}

// partSource is an engine or KV cache store from which other engines can fetch
// parts.
type partSource struct {
	// serverIndex is the index in statuses, or -1 for the KV cache store.
	serverIndex int
	cacheSalt   string
	readyTokens int
	address     string
	zone        string
}

func (g *Gateway) viewServers(f *forwardedCall, service string) *serverView {
	now := g.now()
	v := &serverView{
		now: now, statuses: g.table.Statuses(service, now), silentZones: g.node.SilentZones(zoneSilenceTimeout),
		maxJitterMillis: min(maxJitterMillis, jitterMillisPerVM*float64(g.node.MemberCount()+1)),
	}
	if f.call.Prompt.Model != "" {
		g.viewParts(f, v)
	}
	return v
}

// viewParts looks up which holders have the shared parts of a call's prompt cached.
func (g *Gateway) viewParts(f *forwardedCall, v *serverView) {
	model, shared := f.call.Prompt.Model, f.call.Prompt.SharedParts()
	since := v.now - g.cacheResidence(f, len(v.statuses))
	v.cacheSalts = make(map[int64]string)
	v.heldTokens, v.knownTokens = make([]int, len(v.statuses)), make(map[string]int)
	lookups := make([]parts.CacheLookup, len(v.statuses))
	for i, s := range v.statuses {
		version := s.Versions[model]
		if _, ok := v.cacheSalts[version]; !ok {
			v.cacheSalts[version] = cacheSaltFor(model, version, f.team)
		}
		lookups[i] = parts.CacheLookup{Holder: engineHolder(s.Server), Salt: v.cacheSalts[version], Since: since}
	}
	if len(shared) == 0 {
		return
	}
	if f.kvStore != nil {
		for _, salt := range v.cacheSalts {
			lookups = append(lookups, parts.CacheLookup{Holder: kvStoreHolder(f.kvStore.Address), Salt: salt, Since: parts.NoAgeLimit})
		}
	}
	g.parts.Lookup(lookups, shared, v.now)
	for i, l := range lookups {
		v.knownTokens[l.Salt] = max(v.knownTokens[l.Salt], l.HeldTokens)
		if i < len(v.statuses) {
			v.heldTokens[i] = l.HeldTokens
		}
		if l.ReadyTokens == 0 {
			continue
		}
		source := partSource{serverIndex: -1, cacheSalt: l.Salt, readyTokens: l.ReadyTokens}
		if i < len(v.statuses) {
			s := v.statuses[i]
			if s.InBackoff {
				continue
			}
			source.serverIndex, source.address, source.zone = i, s.Server.Address, s.Server.Zone
		} else {
			source.address, source.zone = f.kvStore.Address, f.kvStore.Zone
		}
		v.partSources = append(v.partSources, source)
	}
	slices.SortStableFunc(v.partSources, func(a, b partSource) int { return b.readyTokens - a.readyTokens })
}

// zoneReachable reports whether an engine in one zone can reach another zone. A
// fetch from an unreachable source costs more than processing the tokens.
func (v *serverView) zoneReachable(from, to string) bool { return from == to || !v.silentZones[to] }

// bestSource returns the source with the most tokens beyond those that a server has
// cached, preferring sources in its zone among equals.
func (v *serverView) bestSource(serverIndex int, salt string) (partSource, bool) {
	var best partSource
	found := false
	zone := v.statuses[serverIndex].Server.Zone
	for _, source := range v.partSources {
		switch {
		case source.readyTokens <= v.heldTokens[serverIndex]+minFetchTokens, found && source.readyTokens < best.readyTokens:
			return best, found
		case source.serverIndex == serverIndex, source.cacheSalt != salt, !v.zoneReachable(zone, source.zone):
		case !found || (best.zone != zone && source.zone == zone):
			best, found = source, true
		}
	}
	return best, found
}

// setPartSource sets where a server fetches the shared parts of a prompt from and how
// many tokens remain for it to process. It returns the time of the transfer in
// milliseconds.
func (v *serverView) setPartSource(c *serverChoice, f *forwardedCall, serverIndex int) float64 {
	prompt := f.call.Prompt
	held, zone := v.heldTokens[serverIndex], c.server.Zone
	source, ok := v.bestSource(serverIndex, c.cacheSalt)
	if !ok {
		c.uncachedTokens, c.recomputedTokens = max(0, prompt.InputTokens-held), max(0, v.knownTokens[c.cacheSalt]-held)
		if c.kvStoreReachable && len(prompt.SharedParts()) > 0 {
			// The engine may have evicted what it held, and this VM may not know yet what
			// the store holds. Parts that the engine has cached are not transferred.
			c.fetchFrom = f.kvStore.Address
		}
		return 0
	}
	c.fetchFrom = source.address
	c.fetchedTokens = source.readyTokens - held
	c.uncachedTokens, c.recomputedTokens = max(0, prompt.InputTokens-source.readyTokens), max(0, v.knownTokens[c.cacheSalt]-source.readyTokens)
	if f.engine == nil || f.engine.LinkMbps <= 0 {
		return 0
	}
	transfer := float64(c.fetchedTokens) * f.engine.BytesPerToken * 8 / (f.engine.LinkMbps * 1000)
	if source.zone != zone {
		transfer *= 2
	}
	return transfer
}

const (
	// cacheMemoryShare is the share of an engine's memory that is left for the prefix
	// cache beside the running calls.
	cacheMemoryShare = 0.8
	// minResidence and maxResidence bound the estimate of cacheResidence.
	minResidence = time.Second
	maxResidence = time.Minute
)

// cacheResidence estimates how long an unused part stays in an engine's cache, from
// the rate at which all VMs send tokens to the engines of the service.
func (g *Gateway) cacheResidence(f *forwardedCall, engines int) time.Duration {
	rate := g.promptThroughput.Rate(g.now()) * float64(g.node.MemberCount()+1)
	if f.engine == nil || rate <= 0 {
		return maxResidence
	}
	seconds := cacheMemoryShare * float64(f.engine.CapacityTokens*engines) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minResidence), maxResidence)
}

func engineHolder(s backend.Server) parts.Holder { return parts.Holder{ID: s.ID, Born: s.Born} }
