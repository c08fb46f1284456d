package gateway

import (
	"maps"
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/quota"
)

// maxPartsPerMessage bounds the parts in a message. Further parts are left out: an
// engine that is not known to have a part cached merely processes it again.
const maxPartsPerMessage = 400

// outbox collects the updates for the next messages to other VMs. It is safe for
// concurrent use; the zero value is ready to use.
type outbox struct {
	mu sync.Mutex // guards the fields below
	// ownZone collects updates for the VMs of the own zone. otherZones also contains
	// those received from them.
	ownZone, otherZones gossip.Message
}

func (n *outbox) addPart(p gossip.Part) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range []*gossip.Message{&n.ownZone, &n.otherZones} {
		if len(m.Parts) < maxPartsPerMessage {
			m.Parts = append(m.Parts, p)
		}
	}
}

func (n *outbox) addVersion(v gossip.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownZone.Versions = append(n.ownZone.Versions, v)
	n.otherZones.Versions = append(n.otherZones.Versions, v)
}

func (n *outbox) addFailure(f gossip.Failure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownZone.Failed = append(n.ownZone.Failed, f)
	n.otherZones.Failed = append(n.otherZones.Failed, f)
}

func (n *outbox) addRecovery(s gossip.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownZone.Recovered = append(n.ownZone.Recovered, s)
	n.otherZones.Recovered = append(n.otherZones.Recovered, s)
}

// addForwarded adds the updates received from a VM of the own zone to those for the
// other zones.
func (n *outbox) addForwarded(m *gossip.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.otherZones.Versions = append(n.otherZones.Versions, m.Versions...)
	n.otherZones.Failed = append(n.otherZones.Failed, m.Failed...)
	n.otherZones.Recovered = append(n.otherZones.Recovered, m.Recovered...)
	n.otherZones.Parts = append(n.otherZones.Parts, m.Parts[:min(len(m.Parts), max(0, maxPartsPerMessage-len(n.otherZones.Parts)))]...)
}

// takeOwnZone returns the collected updates for the own zone and clears them.
func (n *outbox) takeOwnZone() *gossip.Message { return n.take(&n.ownZone) }

// takeOtherZones returns the collected updates for the other zones and clears them.
func (n *outbox) takeOtherZones() *gossip.Message { return n.take(&n.otherZones) }

func (n *outbox) take(from *gossip.Message) *gossip.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := *from
	*from = gossip.Message{}
	return &m
}

// fullDigestRounds is the interval, in rounds, of digests that contain all charges of
// the zone's VMs. They make up for lost digests.
const fullDigestRounds = 8

// zoneUsage holds the charges reported by the other VMs of the zone. It is safe for
// concurrent use; the zero value is ready to use.
type zoneUsage struct {
	mu  sync.Mutex // guards the field below
	vms map[string]*vmUsage
}

type vmUsage struct {
	epoch uint64
	// sequence is that of the message with the charges.
	sequence uint64
	usage    map[string]float64
	// unreported holds the charges that no digest has contained.
	unreported map[string]float64
}

func (x *zoneUsage) update(m *gossip.Message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.vms == nil {
		x.vms = make(map[string]*vmUsage)
	}
	v := x.vms[m.VM]
	if v == nil || v.epoch != m.Epoch {
		v = &vmUsage{epoch: m.Epoch, usage: make(map[string]float64), unreported: make(map[string]float64)}
		x.vms[m.VM] = v
	}
	v.sequence = m.Sequence
	for team, n := range m.Usage {
		if v.usage[team] != n {
			v.usage[team], v.unreported[team] = n, n
		}
	}
}

// states returns the messages with the charges that are held.
func (x *zoneUsage) states() map[string]quota.Heard {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[string]quota.Heard, len(x.vms))
	for vm, v := range x.vms {
		out[vm] = quota.Heard{VM: vm, Epoch: v.epoch, Sequence: v.sequence}
	}
	return out
}

func (x *zoneUsage) remove(vm string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.vms, vm)
}

// addUsage fills in the charges of members: all if full is set, otherwise those that
// no digest has contained. It deletes the charges of VMs that are not among members.
func (x *zoneUsage) addUsage(members []gossip.Member, full bool) []gossip.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := make(map[string]*vmUsage, len(members))
	for i := range members {
		v := x.vms[members[i].VM]
		if v == nil || v.epoch != members[i].Epoch {
			continue
		}
		kept[members[i].VM] = v
		if members[i].Usage = v.unreported; full {
			members[i].Usage = maps.Clone(v.usage)
		}
		v.unreported = make(map[string]float64)
	}
	x.vms = kept
	return members
}
