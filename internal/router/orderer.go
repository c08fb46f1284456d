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

// orderTimeout bounds one exchange with an engine about orders.
const orderTimeout = time.Second

// orderWait is how long a new orderer waits before its first order, so that
// the loads that a former one started have ended.
const orderWait = 3 * time.Second

// orderer orders the engines of the models whose slot this VM holds. One VM of
// the fleet holds a model's slot, in the zone that the model hashes to.
type orderer struct {
	r      *Router
	groups map[string]*group
}

// group is a model whose engines this VM orders.
type group struct {
	epoch uint64
	since timer.Instant
	loads *engine.LoadScheduler
	// seen holds the version last seen on each engine since the last look.
	seen map[string]string
	look timer.Instant
	// cursor is the engine to ask next, so that one that does not answer does
	// not keep the others waiting.
	cursor int
}

// lookAgain is how often engines that run the declared weights are asked.
const lookAgain = 10 * time.Second

// due returns the engines to ask now: those that are loading, and a few of
// those not yet seen to run a version.
func (g *group) due(engines []config.Engine, version string, now timer.Instant) []config.Engine {
	if now >= g.look {
		g.look = now.Add(lookAgain)
		g.seen = make(map[string]string, len(engines))
	}
	var out []config.Engine
	others := 0
	for i := range engines {
		e := engines[(g.cursor+i)%len(engines)]
		switch {
		case g.seen[e.Name] == version:
		case g.loads.Loading(e.Name):
			out = append(out, e)
		case others < engine.MaxConcurrentLoads:
			others++
			out = append(out, e)
		}
	}
	g.cursor++
	return out
}

func newOrderer(r *Router) *orderer { return &orderer{r: r, groups: make(map[string]*group)} }

// run looks after every model that this VM orders.
func (o *orderer) run() {
	c := o.r.configTracker.Current()
	for _, m := range c.Models().Sorted() {
		epoch, held := o.holds(c, m.Name)
		if !held {
			delete(o.groups, m.Name)
			continue
		}
		g := o.groups[m.Name]
		if g == nil || g.epoch != epoch {
			g = &group{epoch: epoch, since: o.r.clock.Now(), loads: engine.NewLoadScheduler()}
			o.groups[m.Name] = g
		}
		now := o.r.clock.Now()
		if now.Sub(g.since) >= orderWait {
			o.order(g, m, g.due(c.EnginesByModel(m.Name), m.Version, now))
		}
	}
}

// holds reports whether this VM orders a model's engines, and the epoch.
func (o *orderer) holds(c *config.Config, model string) (uint64, bool) {
	zones := c.Zones().Sorted()
	named := make([]platform.VM, len(zones))
	for i, z := range zones {
		named[i] = platform.VM{Name: z.Name}
	}
	order := fleet.RendezvousOrder(model, named)
	if len(order) == 0 || order[0] != o.r.settings.Zone || o.r.draining.Load() {
		return 0, false
	}
	return o.r.ledger.Held(team.SlotOf(model))
}

// order asks some engines of one model which weights they run, and sends the
// orders that are due to them.
func (o *orderer) order(g *group, m config.Model, engines []config.Engine) {
	sights := make([]engine.Observation, len(engines))
	byName := make(map[string]config.Engine, len(engines))
	for i, e := range engines {
		byName[e.Name] = e
		version, err := o.version(e)
		sights[i] = engine.Observation{Name: e.Name, Version: version, Reachable: err == nil}
		g.seen[e.Name] = version
		if err != nil {
			event.EngineLoadReadFailed.Log(o.r.log, err, log.Fields{"engine": e.Name})
		}
	}
	for _, name := range g.loads.Plan(sights, m.Version, o.r.clock.Now()) {
		o.send(g, byName[name], engine.Order{Kind: engine.OrderLoad, Version: m.Version, Fence: g.epoch})
	}
}

type loadReply struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	Running     int    `json:"running"`
}

// version asks an engine which weights it runs.
func (o *orderer) version(e config.Engine) (string, error) {
	var reply loadReply
	raw, err := o.r.clients.exchange(e, fasthttp.MethodGet, loadPath, nil, orderTimeout)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return "", fmt.Errorf("router: engine load: %w", err)
	}
	return reply.Version, nil
}

// send gives one order if this VM still holds the group under its epoch.
func (o *orderer) send(g *group, e config.Engine, order engine.Order) {
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
		g.loads.RecordRefusal(e.Name)
		event.OrderFailed.Log(o.r.log, err, log.Fields{"engine": e.Name})
		return
	}
	event.OrderSent.Log(o.r.log, nil, log.Fields{"engine": e.Name, "version": order.Version, "fence": order.Fence})
}
