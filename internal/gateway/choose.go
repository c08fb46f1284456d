package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/parts"
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
	zoneCost = 12.0
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
	// moved are the tokens that fetch is expected to bring.
	moved   int
	pending int
	load    int
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
	now := g.now()
	var best choice
	least, found := 0.0, false
	statuses := g.table.Of(service, now)
	f.silent = g.node.Silent(cutAfter)
	f.spread = min(mostSpread, spread*float64(g.node.Members()+1))
	for _, s := range statuses {
		if s.Server.Draining || f.tried[s.Server.ID] {
			continue
		}
		c, cost, ok := g.weigh(f, s, statuses, now)
		if ok && (!found || cost < least) {
			best, least, found = c, cost, true
		}
	}
	return best, found
}

// weigh returns what an attempt at a server is expected to cost.
func (g *Gateway) weigh(f *flight, s backend.Status, all []backend.Status, now time.Duration) (choice, float64, bool) {
	c := choice{server: s.Server, pending: s.Pending, load: s.Load}
	cost := rand.Float64() * f.spread
	if s.Server.Zone != g.settings.Zone {
		cost += zoneCost
		if f.silent[s.Server.Zone] {
			cost += cutCost
		}
	}
	if s.Resting {
		cost += restCost
	}
	model := f.call.Prompt.Model
	if model == "" {
		cost += plainCost * float64(s.Load)
		if over := s.Load + 1 - s.Server.Slots; s.Server.Slots > 0 && over > 0 {
			cost += queueCost * float64(over)
		}
		return c, cost, true
	}
	c.version = s.Versions[model]
	if c.version == 0 {
		return c, 0, false
	}
	if s.Reloading {
		cost += reloadCost
	}
	if since, ok := g.catalog.Outdated(model, c.version); ok {
		age := now - since
		switch {
		case age+queued(s) > time.Duration(g.settings.Bounds.Version)-versionMargin:
			return c, 0, false
		case age > lateAfter:
			cost += lateCost
		default:
			cost += oldCost
		}
	}
	c.salt = saltOf(model, c.version, f.team)
	delay := g.source(&c, f, s, all) + float64(c.missing+s.Pending)/readRate + callCost*float64(s.Load)
	cost += delay + tardyRate*max(0, delay-tardyPart*float64(f.route.Goal.Milliseconds()))
	if over := s.Load + 1 - s.Server.Slots; s.Server.Slots > 0 && over > 0 {
		cost += queueCost * float64(over)
	}
	return c, cost, true
}

// queued is how long a call may wait at an engine before it begins.
func queued(s backend.Status) time.Duration {
	over := max(0, s.Load+1-s.Server.Slots)
	return time.Duration((float64(s.Pending)/readRate + queueCost*float64(over)) * float64(time.Millisecond))
}

// source finds who has more of a prompt's shared parts than an engine, sets
// what is left to read, and returns the time of the transfer.
func (g *Gateway) source(c *choice, f *flight, s backend.Status, all []backend.Status) float64 {
	prompt := f.call.Prompt
	shared := prompt.Shared()
	since := g.now() - g.residence(f, len(all))
	own := g.parts.Held(holderOf(s.Server), c.salt, shared, since)
	most, address, far := own+fetchLeast, "", false
	// A source that cannot be reached costs more than reading.
	reached := func(zone string) bool { return zone == s.Server.Zone || !f.silent[zone] }
	consider := func(h parts.Holder, addr, zone string, since time.Duration) {
		if !reached(zone) {
			return
		}
		held := g.parts.Held(h, c.salt, shared, since)
		away := zone != s.Server.Zone
		if held > most || (held == most && address != "" && far && !away) {
			most, address, far = held, addr, away
		}
	}
	for _, o := range all {
		if o.Server.ID != s.Server.ID && o.Versions[prompt.Model] == c.version && !o.Resting {
			consider(holderOf(o.Server), o.Server.Address, o.Server.Zone, since)
		}
	}
	if shelf := f.shelf; shelf != nil {
		consider(shelfHolder(shelf), shelf.Address, shelf.Zone, parts.Always)
	}
	if address == "" {
		c.missing = max(0, prompt.Input-own)
		if f.shelf != nil && len(shared) > 0 && reached(f.shelf.Zone) {
			// The engine may have dropped what it held, and this VM may not have
			// heard of what the shelf holds. Nothing moves that the engine has.
			c.fetch = f.shelf.Address
		}
		return 0
	}
	c.fetch = address
	c.moved = most - own
	c.missing = max(0, prompt.Input-most)
	transfer := 0.0
	if e := f.engine; e != nil && e.LinkMbps > 0 {
		transfer = float64(most-own) * e.TokenBytes * 8 / (e.LinkMbps * 1000)
	}
	if far {
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
	rate := g.inflow.Rate(g.now()) * float64(g.node.Members()+1)
	if f.engine == nil || rate <= 0 {
		return mostResidence
	}
	seconds := cachePart * float64(f.engine.Capacity*engines) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), leastResidence), mostResidence)
}

func holderOf(s backend.Server) parts.Holder { return parts.Holder{ID: s.ID, Born: s.Born} }

func shelfHolder(s *catalog.Shelf) parts.Holder { return parts.Holder{ID: "shelf/" + s.Address} }
