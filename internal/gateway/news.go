package gateway

import (
	"maps"
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/gossip"
)

// newsLimit bounds the parts told in one message; the rest is left out, since
// an engine that is not known to hold a part only reads it again.
const newsLimit = 400

// news gathers what the other VMs are to be told next. It is safe for
// concurrent use; the zero value is ready.
type news struct {
	mu sync.Mutex // guards the fields below
	// own is for the VMs of the zone; zone, which has what they told too, for
	// the other zones.
	own, zone gossip.Message
}

func (n *news) part(p gossip.Part) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range []*gossip.Message{&n.own, &n.zone} {
		if len(m.Parts) < newsLimit {
			m.Parts = append(m.Parts, p)
		}
	}
}

func (n *news) version(v gossip.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own.Versions = append(n.own.Versions, v)
	n.zone.Versions = append(n.zone.Versions, v)
}

func (n *news) failed(f gossip.Failure) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own.Failed = append(n.own.Failed, f)
	n.zone.Failed = append(n.zone.Failed, f)
}

func (n *news) sound(s gossip.Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.own.Recovered = append(n.own.Recovered, s)
	n.zone.Recovered = append(n.zone.Recovered, s)
}

// pass takes in what a VM of the zone told, for the other zones.
func (n *news) pass(m *gossip.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zone.Versions = append(n.zone.Versions, m.Versions...)
	n.zone.Failed = append(n.zone.Failed, m.Failed...)
	n.zone.Recovered = append(n.zone.Recovered, m.Recovered...)
	n.zone.Parts = append(n.zone.Parts, m.Parts[:min(len(m.Parts), max(0, newsLimit-len(n.zone.Parts)))]...)
}

// near returns what the zone has not been told yet.
func (n *news) near() *gossip.Message { return n.take(&n.own) }

// far returns what the other zones have not been told yet.
func (n *news) far() *gossip.Message { return n.take(&n.zone) }

func (n *news) take(from *gossip.Message) *gossip.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := *from
	*from = gossip.Message{}
	return &m
}

// wholeEvery is how often a digest names all charges of the zone's VMs, in
// rounds, so that a lost one is made good.
const wholeEvery = 8

// mates holds what the other VMs of the zone told of their charges. It is safe
// for concurrent use; the zero value is ready.
type mates struct {
	mu  sync.Mutex // guards the field below
	vms map[string]*mate
}

type mate struct {
	epoch uint64
	usage map[string]float64
	// changed are the charges that no digest has told of.
	changed map[string]float64
}

func (x *mates) heard(m *gossip.Message) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.vms == nil {
		x.vms = make(map[string]*mate)
	}
	v := x.vms[m.VM]
	if v == nil || v.epoch != m.Epoch {
		v = &mate{epoch: m.Epoch, usage: make(map[string]float64), changed: make(map[string]float64)}
		x.vms[m.VM] = v
	}
	for team, n := range m.Usage {
		if v.usage[team] != n {
			v.usage[team], v.changed[team] = n, n
		}
	}
}

func (x *mates) left(vm string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.vms, vm)
}

// changes fills in the charges of members: those that no digest has told of, or
// all. It forgets the VMs that are no members any more.
func (x *mates) changes(members []gossip.Member, whole bool) []gossip.Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := make(map[string]*mate, len(members))
	for i := range members {
		v := x.vms[members[i].VM]
		if v == nil || v.epoch != members[i].Epoch {
			continue
		}
		kept[members[i].VM] = v
		if members[i].Usage = v.changed; whole {
			members[i].Usage = maps.Clone(v.usage)
		}
		v.changed = make(map[string]float64)
	}
	x.vms = kept
	return members
}
