package router

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/engine"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/valyala/fasthttp"
)

// orderTimeout bounds one control request to an engine.
const orderTimeout = time.Second

// firstOrderDelay is how long a new orderer waits before its first order, so
// that loads started by the previous one have ended.
const firstOrderDelay = 3 * time.Second

// orderer sends load orders to the engines of the models whose slot this VM
// holds. The slot of a model is held by one VM of the fleet, in the zone that
// is first in the model's rendezvous order.
type orderer struct {
	r      *Router
	groups map[string]*modelGroup
}

// modelGroup is a model to whose engines this VM sends orders.
type modelGroup struct {
	epoch     uint64
	heldSince timer.Instant
	scheduler *engine.LoadScheduler
	// seenVersions is the version last read from each engine since the last
	// refresh.
	seenVersions map[string]string
	nextRefresh  timer.Instant
	// cursor is the index of the first engine to query. It advances so that an
	// engine that does not respond does not delay the others.
	cursor int
}

// versionRefreshInterval is how often engines that run the declared version are
// queried again.
const versionRefreshInterval = 10 * time.Second

// dueEngines returns the engines to query now: those that are loading, and up
// to engine.MaxConcurrentLoads others that are not known to run version.
func (g *modelGroup) dueEngines(engines []config.Engine, version string, now timer.Instant) []config.Engine {
	if now >= g.nextRefresh {
		g.nextRefresh = now.Add(versionRefreshInterval)
		g.seenVersions = make(map[string]string, len(engines))
	}
	var out []config.Engine
	others := 0
	for i := range engines {
		e := engines[(g.cursor+i)%len(engines)]
		switch {
		case g.seenVersions[e.Name] == version:
		case g.scheduler.Loading(e.Name):
			out = append(out, e)
		case others < engine.MaxConcurrentLoads:
			others++
			out = append(out, e)
		}
	}
	g.cursor++
	return out
}

func newOrderer(r *Router) *orderer { return &orderer{r: r, groups: make(map[string]*modelGroup)} }

// run queries the engines of every model that this VM orders, and sends due
// orders.
func (o *orderer) run() {
	c := o.r.configTracker.Current()
	for _, m := range c.Models().Sorted() {
		epoch, held := o.heldEpoch(c, m.Name)
		if !held {
			delete(o.groups, m.Name)
			continue
		}
		g := o.groups[m.Name]
		if g == nil || g.epoch != epoch {
			g = &modelGroup{epoch: epoch, heldSince: o.r.clock.Now(), scheduler: engine.NewLoadScheduler()}
			o.groups[m.Name] = g
		}
		now := o.r.clock.Now()
		if now.Sub(g.heldSince) >= firstOrderDelay {
			o.orderLoads(g, m, g.dueEngines(c.EnginesByModel(m.Name), m.Version, now))
		}
	}
}

// heldEpoch returns the epoch of the model's slot and whether this VM may order
// the model's engines.
func (o *orderer) heldEpoch(c *config.Config, model string) (uint64, bool) {
	zones := c.Zones().Sorted()
	zoneVMs := make([]platform.VM, len(zones))
	for i, z := range zones {
		zoneVMs[i] = platform.VM{Name: z.Name}
	}
	order := fleet.RendezvousOrder(model, zoneVMs)
	if len(order) == 0 || order[0] != o.r.settings.Zone || o.r.draining.Load() {
		return 0, false
	}
	return o.r.ledger.Held(team.SlotOf(model))
}

// orderLoads queries engines of one model for their version and sends the load
// orders that are due.
func (o *orderer) orderLoads(g *modelGroup, m config.Model, engines []config.Engine) {
	observations := make([]engine.Observation, len(engines))
	byName := make(map[string]config.Engine, len(engines))
	for i, e := range engines {
		byName[e.Name] = e
		version, err := o.readVersion(e)
		observations[i] = engine.Observation{Name: e.Name, Version: version, Reachable: err == nil}
		g.seenVersions[e.Name] = version
		if err != nil {
			event.EngineLoadReadFailed.Log(o.r.log, err, log.Fields{"engine": e.Name})
		}
	}
	for _, name := range g.scheduler.Plan(observations, m.Version, o.r.clock.Now()) {
		o.sendOrder(g, byName[name], engine.Order{Kind: engine.OrderLoad, Version: m.Version, Fence: g.epoch})
	}
}

type loadReply struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	Running     int    `json:"running"`
}

// readVersion returns the weights version that an engine runs.
func (o *orderer) readVersion(e config.Engine) (string, error) {
	var reply loadReply
	raw, err := o.r.clients.exchange(e, fasthttp.MethodGet, loadPath, nil, orderTimeout)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return "", fmt.Errorf("router: decode engine load: %w", err)
	}
	return reply.Version, nil
}

// sendOrder sends one order if this VM still holds the model's slot in the same
// epoch.
func (o *orderer) sendOrder(g *modelGroup, e config.Engine, order engine.Order) {
	o.r.clock.CheckGap()
	epoch, held := o.r.ledger.Held(team.SlotOf(e.Model))
	if !held || epoch != g.epoch {
		return
	}
	raw, err := json.Marshal(order)
	if err == nil {
		_, err = o.r.clients.exchange(e, fasthttp.MethodPost, ordersPath, raw, orderTimeout)
	}
	if err != nil {
		g.scheduler.RecordRefusal(e.Name)
		event.OrderFailed.Log(o.r.log, err, log.Fields{"engine": e.Name})
		return
	}
	event.OrderSent.Log(o.r.log, nil, log.Fields{"engine": e.Name, "version": order.Version, "fence": order.Fence})
}
