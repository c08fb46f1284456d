package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/quota"
)

// newsLimit bounds the parts told in one message; the rest is left out, since
// an engine that is not known to hold a part only reads it again.
const newsLimit = 400

// news gathers what the other VMs are to be told next.
type news struct {
	mu       sync.Mutex // guards the fields below
	parts    []gossip.Part
	versions []gossip.Version
}

// sparePart is the part of what a team may exceed its rate by that is given
// out; the rest covers calls of which the VMs have not told each other yet.
const sparePart = 0.5

func (g *Gateway) limitsOf(t *catalog.Team) quota.Limits {
	b := g.settings.Bounds
	over := b.Over*(t.Rate*time.Duration(b.Span).Seconds()+t.Burst) + b.Slack
	// The lag adds up over the VMs.
	told := min(1, farVMs/float64(g.node.Members()+1))
	return quota.Limits{Rate: t.Rate, Burst: t.Burst, Spare: sparePart * told * over}
}

func (g *Gateway) tellPart(h parts.Holder, salt string, p parts.Part) {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	if len(g.news.parts) < newsLimit {
		g.news.parts = append(g.news.parts, gossip.Part{Engine: h.ID, Born: h.Born, Salt: salt, ID: p.ID, Tokens: p.Tokens})
	}
}

func (g *Gateway) tellVersion(s backend.Server, model string, version int64) {
	g.news.mu.Lock()
	defer g.news.mu.Unlock()
	g.news.versions = append(g.news.versions, gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
}

// farVMs is how many VMs are told everything beyond the zone in every round;
// with more, rounds are left out, so that bytes between zones grow with their
// number and not with its square.
const farVMs = 12

// tell sends what is new to the VMs of the zone, and in some rounds to all. In
// the others those of other zones hear of charges alone, since rates bind all.
func (g *Gateway) tell() {
	g.round++
	all := g.round%max(1, g.node.Members()/farVMs) == 0
	g.news.mu.Lock()
	m := &gossip.Message{Parts: g.news.parts, Versions: g.news.versions}
	g.news.parts, g.news.versions = nil, nil
	g.news.mu.Unlock()
	if !all {
		g.tellCharges()
	}
	g.spread(m, all)
}

// tellCharges tells all VMs which teams were charged since the last time.
func (g *Gateway) tellCharges() {
	m := &gossip.Message{Brief: true, Usage: make(map[string]float64)}
	totals := g.quota.Totals()
	for team, n := range totals {
		if n != g.told[team] {
			m.Usage[team] = n
		}
	}
	g.told = totals
	if len(m.Usage) > 0 {
		g.post(m, true)
	}
}

// broadcast sends a message to all VMs at once.
func (g *Gateway) broadcast(m *gossip.Message) { g.spread(m, true) }

// spread adds the VM's present charges and loads to a message and sends it.
func (g *Gateway) spread(m *gossip.Message, all bool) {
	m.Usage = g.quota.Totals()
	m.Loads = make(map[string]gossip.Load)
	for id, l := range g.table.Loads() {
		m.Loads[id] = gossip.Load{Calls: l.Calls, Pending: l.Pending}
	}
	g.post(m, all)
}

func (g *Gateway) post(m *gossip.Message, all bool) {
	if err := g.node.Tell(m, all); err != nil {
		event.PeerUnreached.Log(g.log, err, nil)
	}
}

// leave tells the other VMs that this one ends.
func (g *Gateway) leave() {
	g.broadcast(&gossip.Message{Leaving: true})
}

// hear takes in a message of another VM.
func (g *Gateway) hear(m *gossip.Message, fresh bool) {
	now := g.now()
	if fresh {
		event.PeerJoined.Log(g.log, nil, log.Fields{"peer": m.VM, "zone": m.Zone, "epoch": m.Epoch})
	}
	g.quota.Hear(m.VM, m.Epoch, m.Usage, now)
	if !m.Brief {
		loads := make(map[string]backend.Load, len(m.Loads))
		for id, l := range m.Loads {
			loads[id] = backend.Load{Calls: l.Calls, Pending: l.Pending}
		}
		g.table.PeerLoads(m.VM, loads, now)
	}
	for _, v := range m.Reloading {
		g.reloads(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, v := range m.Versions {
		g.table.Learn(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, p := range m.Parts {
		g.parts.Add(parts.Holder{ID: p.Engine, Born: p.Born}, g.capacity(p.Engine), p.Salt, parts.Part{ID: p.ID, Tokens: p.Tokens}, now)
	}
	if m.Leaving {
		g.quota.Leave(m.VM)
		event.PeerLeft.Log(g.log, nil, log.Fields{"peer": m.VM})
	}
}

// capacity returns the memory of an engine or shelf in tokens.
func (g *Gateway) capacity(id string) int {
	c := g.catalog.Current()
	if c == nil {
		return 0
	}
	if s, ok := g.table.Get(id); ok {
		if service := c.Service(s.Service); service != nil && service.Engine != nil {
			return service.Engine.Capacity
		}
	}
	for _, s := range c.Services() {
		if s.Shelf != nil && shelfHolder(s.Shelf).ID == id {
			return s.Shelf.Tokens
		}
	}
	return 0
}

// announcer tells this VM and the others of orders.
type announcer struct{ g *Gateway }

// Reloading implements weights.Announcer.
func (a announcer) Reloading(s backend.Server, model string, version int64) {
	a.g.reloads(s.ID, s.Born, model, version)
	a.g.broadcast(&gossip.Message{
		Reloading: []gossip.Version{{Engine: s.ID, Born: s.Born, Model: model, Version: version}},
	})
}

// Reloaded implements weights.Announcer.
func (a announcer) Reloaded(s backend.Server, model string, version int64) {
	a.g.table.Learn(s.ID, s.Born, model, version)
	event.EngineReloaded.Log(a.g.log, nil, log.Fields{"engine": s.ID, "model": model, "version": version})
	a.g.broadcast(&gossip.Message{
		Versions: []gossip.Version{{Engine: s.ID, Born: s.Born, Model: model, Version: version}},
	})
}
