package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
)

// Expected costs of an attempt on a server, in milliseconds of delay or of
// equivalent worth. The server with the lowest sum is selected.
const (
	// prefillTokensPerMilli is the number of prompt tokens that an engine processes
	// per millisecond, as the users' pages state for their engines, rounded down.
	prefillTokensPerMilli = 90.0
	// runningCallCostMillis is added for each call in an engine's batch.
	runningCallCostMillis = 1.0
	// queuedCallCostMillis is added for each call beyond an engine's slots.
	queuedCallCostMillis = 60.0
	// plainCallCostMillis is added for each call on a plain server.
	plainCallCostMillis = 20.0
	// crossZoneCostMillis stands for the price of traffic between zones.
	crossZoneCostMillis = 30.0
	// recomputedTokenCostMillis is added for each token of a shared part that is
	// processed although another engine has processed it. It stands for what users
	// pay for it, in addition to the delay.
	recomputedTokenCostMillis = 0.1
	// outdatedCostMillis makes engines with the newest weights preferred.
	// lateVersionCostMillis stands for the credit lost by beginning on weights that
	// were replaced more than lateVersionAge ago.
	outdatedCostMillis    = 10.0
	lateVersionCostMillis = 150.0
	// latencyGoalShare is the share of a call's latency goal that the expected delay
	// may take. Each millisecond beyond it costs overGoalFactor in addition.
	latencyGoalShare = 0.6
	overGoalFactor   = 3.0
	// silentZoneCostMillis reserves servers in zones that seem to be partitioned for
	// calls that have no other server.
	silentZoneCostMillis = 5000.0
	// backoffCostMillis reserves servers that failed for calls that have no other
	// server.
	backoffCostMillis = 10000.0
	// reloadingCostMillis reserves engines that load weights for calls that have no
	// other engine: they refuse calls until the weights are loaded.
	reloadingCostMillis = 100000.0
	// jitterMillisPerVM is the maximum random addition to a cost, per VM of the fleet.
	// VMs decide by the same load figures, which lag, and without it would all select
	// the same server. maxJitterMillis bounds the product.
	jitterMillisPerVM = 0.6
	maxJitterMillis   = 40.0
)

const (
	// lateVersionAge is how long after weights are replaced beginning a call on them
	// costs credit (section "credit" of the rules), less the delay until VMs learn of
	// the new version.
	lateVersionAge = 1200 * time.Millisecond
	// outdatedVersionMargin is subtracted from Bounds.OutdatedVersion. It covers the
	// time that a call takes to reach the engine, and a wait there that no VM knew of.
	outdatedVersionMargin = 1500 * time.Millisecond
	// zoneSilenceTimeout is the time without a message from any VM of a zone after
	// which the zone counts as partitioned. It spans several messages.
	zoneSilenceTimeout = 800 * time.Millisecond
	// A transfer must save more than minFetchTokens.
	minFetchTokens = 64
)

// serverChoice is a server for an attempt and, for model calls, the version and
// prefix cache that the attempt is bound to.
type serverChoice struct {
	server    backend.Server
	version   int64
	cacheSalt string
	fetchFrom string
	// uncachedTokens is the number of prompt tokens that the engine is expected to
	// process.
	uncachedTokens int
	// recomputedTokens counts those of uncachedTokens that another engine has
	// processed, or is processing, for the same weights.
	recomputedTokens int
	// fetchedTokens is the number of tokens expected to be fetched from fetchFrom.
	fetchedTokens int
	// pendingTokens is the number of prompt tokens that the engine had yet to process
	// for other calls, calls their number.
	pendingTokens int
	calls         int
	// kvStoreReachable is set if the server can reach the call's KV cache store.
	kvStoreReachable bool
}

// cacheSaltFor returns the salt of the prefix cache that a team's calls use for a
// version of a model. Isolated teams have a salt of their own.
func cacheSaltFor(model string, version int64, team *catalog.Team) string {
	if team != nil && team.Isolated {
		return fmt.Sprintf("%s@%d/%s", model, version, team.Name)
	}
	return fmt.Sprintf("%s@%d", model, version)
}

// chooseServer returns the server on which an attempt has the lowest expected cost.
func (g *Gateway) chooseServer(f *forwardedCall, service string) (serverChoice, bool) {
	v := g.viewServers(f, service)
	var best serverChoice
	leastCost, found := 0.0, false
	for i, s := range v.statuses {
		if s.Server.Draining || f.excluded[s.Server.ID] {
			continue
		}
		c, cost, ok := g.attemptCost(f, v, i)
		if ok && (!found || cost < leastCost) {
			best, leastCost, found = c, cost, true
		}
	}
	return best, found
}

// attemptCost returns the expected cost of an attempt on server i of a view. It
// reports false if the server cannot take the call.
func (g *Gateway) attemptCost(f *forwardedCall, v *serverView, i int) (serverChoice, float64, bool) {
	s := v.statuses[i]
	c := serverChoice{server: s.Server, pendingTokens: s.Pending, calls: s.Load}
	cost := rand.Float64()*v.maxJitterMillis + queuedCallCostMillis*float64(callsOverSlots(s))
	if s.Server.Zone != g.settings.Zone {
		cost += crossZoneCostMillis
		if v.silentZones[s.Server.Zone] {
			cost += silentZoneCostMillis
		}
	}
	if s.InBackoff {
		cost += backoffCostMillis
	}
	model := f.call.Prompt.Model
	if model == "" {
		return c, cost + plainCallCostMillis*float64(s.Load), true
	}
	c.version = s.Versions[model]
	if c.version == 0 {
		return c, 0, false
	}
	if s.Reloading {
		cost += reloadingCostMillis
	}
	if since, ok := g.catalog.OutdatedSince(model, c.version); ok {
		age := v.now - since
		switch {
		case age+queueDelay(s) > time.Duration(g.settings.Bounds.OutdatedVersion)-outdatedVersionMargin:
			return c, 0, false
		case age > lateVersionAge:
			cost += lateVersionCostMillis
		default:
			cost += outdatedCostMillis
		}
	}
	c.cacheSalt = v.cacheSalts[c.version]
	c.kvStoreReachable = f.kvStore != nil && v.zoneReachable(s.Server.Zone, f.kvStore.Zone)
	delay := v.setPartSource(&c, f, i) + float64(c.uncachedTokens+s.Pending)/prefillTokensPerMilli + runningCallCostMillis*float64(s.Load)
	cost += recomputedTokenCostMillis * float64(c.recomputedTokens)
	return c, cost + delay + overGoalFactor*max(0, delay-latencyGoalShare*float64(f.route.LatencyGoal.Milliseconds())), true
}

// callsOverSlots returns by how many calls a server would exceed its slots if it got
// another one.
func callsOverSlots(s backend.Status) int {
	if s.Server.Slots <= 0 {
		return 0
	}
	return max(0, s.Load+1-s.Server.Slots)
}

// queueDelay returns how long a call may wait on an engine before it begins.
func queueDelay(s backend.Status) time.Duration {
	return time.Duration((float64(s.Pending)/prefillTokensPerMilli + queuedCallCostMillis*float64(callsOverSlots(s))) * float64(time.Millisecond))
}
