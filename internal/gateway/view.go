package gateway

import (
	"slices"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/placement"
)

// viewServers returns the servers of a service, and what the placement of a call
// depends on of each. The last result is that of restriction.targetOnly.
func (g *Gateway) viewServers(f *forwardedCall, service string) ([]backend.Status, *placement.View, bool) {
	now := g.now()
	statuses := g.table.Statuses(service, now)
	v := &placement.View{
		Zone: g.settings.Zone, SilentZones: g.node.SilentZones(zoneSilenceTimeout), VMs: g.node.MemberCount() + 1,
		Servers: make([]placement.Server, len(statuses)), MaxOutdated: time.Duration(g.settings.Bounds.OutdatedVersion),
	}
	x := g.rollouts.restrict(f, service, statuses, now)
	for i, s := range statuses {
		v.Servers[i] = placement.Server{
			Zone: s.Server.Zone, Load: s.Load, Slots: s.Server.Slots, PendingTokens: s.Pending, TokensPerMilli: s.TokensPerMilli,
			Excluded: s.Server.Draining || f.excluded[s.Server.ID] || x.excludes(i), InBackoff: s.InBackoff, Reloading: s.Reloading,
			Refusing: s.Refusing, Accepting: s.Accepting, MemoryTokens: s.HeldTokens,
		}
		if f.queued() {
			v.Servers[i].CapacityTokens = f.engine.CapacityTokens
		}
	}
	g.viewPace(statuses, v, now)
	if f.call.Prompt.Model != "" {
		g.viewVersions(f, statuses, v, now)
		g.viewParts(f, statuses, v, now)
	}
	return statuses, v, x.targetOnly
}

// viewVersions fills in the versions of the call's model that servers run.
func (g *Gateway) viewVersions(f *forwardedCall, statuses []backend.Status, v *placement.View, now time.Duration) {
	model, cacheGroup := f.call.Prompt.Model, g.cacheGroup(f)
	known := make(map[int64]placement.Server)
	for i := range v.Servers {
		version := statuses[i].Versions[model]
		x, ok := known[version]
		if !ok {
			x.CacheSalt, x.OutdatedFor = cacheSaltFor(model, version, cacheGroup), -1
			if since, outdated := g.catalog.OutdatedSince(model, version); outdated {
				x.OutdatedFor = now - since
			}
			known[version] = x
		}
		s := &v.Servers[i]
		s.Version, s.CacheSalt, s.OutdatedFor = version, x.CacheSalt, x.OutdatedFor
	}
}

// viewParts fills in which holders have the shared parts of a call's prompt cached.
func (g *Gateway) viewParts(f *forwardedCall, statuses []backend.Status, v *placement.View, now time.Duration) {
	shared := f.call.Prompt.SharedBlocks()
	if f.kvStore != nil {
		v.StoreAddress, v.StoreZone = f.kvStore.Address, f.kvStore.Zone
	}
	v.KnownTokens = make(map[string]int)
	if len(shared) == 0 {
		return
	}
	since := now - g.cacheResidence(f, len(statuses))
	lookups := make([]parts.CacheLookup, len(statuses), len(statuses)+1)
	salts := make(map[string]bool)
	for i, s := range statuses {
		salt := v.Servers[i].CacheSalt
		salts[salt] = true
		lookups[i] = parts.CacheLookup{Holder: engineHolder(s.Server), Salt: salt, Since: since}
	}
	if f.kvStore != nil {
		for salt := range salts {
			lookups = append(lookups, parts.CacheLookup{Holder: kvStoreHolder(f.kvStore.Address), Salt: salt, Since: parts.NoAgeLimit})
		}
	}
	g.parts.Lookup(lookups, shared, now)
	for i, l := range lookups {
		v.KnownTokens[l.Salt] = max(v.KnownTokens[l.Salt], l.HeldTokens)
		source := placement.Source{Server: -1, CacheSalt: l.Salt, ReadyTokens: l.ReadyTokens, Address: v.StoreAddress, Zone: v.StoreZone}
		if i < len(statuses) {
			s := &statuses[i]
			v.Servers[i].HeldTokens = l.HeldTokens
			if s.InBackoff {
				continue
			}
			source.Server, source.Address, source.Zone = i, s.Server.Address, s.Server.Zone
		}
		if l.ReadyTokens > 0 {
			v.Sources = append(v.Sources, source)
		}
	}
	slices.SortStableFunc(v.Sources, func(a, b placement.Source) int { return b.ReadyTokens - a.ReadyTokens })
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
