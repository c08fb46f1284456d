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

// gossip does one round of gossip and logs if the configuration has not been
// confirmed recently.
func (f *configFollower) gossip() {
	f.gossipRound()
	c := f.r.configTracker.Current()
	if c.Generation() > 0 && !f.r.configTracker.Fresh(f.r.clock.Now()) {
		event.ConfigUnconfirmed.Log(f.r.log, nil, log.Fields{"generation": c.Generation()})
	}
}

// gossipRound exchanges a Hello with each contact.
func (f *configFollower) gossipRound() {
	var wg sync.WaitGroup
	for _, address := range f.contacts() {
		wg.Go(func() { f.exchangeHello(address) })
	}
	wg.Wait()
}

// Contacts of one round of gossip. They stay the same while they respond, so
// that the number of connections per router does not grow with the fleet. Every
// randomContactEvery rounds a random peer of the zone is added.
const (
	zoneContacts       = 2
	otherZoneContacts  = 1
	randomContactEvery = 20
)

func (f *configFollower) contacts() []string {
	var near, far []platform.VM
	for _, vm := range f.r.view.Routers("") {
		switch {
		case vm.Name == f.r.settings.VM || f.r.unreachable.contains(vmTarget(vm.Name), f.r.clock.Now()):
		case vm.Zone == f.r.settings.Zone:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	if len(near)+len(far) == 0 {
		return f.r.settings.Seeds
	}
	chosen := append(f.preferredContacts(near, zoneContacts), f.preferredContacts(far, otherZoneContacts)...)
	if f.rounds.Add(1)%randomContactEvery == 0 && len(near) > zoneContacts {
		chosen = append(chosen, near[rand.IntN(len(near))].PeerAddress)
	}
	return chosen
}

// preferredContacts returns the addresses of this VM's first n contacts among
// vms, in rendezvous order.
func (f *configFollower) preferredContacts(vms []platform.VM, n int) []string {
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

// exchangeHello exchanges a Hello with one peer and pulls newer generations
// from it.
func (f *configFollower) exchangeHello(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), gossipTimeout)
	defer cancel()
	requestedAt := f.r.clock.Now()
	reply, err := peer.Call[*peer.Hello](ctx, f.r.node, address, f.r.hello())
	if err != nil {
		f.r.markUnreachable(address)
		event.PeerUnreachable.Log(f.r.log, err, log.Fields{"peer": address})
		return
	}
	if reply.Generation > f.r.configTracker.Current().Generation() {
		f.pullChanges(address)
	}
	f.r.recordPeerSlots(reply)
	if reply.HasProof {
		f.r.configTracker.RecordProof(reply.Proved, requestedAt.Add(-time.Duration(reply.ProofAgeMillis)*time.Millisecond))
	}
}

// markUnreachable excludes a peer from the contacts for unreachableTTL.
func (r *Router) markUnreachable(address string) {
	for _, vm := range r.view.Routers("") {
		if vm.PeerAddress == address {
			r.unreachable.add(vmTarget(vm.Name), r.clock.Now())
		}
	}
}

// pullChanges reads newer generations from a peer and applies them.
func (f *configFollower) pullChanges(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), configSyncTimeout)
	defer cancel()
	have := f.r.configTracker.Current().Generation()
	changes, err := peer.Call[*peer.Changes](ctx, f.r.node, address, &peer.ChangesRequest{Generation: have})
	if err != nil {
		event.PeerUnreachable.Log(f.r.log, err, log.Fields{"peer": address})
		return
	}
	if !changes.Complete {
		f.pullSnapshot(ctx, address)
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
	f.afterApply(address)
}

func (f *configFollower) pullSnapshot(ctx context.Context, address string) {
	snapshot, err := peer.Call[*peer.Snapshot](ctx, f.r.node, address, &peer.SnapshotRequest{})
	if err != nil {
		event.PeerUnreachable.Log(f.r.log, err, log.Fields{"peer": address})
		return
	}
	f.install(decodeSnapshot(snapshot.Data))
	f.afterApply(address)
}

// hello returns the Hello message of this router.
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

// recordPeerSlots records which slots of the local zone a peer claims to hold.
func (r *Router) recordPeerSlots(m *peer.Hello) {
	if m.Zone == r.settings.Zone && m.VM != r.settings.VM {
		if r.slots.RecordPeerClaims(m.VM, m.HeldSlots, r.clock.Now()) {
			r.slotRowsStale.Store(true)
		}
	}
}
