package gateway

import (
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/quota"
)

// sparePart is the part of what a team may exceed its rate by that is given
// out; the rest covers calls of which the VMs have not told each other yet.
const sparePart = 0.5

func (g *Gateway) limitsOf(t *catalog.Team) quota.Limits {
	b := g.settings.Bounds
	over := b.Over*(t.Rate*time.Duration(b.Span).Seconds()+t.Burst) + b.Slack
	// The lag adds up over the VMs.
	told := min(1, farVMs/float64(g.node.MemberCount()+1))
	return quota.Limits{Rate: t.Rate, Burst: t.Burst, Tolerance: sparePart * told * over}
}

func (g *Gateway) tellPart(h parts.Holder, salt string, p parts.Part, ready time.Duration) {
	g.news.part(gossip.Part{Engine: h.ID, Born: h.Born, Salt: salt, ID: p.ID, Tokens: p.Tokens, ReadyInMillis: ready.Milliseconds()})
}

// failed makes a server rest. The other VMs are told where it does not answer
// or fails again and again; a single spoilt answer says little.
func (g *Gateway) failed(s backend.Server, unanswered bool) {
	failures, rest := g.table.RecordFailure(s.ID, g.now())
	if failures > 1 || failures > 0 && unanswered {
		g.news.failed(gossip.Failure{Server: gossip.Server{ID: s.ID, Born: s.Born}, Failures: failures, BackoffMillis: rest.Milliseconds()})
	}
}

func (g *Gateway) succeeded(s backend.Server) {
	if g.table.RecordSuccess(s.ID, g.now()) {
		g.news.sound(gossip.Server{ID: s.ID, Born: s.Born})
	}
}

func (g *Gateway) tellVersion(s backend.Server, model string, version int64) {
	g.news.version(gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
}

const (
	// farVMs is how many VMs may lag behind each other's charges without taking
	// from what a team may exceed its rate by.
	farVMs = 12
	// mateVMs is how many VMs of the zone are told in every round; with more, a
	// round is left out.
	mateVMs = 8
	// mostRounds bounds the rounds between two messages to the own zone, so that
	// the VM that reads the store for the zone is not thought to have ended.
	mostRounds = 2
)

// tell tells the VMs of the zone of this one, and where this VM speaks for its
// zone, the other zones of all its VMs.
func (g *Gateway) tell() {
	g.round++
	every := min(max(1, g.node.ZoneMemberCount()/mateVMs), mostRounds)
	if g.round%every == 0 {
		m := g.news.near()
		g.describe(m, g.table.Loads())
		m.KVCacheStores = g.shelves.list(g.now())
		g.post(m, gossip.OwnZone)
	}
	digest := g.news.far()
	if _, other := g.node.Leader(); other {
		return
	}
	digest.Digest = true
	mates := g.node.RecentZoneMembers(cutAfter)
	vms := make([]string, 0, len(mates))
	for _, mate := range mates {
		vms = append(vms, mate.VM)
	}
	digest.Members = g.mates.changes(mates, g.round%wholeEvery == 0)
	g.describe(digest, g.table.Loads(vms...))
	g.post(digest, gossip.OtherZones)
}

// describe adds the VM's charges, and loads, to a message.
func (g *Gateway) describe(m *gossip.Message, loads map[string]backend.Load) {
	m.Usage = g.quota.Totals()
	m.Loads = make(map[string]gossip.Load, len(loads))
	for id, l := range loads {
		m.Loads[id] = gossip.Load{Calls: l.Calls, PendingTokens: l.Pending}
	}
}

// broadcast tells all VMs at once of what is new.
func (g *Gateway) broadcast(m *gossip.Message) {
	m.Delta = true
	g.post(m, gossip.AllZones)
}

func (g *Gateway) post(m *gossip.Message, scope gossip.Scope) {
	if err := g.node.Broadcast(m, scope); err != nil {
		event.PeerUnreachable.Log(g.log, err, nil)
	}
}

// leave tells the other VMs that this one ends, with its last charges.
func (g *Gateway) leave() {
	m := &gossip.Message{Leaving: true}
	g.describe(m, nil)
	g.post(m, gossip.AllZones)
}

// hear takes in a message of another VM.
func (g *Gateway) hear(m *gossip.Message, fresh bool) {
	now := g.now()
	if fresh {
		event.PeerJoined.Log(g.log, nil, log.Fields{"peer": m.VM, "zone": m.Zone, "epoch": m.Epoch})
	}
	near := m.Zone == g.settings.Zone
	if !m.Delta {
		g.quota.UpdatePeer(m.VM, m.Epoch, m.Usage, now)
		g.hearLoads(m, now)
		if near {
			g.mates.heard(m)
		}
	}
	for _, x := range m.Members {
		g.quota.UpdatePeer(x.VM, x.Epoch, x.Usage, now)
	}
	for _, x := range m.KVCacheStores {
		g.observe(x, nil)
	}
	for _, x := range m.Failed {
		g.table.RecordPeerFailure(x.Server.ID, x.Server.Born, x.Failures, time.Duration(x.BackoffMillis)*time.Millisecond, now)
	}
	for _, x := range m.Recovered {
		g.table.RecordPeerSuccess(x.ID, x.Born)
	}
	for _, v := range m.Reloading {
		g.reloads(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, v := range m.CanceledReloads {
		g.table.CancelReload(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, v := range m.Versions {
		g.table.RaiseVersion(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, p := range m.Parts {
		g.parts.Add(parts.Holder{ID: p.Engine, Born: p.Born}, g.capacity(p.Engine), p.Salt, parts.Part{ID: p.ID, Tokens: p.Tokens}, now,
			now+time.Duration(p.ReadyInMillis)*time.Millisecond)
	}
	if near && !m.Delta {
		g.news.pass(m)
	}
	if m.Leaving {
		g.quota.RemovePeer(m.VM)
		g.mates.left(m.VM)
		event.PeerLeft.Log(g.log, nil, log.Fields{"peer": m.VM})
	}
}

// hearLoads takes in the loads of a VM, or those of a zone under its name.
func (g *Gateway) hearLoads(m *gossip.Message, now time.Duration) {
	loads := make(map[string]backend.Load, len(m.Loads))
	for id, l := range m.Loads {
		loads[id] = backend.Load{Calls: l.Calls, Pending: l.PendingTokens}
	}
	source := m.VM
	if m.Digest {
		source = "zone/" + m.Zone
	}
	g.table.SetPeerLoads(source, loads, now)
}

// capacity returns the memory of an engine or shelf in tokens.
func (g *Gateway) capacity(id string) int {
	c := g.catalog.Current()
	if c == nil {
		return 0
	}
	if s, ok := g.table.Get(id); ok {
		if service := c.Service(s.Service); service != nil && service.Engine != nil {
			return service.Engine.CapacityTokens
		}
	}
	for _, s := range c.Services() {
		if s.KVCacheStore != nil && shelfHolder(s.KVCacheStore.Address).ID == id {
			return s.KVCacheStore.CapacityTokens
		}
	}
	return 0
}
