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

// toleranceShare is the share of the tokens by which a team may exceed its rate that
// VMs grant. The rest covers calls that VMs have not reported to each other yet.
const toleranceShare = 0.5

func (g *Gateway) teamLimits(t *catalog.Team) quota.Limits {
	b := g.settings.Bounds
	excess := b.RateExcessRatio*(t.Rate*time.Duration(b.RateWindow).Seconds()+t.Burst) + b.RateSlackTokens
	// Unreported calls add up over the VMs.
	lagShare := min(1, fullToleranceVMs/float64(g.node.MemberCount()+1))
	return quota.Limits{Rate: t.Rate, Burst: t.Burst, Tolerance: toleranceShare * lagShare * excess}
}

func (g *Gateway) announcePart(h parts.Holder, salt string, p parts.Part, ready time.Duration) {
	g.outbox.addPart(gossip.Part{Engine: h.ID, Born: h.Born, Salt: salt, ID: p.ID, Tokens: p.Tokens, ReadyInMillis: ready.Milliseconds()})
}

// recordFailure puts a server into backoff. The other VMs are told if the server did
// not respond or fails repeatedly: a single invalid response is weak evidence.
func (g *Gateway) recordFailure(s backend.Server, noResponse bool) {
	failures, backoff := g.table.RecordFailure(s.ID, g.now())
	if failures > 1 || failures > 0 && noResponse {
		g.outbox.addFailure(gossip.Failure{Server: gossip.Server{ID: s.ID, Born: s.Born}, Failures: failures, BackoffMillis: backoff.Milliseconds()})
	}
}

func (g *Gateway) recordSuccess(s backend.Server) {
	if g.table.RecordSuccess(s.ID, g.now()) {
		g.outbox.addRecovery(gossip.Server{ID: s.ID, Born: s.Born})
	}
}

func (g *Gateway) announceVersion(s backend.Server, model string, version int64) {
	g.outbox.addVersion(gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
}

const (
	// fullToleranceVMs is the number of VMs up to which unreported charges do not
	// reduce the tolerance.
	fullToleranceVMs = 12
	// Messages to the VMs of the own zone are sent in every round if there are fewer
	// than twice fullRateZoneVMs, otherwise in every second round.
	fullRateZoneVMs = 8
	// maxRoundsPerMessage bounds the rounds between two messages to the own zone, so
	// that the VM that reads from the store for the zone does not count as ended.
	maxRoundsPerMessage = 2
)

// sendUpdates sends the updates of this VM to the other VMs of its zone. The leader
// of the zone also sends a digest of the zone to the other zones.
func (g *Gateway) sendUpdates() {
	g.gossipRound++
	every := min(max(1, g.node.ZoneMemberCount()/fullRateZoneVMs), maxRoundsPerMessage)
	if g.gossipRound%every == 0 {
		m := g.outbox.takeOwnZone()
		g.addUsageAndLoads(m, g.table.Loads())
		m.KVCacheStores = g.kvStores.watchedStates(g.now())
		m.Quarantines = g.activeQuarantines()
		m.Grants = g.rolloutOwner.activeGrants()
		g.sendMessage(m, gossip.OwnZone)
		g.sendRolloutCounts()
	}
	digest := g.outbox.takeOtherZones()
	if _, other := g.node.Leader(); other {
		return
	}
	digest.Digest = true
	members := g.node.RecentZoneMembers(zoneSilenceTimeout)
	vms := make([]string, 0, len(members))
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	digest.Members = g.zoneUsage.addUsage(members, g.gossipRound%fullDigestRounds == 0)
	g.addUsageAndLoads(digest, g.table.Loads(vms...))
	digest.Quarantines = g.activeQuarantines()
	digest.Grants = g.rolloutOwner.activeGrants()
	g.sendMessage(digest, gossip.OtherZones)
	g.sendMemberCounts(members)
}

// addUsageAndLoads adds this VM's charges, and the given loads, to a message.
func (g *Gateway) addUsageAndLoads(m *gossip.Message, loads map[string]backend.Load) {
	m.Usage = g.quota.Totals()
	m.Loads = make(map[string]gossip.Load, len(loads))
	for id, l := range loads {
		m.Loads[id] = gossip.Load{Calls: l.Calls, PendingTokens: l.Pending}
	}
}

// broadcastDelta sends changes to all VMs immediately.
func (g *Gateway) broadcastDelta(m *gossip.Message) {
	m.Delta = true
	g.sendMessage(m, gossip.AllZones)
}

func (g *Gateway) sendMessage(m *gossip.Message, scope gossip.Scope) {
	if err := g.node.Broadcast(m, scope); err != nil {
		event.PeerUnreachable.Log(g.log, err, nil)
	}
}

// announceLeaving tells the other VMs that this process ends, with its last charges.
func (g *Gateway) announceLeaving() {
	m := &gossip.Message{Leaving: true}
	g.addUsageAndLoads(m, nil)
	g.sendMessage(m, gossip.AllZones)
}

// handleMessage applies a message of another VM.
func (g *Gateway) handleMessage(m *gossip.Message, newProcess bool) {
	now := g.now()
	if newProcess {
		event.PeerJoined.Log(g.log, nil, log.Fields{"peer": m.VM, "zone": m.Zone, "epoch": m.Epoch})
	}
	sameZone := m.Zone == g.settings.Zone
	if !m.Delta {
		g.quota.UpdatePeer(m.VM, m.Epoch, m.Usage, now)
		g.updatePeerLoads(m, now)
		if sameZone {
			g.zoneUsage.update(m)
		}
	}
	for _, x := range m.Members {
		g.quota.UpdatePeer(x.VM, x.Epoch, x.Usage, now)
	}
	for _, x := range m.KVCacheStores {
		g.updateKVStore(x, nil)
	}
	for _, x := range m.Failed {
		g.table.RecordPeerFailure(x.Server.ID, x.Server.Born, x.Failures, time.Duration(x.BackoffMillis)*time.Millisecond, now)
	}
	for _, x := range m.Recovered {
		g.table.RecordPeerSuccess(x.ID, x.Born)
	}
	for _, v := range m.Reloading {
		g.beginReload(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, v := range m.CanceledReloads {
		g.table.CancelReload(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, v := range m.Versions {
		g.table.RaiseVersion(v.Engine, v.Born, v.Model, v.Version)
	}
	for _, p := range m.Parts {
		g.parts.Add(parts.Holder{ID: p.Engine, Born: p.Born}, g.holderCapacity(p.Engine), p.Salt, parts.Part{ID: p.ID, Tokens: p.Tokens}, now,
			now+time.Duration(p.ReadyInMillis)*time.Millisecond)
	}
	g.handleQuarantineUpdates(m)
	g.handleRollouts(m, now)
	if sameZone && !m.Delta {
		g.outbox.addForwarded(m)
	}
	if m.Leaving {
		g.quota.RemovePeer(m.VM)
		g.zoneUsage.remove(m.VM)
		event.PeerLeft.Log(g.log, nil, log.Fields{"peer": m.VM})
	}
}

// updatePeerLoads records the loads of a VM or, from a digest, those of a zone.
func (g *Gateway) updatePeerLoads(m *gossip.Message, now time.Duration) {
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

// holderCapacity returns the capacity of an engine or KV cache store in tokens.
func (g *Gateway) holderCapacity(id string) int {
	c := g.catalog.Current()
	if c == nil {
		return 0
	}
	if s, ok := g.table.Get(id, g.now()); ok {
		if service := c.Service(s.Service); service != nil && service.Engine != nil {
			return service.Engine.CapacityTokens
		}
	}
	for _, s := range c.Services() {
		if s.KVCacheStore != nil && kvStoreHolder(s.KVCacheStore.Address).ID == id {
			return s.KVCacheStore.CapacityTokens
		}
	}
	return 0
}
