package placement

import (
	"slices"
	"time"
)

// Expected costs of an attempt on a server, in milliseconds of delay or of
// equivalent worth. The server with the lowest sum is selected.
const (
	// runningCallCostMillis is added for each call in an engine's batch.
	runningCallCostMillis = 1.0
	// QueuedCallCostMillis is added for each call beyond an engine's slots.
	QueuedCallCostMillis = 60.0
	// plainCallCostMillis is added for each call on a plain server.
	plainCallCostMillis = 20.0
	// crossZoneCostMillis stands for the price of traffic between zones.
	crossZoneCostMillis = 30.0
	// recomputedTokenCostMillis is added for each token of a shared part that is
	// processed although another engine has processed it. It stands for what users
	// pay for it, in addition to the delay.
	recomputedTokenCostMillis = 0.1
	// copiedTokenShare is the cost of a token that is fetched, relative to processing
	// it. A copy takes room in the engine's cache from other parts, which are fetched or
	// processed again later.
	copiedTokenShare = 2.0
	// outdatedCostMillis makes engines with the newest weights preferred.
	// lateVersionCostMillis stands for the credit lost by beginning on weights that
	// were replaced more than lateVersionAge ago.
	outdatedCostMillis    = 10.0
	lateVersionCostMillis = 150.0
	// latencyGoalShare is the share of a call's latency goal that the expected delay
	// may take. Each millisecond beyond it costs overGoalFactor in addition.
	latencyGoalShare = 0.6
	overGoalFactor   = 3.0
	// pacedCostMillis reserves servers that start or recover, and have as many calls as
	// they should, for calls that would wait on the others. It does not apply if no other
	// server is free. It is below
	// lateVersionCostMillis, so that no call begins on late weights instead.
	pacedCostMillis = 120.0
	// silentZoneCostMillis reserves servers in zones that seem to be partitioned for
	// calls that have no other server.
	silentZoneCostMillis = 5000.0
	// backoffCostMillis reserves servers that failed for calls that have no other
	// server.
	backoffCostMillis = 10000.0
	// suspectCostMillis keeps a call that avoids idle servers away from those with less
	// than suspectLoadShare of the mean load.
	suspectCostMillis = 5000.0
	suspectLoadShare  = 0.5
	// refusingCostMillis reserves servers that refused calls a moment ago for calls that
	// have no other server. It exceeds backoffCostMillis: a refusal costs a retry.
	refusingCostMillis = 20000.0
	// reloadingCostMillis reserves engines that load weights for calls that have no
	// other engine: they refuse calls until the weights are loaded.
	reloadingCostMillis = 100000.0
	// jitterMillisPerVM is the maximum random addition to a cost, per VM of the fleet.
	// VMs decide by the same load figures, which lag, and without it would all select
	// the same server. maxJitterMillis bounds the product.
	jitterMillisPerVM = 0.2
	maxJitterMillis   = 40.0
)

const (
	// lateVersionAge is how long after weights are replaced beginning a call on them
	// costs credit (section "credit" of the rules), less the delay until VMs learn of
	// the new version.
	lateVersionAge = 1200 * time.Millisecond
	// OutdatedVersionMargin is subtracted from View.MaxOutdated. It covers the time
	// that a call takes to reach the engine, and a wait there that no VM knew of.
	OutdatedVersionMargin = 1500 * time.Millisecond
	// minFetchTokens is what a transfer must save more than.
	minFetchTokens = 64
)

// Choice is a server for an attempt.
type Choice struct {
	// Index is the server's index in the view.
	Index int
	// FetchFrom is the address to fetch cached parts from, or empty.
	FetchFrom string
	// UncachedTokens is the number of prompt tokens that the engine is expected to
	// process. RecomputedTokens counts those of them that another engine has processed,
	// or is processing, for the same weights.
	UncachedTokens   int
	RecomputedTokens int
	// FetchedTokens is the number of tokens expected to be fetched from FetchFrom.
	FetchedTokens int
	// StoreReachable is set if the server can reach the call's KV cache store.
	StoreReachable bool
	// LastResort is set if the server has failed, is loading weights or is in a zone that
	// seems to be partitioned.
	LastResort bool
	// Free is the number of servers that have room for the call and neither fail, refuse
	// calls nor load weights. HasRoom is set if the selected server has room.
	Free    int
	HasRoom bool
}

// Choose returns the server on which an attempt has the lowest expected cost. It
// reports false if no server can take the call. Random must return numbers in [0, 1).
//
// It answers bursts at one prefix by spreading over engines once the expected delay
// exceeds what a copy of the prefix costs, and engines that slow down, fail or load
// weights by their costs. It looks at each server of the service at most twice.
func Choose(c *Call, v *View, random func() float64) (Choice, bool) {
	var best Choice
	leastCost, found, free := 0.0, false, 0
	// Servers with less load are suspected of refusing calls.
	suspectLoad := -1.0
	if c.AvoidIdle {
		suspectLoad = suspectLoadShare * v.meanLoad()
	}
	// A server at its limit comes before those without room, which would be sent more than
	// their memory holds.
	reservesPaced := slices.ContainsFunc(v.Servers, func(s Server) bool {
		return !s.Excluded && !s.AtLimit && (c.Model == "" || s.Version != 0) && s.isFree(c)
	})
	for i := range v.Servers {
		if v.Servers[i].Excluded {
			continue
		}
		choice, cost, ok := attemptCost(c, v, i, random)
		if ok && v.Servers[i].isFree(c) {
			free++
		}
		if reservesPaced && v.Servers[i].AtLimit {
			cost += pacedCostMillis
		}
		if s := &v.Servers[i]; !s.Accepting && float64(s.Load) < suspectLoad {
			cost += suspectCostMillis
		}
		if ok && (!found || cost < leastCost) {
			best, leastCost, found = choice, cost, true
		}
	}
	if found {
		best.Free, best.HasRoom = free, v.Servers[best.Index].hasRoom(c)
	}
	return best, found
}

// meanLoad returns the mean number of calls on the servers that may be selected.
func (v *View) meanLoad() float64 {
	calls, servers := 0, 0
	for i := range v.Servers {
		if s := &v.Servers[i]; !s.Excluded && !s.Reloading {
			calls += s.Load
			servers++
		}
	}
	return float64(calls) / float64(max(1, servers))
}

// attemptCost returns the expected cost of an attempt on server i. It reports false if
// the server cannot take the call.
func attemptCost(c *Call, v *View, i int, random func() float64) (Choice, float64, bool) {
	s := &v.Servers[i]
	choice := Choice{Index: i, LastResort: s.InBackoff || s.Refusing || s.Reloading || s.Zone != v.Zone && v.SilentZones[s.Zone]}
	cost := random()*min(maxJitterMillis, jitterMillisPerVM*float64(v.VMs)) + QueuedCallCostMillis*float64(max(s.callsOverSlots(), s.callsOverMemory(c)))
	if s.Zone != v.Zone {
		cost += crossZoneCostMillis
		if v.SilentZones[s.Zone] {
			cost += silentZoneCostMillis
		}
	}
	if s.InBackoff {
		cost += backoffCostMillis
	}
	if s.Refusing {
		cost += refusingCostMillis
	}
	if c.Model == "" {
		return choice, cost + plainCallCostMillis*float64(s.Load), true
	}
	if s.Version == 0 {
		return choice, 0, false
	}
	if s.Reloading {
		cost += reloadingCostMillis
	}
	if s.OutdatedFor >= 0 {
		switch {
		case s.OutdatedFor+s.queueDelay() > v.MaxOutdated-OutdatedVersionMargin:
			return choice, 0, false
		case s.OutdatedFor > lateVersionAge:
			cost += lateVersionCostMillis
		default:
			cost += outdatedCostMillis
		}
	}
	choice.StoreReachable = v.StoreAddress != "" && v.zoneReachable(s.Zone, v.StoreZone)
	transfer := v.setSource(&choice, c)
	delay := transfer + float64(choice.UncachedTokens+s.PendingTokens)/s.TokensPerMilli + runningCallCostMillis*float64(s.Load)
	cost += recomputedTokenCostMillis*float64(choice.RecomputedTokens) + copiedTokenShare*float64(choice.FetchedTokens)/s.TokensPerMilli
	return choice, cost + delay + overGoalFactor*max(0, delay-latencyGoalShare*float64(c.LatencyGoal.Milliseconds())), true
}

// callsOverSlots returns by how many calls a server would exceed its slots if it got
// another one.
func (s *Server) callsOverSlots() int {
	if s.Slots <= 0 {
		return 0
	}
	return max(0, s.Load+1-s.Slots)
}

// callsOverMemory returns by how many calls of its size a server would exceed its memory
// if it got the call.
func (s *Server) callsOverMemory(c *Call) int {
	need := max(c.MemoryTokens+max(0, c.SharedTokens-s.HeldTokens), c.HeadroomTokens)
	if s.CapacityTokens <= 0 || c.MemoryTokens <= 0 || s.Load < s.Slots/minCallsShare {
		return 0
	}
	over := s.MemoryTokens + need - s.CapacityTokens
	if over <= 0 {
		return 0
	}
	perCall := max(1, s.MemoryTokens/max(1, s.Load))
	return (over + perCall - 1) / perCall
}

// hasRoom reports whether a server can begin the call soon. The calls that may wait on a
// server beyond its slots keep it busy until VMs have learned of the calls that ended.
func (s *Server) hasRoom(c *Call) bool {
	return s.callsOverSlots() <= max(minWaitingCalls, s.Slots>>min(max(c.Priority, 0), maxPriorityShift)) && s.callsOverMemory(c) == 0
}

// isFree reports whether a server has room for the call and neither fails, refuses calls
// nor loads weights.
func (s *Server) isFree(c *Call) bool {
	return s.hasRoom(c) && !s.InBackoff && !s.Refusing && !s.Reloading
}

const (
	// As many calls of priority 0 may wait on a server as it has slots, and half as many of
	// each lower priority down to maxPriorityShift: servers serve by priority, and VMs that
	// hold back less urgent calls leave room for the urgent ones of other VMs. At least
	// minWaitingCalls may wait.
	maxPriorityShift = 2
	minWaitingCalls  = 4
	// minCallsShare divides the slots of a server into the number of calls up to which its
	// memory counts as sufficient: what calls hold is an upper estimate.
	minCallsShare = 4
)

// queueDelay returns how long a call may wait on an engine before it begins.
func (s *Server) queueDelay() time.Duration {
	return time.Duration((float64(s.PendingTokens)/s.TokensPerMilli + QueuedCallCostMillis*float64(s.callsOverSlots())) * float64(time.Millisecond))
}

// bestSource returns the source with the most tokens beyond those that a server has
// cached, preferring sources in its zone among equals.
func (v *View) bestSource(server int) (Source, bool) {
	s := &v.Servers[server]
	var best Source
	found := false
	for _, source := range v.Sources {
		switch {
		case source.ReadyTokens <= s.HeldTokens+minFetchTokens, found && source.ReadyTokens < best.ReadyTokens:
			return best, found
		case source.Server == server, source.CacheSalt != s.CacheSalt, !v.zoneReachable(s.Zone, source.Zone):
		case !found || (best.Zone != s.Zone && source.Zone == s.Zone):
			best, found = source, true
		}
	}
	return best, found
}

// setSource sets where the server of a choice fetches the shared parts of a prompt from
// and how many tokens remain for it to process. It returns the time of the transfer in
// milliseconds.
func (v *View) setSource(choice *Choice, c *Call) float64 {
	s := &v.Servers[choice.Index]
	known := v.KnownTokens[s.CacheSalt]
	source, ok := v.bestSource(choice.Index)
	if !ok {
		choice.UncachedTokens, choice.RecomputedTokens = max(0, c.InputTokens-s.HeldTokens), max(0, known-s.HeldTokens)
		if choice.StoreReachable && c.SharedTokens > 0 {
			// The engine may have evicted what it held, and this VM may not know yet what
			// the store holds. Parts that the engine has cached are not transferred.
			choice.FetchFrom = v.StoreAddress
		}
		return 0
	}
	choice.FetchFrom = source.Address
	choice.FetchedTokens = source.ReadyTokens - s.HeldTokens
	choice.UncachedTokens, choice.RecomputedTokens = max(0, c.InputTokens-source.ReadyTokens), max(0, known-source.ReadyTokens)
	if c.LinkMbps <= 0 {
		return 0
	}
	transfer := float64(choice.FetchedTokens) * c.BytesPerToken * 8 / (c.LinkMbps * 1000)
	if source.Zone != s.Zone {
		transfer *= 2
	}
	return transfer
}
