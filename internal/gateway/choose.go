package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
)

// What an attempt at a server is expected to cost, in milliseconds of delay or
// their worth.
const (
	// readRate is the prompt tokens that an engine reads in a millisecond, as
	// the users' pages state for their engines, rounded down.
	readRate = 90.0
	// callCost is one call more in an engine's batch.
	callCost = 1.0
	// queueCost is one call more than an engine has slots.
	queueCost = 60.0
	// plainCost is one call more at a plain server.
	plainCost = 20.0
	// zoneCost stands for the bytes of a call between zones, which are priced.
	zoneCost = 30.0
	// againCost is a token of a shared part that is read although another engine
	// has read it: what users pay for it, beside the delay.
	againCost = 0.1
	// oldCost prefers engines with the newest weights; lateCost stands for the
	// credit lost by beginning on weights that were replaced a while ago.
	oldCost  = 10.0
	lateCost = 150.0
	// tardyPart is the part of a call's goal that the expected delay may take;
	// each millisecond beyond costs tardyRate more.
	tardyPart = 0.6
	tardyRate = 3.0
	// cutCost keeps servers in zones that seem to be cut off for calls that have
	// no other.
	cutCost = 5000.0
	// restCost keeps servers that failed for calls that have no other.
	restCost = 10000.0
	// reloadCost keeps engines that load weights for calls that have no other:
	// they refuse until they have loaded.
	reloadCost = 100000.0
	// spread is the largest random addition for each VM: the VMs choose by the
	// same figures, which lag, and would all take the same server.
	spread = 0.6
	// mostSpread bounds it.
	mostSpread = 40.0
)

const (
	// lateAfter is from when on beginning on older weights costs credit (rules,
	// credit), less the lag of the news.
	lateAfter = 1200 * time.Millisecond
	// versionMargin is taken off the bound after which no call may begin on
	// older weights, for the way to the engine and a wait there that nobody saw.
	versionMargin = 1500 * time.Millisecond
	// cutAfter is how long no VM of a zone was heard before the zone seems to be
	// cut off; it spans several messages.
	cutAfter = 800 * time.Millisecond
	// fetchLeast is the smallest gain of a transfer, in tokens.
	fetchLeast = 64
)

// choice is a server for an attempt, with how a model call is bound to it.
type choice struct {
	server  backend.Server
	version int64
	salt    string
	fetch   string
	// missing are the prompt tokens that the engine is expected to read; pending
	// and load are what it had to do for other calls.
	missing int
	// again are those of the missing tokens that another engine has read, or is
	// reading, for the same weights.
	again int
	// moved are the tokens that fetch is expected to bring.
	moved   int
	pending int
	load    int
	// shelved is set where the server reaches the shelf.
	shelved bool
}

// saltOf names the cache that calls of a team share for a version of a model.
func saltOf(model string, version int64, team *catalog.Team) string {
	if team != nil && team.Isolated {
		return fmt.Sprintf("%s@%d/%s", model, version, team.Name)
	}
	return fmt.Sprintf("%s@%d", model, version)
}

// choose returns the server that an attempt is expected to cost least at.
func (g *Gateway) choose(f *flight, service string) (choice, bool) {
	v := g.survey(f, service)
	var best choice
	least, found := 0.0, false
	for i, s := range v.statuses {
		if s.Server.Draining || f.tried[s.Server.ID] {
			continue
		}
		c, cost, ok := g.weigh(f, v, i)
		if ok && (!found || cost < least) {
			best, least, found = c, cost, true
		}
	}
	return best, found
}

// weigh returns what an attempt at a server of a survey is expected to cost.
func (g *Gateway) weigh(f *flight, v *survey, i int) (choice, float64, bool) {
	s := v.statuses[i]
	c := choice{server: s.Server, pending: s.Pending, load: s.Load}
	cost := rand.Float64()*v.spread + queueCost*float64(over(s))
	if s.Server.Zone != g.settings.Zone {
		cost += zoneCost
		if v.silent[s.Server.Zone] {
			cost += cutCost
		}
	}
	if s.InBackoff {
		cost += restCost
	}
	model := f.call.Prompt.Model
	if model == "" {
		return c, cost + plainCost*float64(s.Load), true
	}
	c.version = s.Versions[model]
	if c.version == 0 {
		return c, 0, false
	}
	if s.Reloading {
		cost += reloadCost
	}
	if since, ok := g.catalog.OutdatedSince(model, c.version); ok {
		age := v.now - since
		switch {
		case age+queued(s) > time.Duration(g.settings.Bounds.OutdatedVersion)-versionMargin:
			return c, 0, false
		case age > lateAfter:
			cost += lateCost
		default:
			cost += oldCost
		}
	}
	c.salt = v.salts[c.version]
	c.shelved = f.shelf != nil && v.reached(s.Server.Zone, f.shelf.Zone)
	delay := v.source(&c, f, i) + float64(c.missing+s.Pending)/readRate + callCost*float64(s.Load)
	cost += againCost * float64(c.again)
	return c, cost + delay + tardyRate*max(0, delay-tardyPart*float64(f.route.LatencyGoal.Milliseconds())), true
}

// over is how many calls more than its slots a server would have with another one.
func over(s backend.Status) int {
	if s.Server.Slots <= 0 {
		return 0
	}
	return max(0, s.Load+1-s.Server.Slots)
}

// queued is how long a call may wait at an engine before it begins.
func queued(s backend.Status) time.Duration {
	return time.Duration((float64(s.Pending)/readRate + queueCost*float64(over(s))) * float64(time.Millisecond))
}
