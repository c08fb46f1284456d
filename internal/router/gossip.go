package router

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// gossip exchanges generations with two peers of the zone and one beyond.
func (f *follower) gossip() {
	f.greet()
	c := f.r.configTracker.Current()
	if c.Generation() > 0 && !f.r.configTracker.Fresh(f.r.clock.Now()) {
		event.ConfigUnconfirmed.Log(f.r.log, nil, log.Fields{"generation": c.Generation()})
	}
}

// greet does one round of gossip.
func (f *follower) greet() {
	var asked sync.WaitGroup
	for _, address := range f.contacts() {
		asked.Go(func() { f.hello(address) })
	}
	asked.Wait()
}

// Contacts of one round of gossip. They stay the same while they answer, so
// that their number of connections does not grow with the fleet; every so
// often a random peer of the zone is asked besides.
const (
	zoneContacts = 2
	farContacts  = 1
	randomEvery  = 20
)

func (f *follower) contacts() []string {
	var near, far []platform.VM
	for _, vm := range f.r.view.Routers("") {
		switch {
		case vm.Name == f.r.settings.VM || f.r.unreach.recently(vmTarget(vm.Name), f.r.clock.Now()):
		case vm.Zone == f.r.settings.Zone:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	if len(near)+len(far) == 0 {
		return f.r.settings.Seeds
	}
	chosen := append(f.preferred(near, zoneContacts), f.preferred(far, farContacts)...)
	if f.rounds.Add(1)%randomEvery == 0 && len(near) > zoneContacts {
		chosen = append(chosen, near[rand.IntN(len(near))].PeerAddress)
	}
	return chosen
}

// preferred returns the addresses of this VM's first n contacts among vms.
func (f *follower) preferred(vms []platform.VM, n int) []string {
	names := fleet.RendezvousOrder(f.r.settings.VM, vms)
	var out []string
	for _, name := range names[:min(n, len(names))] {
		for _, vm := range vms {
			if vm.Name == name {
				out = append(out, vm.PeerAddress)
			}
		}
	}
	return out
}

// hello exchanges generations with one peer.
func (f *follower) hello(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
	defer cancel()
	asked := f.r.clock.Now()
	reply, err := peer.Call[*peer.Hello](ctx, f.r.node, address, f.r.hello())
	if err != nil {
		f.r.avoid(address)
		event.PeerUnreachable.Log(f.r.log, err, log.Fields{"peer": address})
		return
	}
	if reply.Generation > f.r.configTracker.Current().Generation() {
		f.fromPeer(address)
	}
	f.r.hear(reply)
	if reply.HasProof {
		f.r.configTracker.RecordProof(reply.Proved, asked.Add(-time.Duration(reply.ProofAgeMillis)*time.Millisecond))
	}
}

// avoid passes over a contact that does not answer, for a while.
func (r *Router) avoid(address string) {
	for _, vm := range r.view.Routers("") {
		if vm.PeerAddress == address {
			r.unreach.mark(vmTarget(vm.Name), r.clock.Now())
		}
	}
}

// fromPeer takes newer generations from a peer.
func (f *follower) fromPeer(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), followTimeout)
	defer cancel()
	have := f.r.configTracker.Current().Generation()
	changes, err := peer.Call[*peer.Changes](ctx, f.r.node, address, &peer.ChangesRequest{Generation: have})
	if err != nil {
		event.PeerUnreachable.Log(f.r.log, err, log.Fields{"peer": address})
		return
	}
	if !changes.Complete {
		f.fetch(ctx, address)
		return
	}
	for _, raw := range changes.List {
		var change config.Change
		if err := json.Unmarshal(raw, &change); err != nil {
			event.PeerMessageRejected.Log(f.r.log, err, log.Fields{"from": address})
			return
		}
		if !f.apply(change) {
			return
		}
	}
	f.inForce(address)
}

func (f *follower) fetch(ctx context.Context, address string) {
	snapshot, err := peer.Call[*peer.Snapshot](ctx, f.r.node, address, &peer.SnapshotRequest{})
	if err != nil {
		event.PeerUnreachable.Log(f.r.log, err, log.Fields{"peer": address})
		return
	}
	f.install(decodeSnapshot(snapshot.Data))
	f.inForce(address)
}

// hello returns what this router tells of itself.
func (r *Router) hello() *peer.Hello {
	proved, age, ok := r.configTracker.Proof(r.clock.Now())
	return &peer.Hello{
		VM: r.settings.VM, Zone: r.settings.Zone,
		Generation:     r.configTracker.Current().Generation(),
		Proved:         proved,
		ProofAgeMillis: uint64(age.Milliseconds()) + 1,
		HasProof:       ok,
		HeldSlots:      r.slots.HeldMask(),
	}
}

// hear takes in which slots of the own zone a peer holds.
func (r *Router) hear(m *peer.Hello) {
	if m.Zone == r.settings.Zone && m.VM != r.settings.VM {
		if r.slots.RecordPeerClaims(m.VM, m.HeldSlots, r.clock.Now()) {
			r.slotDoubt.Store(true)
		}
	}
}
