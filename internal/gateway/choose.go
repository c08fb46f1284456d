package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/placement"
)

// zoneSilenceTimeout is the time without a message from any VM of a zone after which
// the zone counts as partitioned. It spans several messages.
const zoneSilenceTimeout = 800 * time.Millisecond

// serverChoice is a server for an attempt and, for model calls, the version and
// prefix cache that the attempt is bound to.
type serverChoice struct {
	placement.Choice
	server    backend.Server
	version   int64
	cacheSalt string
	// pendingTokens is the number of prompt tokens that the engine had yet to process
	// for other calls, calls their number.
	pendingTokens int
	calls         int
	// tokensPerMilli is the number of prompt tokens that the engine processes in a
	// millisecond.
	tokensPerMilli float64
	// refusing is set if the engine is expected to refuse the call without running it.
	refusing bool
	// targetOnly is that of the restriction that the choice was made under.
	targetOnly bool
}

// cacheSaltFor returns the salt of the prefix cache that the calls of a group of teams
// use for a version of a model.
func cacheSaltFor(model string, version int64, cacheGroup string) string {
	return fmt.Sprintf("%s@%d%s", model, version, cacheGroup)
}

// cacheGroup returns the cache group of a call by the configuration in force, which may
// be newer than the one that the call was admitted by.
func (g *Gateway) cacheGroup(f *forwardedCall) string {
	team := ""
	if f.team != nil {
		team = f.team.Name
	}
	return g.catalog.Current().CacheGroup(team)
}

// chooseServer returns the server on which an attempt has the lowest expected cost.
func (g *Gateway) chooseServer(f *forwardedCall, service string) (serverChoice, bool) {
	statuses, v, targetOnly := g.viewServers(f, service)
	pc := placementCall(f)
	if f.queued() {
		g.queues.with(service, func(s *serviceQueue) {
			now := g.now()
			pc.MemoryTokens, pc.Priority = f.ownTokens(), f.queuePriority()
			pc.HeadroomTokens = min(s.Headroom(pc.MemoryTokens, now), f.engine.CapacityTokens/maxHeadroomShare)
			pc.AvoidIdle = s.AvoidIdle(f.attempts, now, rand.Float64)
		})
	}
	choice, ok := placement.Choose(pc, v, rand.Float64)
	if !ok {
		return serverChoice{}, false
	}
	s, seen := &statuses[choice.Index], &v.Servers[choice.Index]
	return serverChoice{
		Choice: choice, server: s.Server, version: seen.Version, cacheSalt: seen.CacheSalt,
		pendingTokens: s.Pending, calls: s.Load, tokensPerMilli: s.TokensPerMilli,
		refusing:   s.Refusing || s.Reloading,
		targetOnly: targetOnly,
	}, true
}

// placementCall returns what the placement of a call depends on.
func placementCall(f *forwardedCall) *placement.Call {
	c := &placement.Call{Model: f.call.Prompt.Model, InputTokens: f.call.Prompt.InputTokens, LatencyGoal: f.route.LatencyGoal}
	for _, p := range f.call.Prompt.SharedParts() {
		c.SharedTokens += p.Tokens
	}
	if f.engine != nil {
		c.BytesPerToken, c.LinkMbps = f.engine.BytesPerToken, f.engine.LinkMbps
	}
	return c
}

func engineHolder(s backend.Server) parts.Holder { return parts.Holder{ID: s.ID, Born: s.Born} }
