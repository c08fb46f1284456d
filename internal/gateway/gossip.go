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

func (g *Gateway) teamLimits(t *catalog.Team) quota.Limits {
	b := g.settings.Bounds
	excess := b.RateExcessRatio*(t.Rate*time.Duration(b.RateWindow).Seconds()+t.Burst) + b.RateSlackTokens
	return quota.Limits{Rate: t.Rate, Burst: t.Burst, Excess: excess, VMs: g.node.MemberCount() + 1}
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
	// Messages to the VMs of the own zone are sent in every round if there are fewer
	// than twice fullRateZoneVMs, otherwise in every second round.
	fullRateZoneVMs = 8
	// unconfirmedLag is the time after which charges count as known to others where the
	// leader of the zone runs a release that does not confirm them.
	unconfirmedLag = time.Second
	// confirmationTimeout is the age of the newest confirmed charges from which on a
	// warning is logged.
	confirmationTimeout = 3 * time.Second
	// maxRoundsPerMessage bounds the rounds between two messages to the own zone, so
	// that the VM that reads from the store for the zone does not count as ended.
	maxRoundsPerMessage = 2
)

// sendUpdates sends the updates of this VM to the other VMs of its zone. The leader
// of the zone also sends a digest of the zone to the other zones.
func (g *Gateway) sendUpdates() {
	g.gossipRound++
	leads, sentAt := g.node.IsLeader(), g.now()
	g.table.SetVMs(g.node.MemberCount() + 1)
	every := min(max(1, g.node.ZoneMemberCount()/fullRateZoneVMs), maxRoundsPerMessage)
	if g.gossipRound%every == 0 {
		m := g.outbox.takeOwnZone()
		g.addUsageAndLoads(m, g.table.Loads())
		m.KVCacheStores = g.kvStores.watchedStates(g.now())
		m.Quarantines = g.activeQuarantines()
		m.Confirmed = g.confirmUsage(leads)
		m.Grants = g.rolloutOwner.activeGrants()
		g.sendMessage(m, gossip.OwnZone)
		g.confirmations.RecordSent(m.Sequence, sentAt)
		g.sendRolloutCounts()
	}
	digest := g.outbox.takeOtherZones()
	if !leads {
		return
	}
	digest.Digest = true
	members := g.node.RecentZoneMembers(zoneSilenceTimeout)
	vms := make([]string, 0, len(members))
	for _, member := range members {
		vms = append(vms, member.VM)
	}
	states := g.zoneUsage.states()
	digest.Members = g.zoneUsage.addUsage(members, g.gossipRound%fullDigestRounds == 0)
	g.addUsageAndLoads(digest, g.table.Loads(vms...))
	digest.Quarantines = g.activeQuarantines()
	for _, h := range g.confirmations.Heard() {
		digest.Heard = append(digest.Heard, gossip.Heard{VM: h.VM, Epoch: h.Epoch, Sequence: h.Sequence})
	}
	digest.Grants = g.rolloutOwner.activeGrants()
	g.sendMessage(digest, gossip.OtherZones)
	g.confirmations.RecordSent(digest.Sequence, sentAt)
	g.confirmations.RecordDigest(digest.Sequence, sequencesByVM(states, members))
	g.sendMemberCounts(members)
}

// confirmUsage returns what this VM, if it leads its zone, confirms to the VMs there. It
// applies the confirmation of its own charges.
func (g *Gateway) confirmUsage(leads bool) []byte {
	if !leads {
		return nil
	}
	states := g.zoneUsage.states()
	// A message of a leader is never without confirmations, so that those of older
	// releases can be told apart.
	states[g.settings.VM] = quota.Heard{Epoch: g.epoch}
	confirmed, at := g.confirmations.Confirmed(sequencesByVM(states, g.node.RecentZoneMembers(zoneSilenceTimeout)), g.now())
	g.quota.Confirm(at)
	if confirmed == nil {
		confirmed = make(map[string]uint64)
	}
	confirmed[g.settings.VM] = 0
	return quota.EncodeConfirmed(confirmed, func(vm string) uint64 { return states[vm].Epoch })
}

// sequencesByVM returns the sequence numbers of the states of the given VMs.
func sequencesByVM(states map[string]quota.Heard, members []gossip.Member) map[string]uint64 {
	out := make(map[string]uint64, len(members))
	for _, m := range members {
		if s, ok := states[m.VM]; ok && s.Epoch == m.Epoch {
			out[m.VM] = s.Sequence
		}
	}
	return out
}

// recordConfirmations applies what a message confirms of this VM's charges. The
// Confirmed of other zones is not for this VM.
func (g *Gateway) recordConfirmations(m *gossip.Message, now time.Duration) {
	if m.Zone == g.settings.Zone {
		if at, ok := g.confirmations.SentAt(m.Confirmed); ok {
			g.quota.Confirm(at)
		}
		if leader, _ := g.node.Leader(); len(m.Confirmed) == 0 && !m.Delta && m.Address == leader {
			g.quota.Confirm(now - unconfirmedLag)
		}
		return
	}
	if !m.Digest {
		return
	}
	heard := make([]quota.Heard, 0, len(m.Heard))
	for _, h := range m.Heard {
		heard = append(heard, quota.Heard{VM: h.VM, Epoch: h.Epoch, Sequence: h.Sequence})
	}
	g.confirmations.RecordHeard(m.Zone, quota.Heard{VM: m.VM, Epoch: m.Epoch, Sequence: m.Sequence}, heard, now)
}

// addUsageAndLoads adds this VM's charges, and the given loads, to a message.
func (g *Gateway) addUsageAndLoads(m *gossip.Message, loads map[string]backend.Load) {
	m.Usage = g.quota.Totals(g.now())
	m.Loads = make(map[string]gossip.Load, len(loads))
	for id, l := range loads {
		m.Loads[id] = gossip.Load{Calls: l.Calls, PendingTokens: l.Pending}
		if l.Held > 0 {
			if m.HeldTokens == nil {
				m.HeldTokens = make(map[string]int)
			}
			m.HeldTokens[id] = l.Held
		}
	}
}

// watchQuota updates the metrics of refusals, and logs when confirmations stop and come
// back.
func (g *Gateway) watchQuota() {
	for reason, n := range g.quota.Refusals() {
		g.metrics.setGauge("rate_refusals_"+string(reason), n)
	}
	age := g.quota.ConfirmedAge(g.now())
	g.metrics.setGauge("rate_confirmed_age_ms", age.Milliseconds())
	if late := age > confirmationTimeout; late != g.confirmationsLate {
		g.confirmationsLate = late
		if late {
			event.ChargesUnconfirmed.Log(g.log, nil, log.Fields{"ms": age.Milliseconds()})
		} else {
			event.ChargesConfirmed.Log(g.log, nil, nil)
		}
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
		g.quota.UpdatePeer(x.VM, x.Epoch, x.Usage, now-quota.RelayDelay)
	}
	g.recordConfirmations(m, now)
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
	if len(m.Recovered)+len(m.CanceledReloads)+len(m.Versions) > 0 {
		g.queues.wakeAll()
	}
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
		loads[id] = backend.Load{Calls: l.Calls, Pending: l.PendingTokens, Held: m.HeldTokens[id]}
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
