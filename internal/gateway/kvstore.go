package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

const (
	// kvEventsWait is how long a KV cache store holds a poll for its events, and the
	// interval between polls. Shorter polls are priced as probes.
	kvEventsWait = 400 * time.Millisecond
	// kvEventsGrace is how much longer a poll may take before it times out.
	kvEventsGrace = 200 * time.Millisecond
	// kvStoreDownTTL is how long a store counts as down after the last failed poll.
	kvStoreDownTTL = 3 * time.Second
)

// KVCacheEvents is the response of a KV cache store to a poll for its events.
type KVCacheEvents struct {
	// Epoch changes when the store has lost its contents.
	Epoch int64
	// Next is the event number to pass to the next poll.
	Next int64
}

// KVCacheStoreClient polls KV cache stores.
type KVCacheStoreClient interface {
	// WaitKVCacheEvents waits up to wait for events after the number since.
	WaitKVCacheEvents(ctx context.Context, address string, since int64, wait time.Duration) (KVCacheEvents, error)
}

// kvStores holds the known states of the KV cache stores. It is safe for concurrent
// use; the zero value is ready to use.
type kvStores struct {
	mu     sync.Mutex // guards the fields below
	states map[string]kvStoreState
	// watched holds the addresses of the stores that this VM polls.
	watched map[string]bool
}

type kvStoreState struct {
	epoch int64
	// downUntil is when the store stops counting as down.
	downUntil time.Duration
}

// update records the observed state of a store. It reports whether the store has
// lost its contents, and whether it went down or recovered.
func (s *kvStores) update(x gossip.KVCacheStore, now time.Duration) (emptied, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = make(map[string]kvStoreState)
	}
	old := s.states[x.Address]
	next := old
	if x.Epoch != 0 {
		next.epoch = x.Epoch
	}
	next.downUntil = 0
	if x.Down {
		next.downUntil = now + kvStoreDownTTL
	}
	s.states[x.Address] = next
	return old.epoch != 0 && next.epoch != old.epoch, (now < old.downUntil) != x.Down
}

func (s *kvStores) isDown(address string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.states[address].downUntil
}

// watchedStates returns the states of the stores that this VM polls.
func (s *kvStores) watchedStates(now time.Duration) []gossip.KVCacheStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []gossip.KVCacheStore
	for address := range s.watched {
		state := s.states[address]
		out = append(out, gossip.KVCacheStore{Address: address, Epoch: state.epoch, Down: now < state.downUntil})
	}
	return out
}

// startWatch marks a store as polled by this VM. It reports false if it already was.
func (s *kvStores) startWatch(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watched[address] {
		return false
	}
	if s.watched == nil {
		s.watched = make(map[string]bool)
	}
	s.watched[address] = true
	return true
}

func (s *kvStores) stopWatch(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, address)
}

// watchKVStores starts polling the KV cache stores if this VM is the leader of its
// zone.
func (g *Gateway) watchKVStores(ctx context.Context) {
	c := g.catalog.Current()
	if c == nil || !g.node.IsLeader() {
		return
	}
	for _, s := range c.KVCacheStores() {
		if g.kvStores.startWatch(s.Address) {
			g.background.Go(func() {
				defer g.kvStores.stopWatch(s.Address)
				g.watchKVStore(ctx, s.Address)
			})
		}
	}
}

// watchKVStore polls a store until it is removed from the catalog or this VM is no
// longer the leader of its zone.
func (g *Gateway) watchKVStore(ctx context.Context, address string) {
	var since int64
	failed := false
	for ctx.Err() == nil && g.node.IsLeader() && g.hasKVStore(address) {
		began := g.now()
		pollCtx, cancel := context.WithTimeout(ctx, kvEventsWait+kvEventsGrace)
		events, err := g.adapter.WaitKVCacheEvents(pollCtx, address, since, kvEventsWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failed {
			// The store may have closed an idle connection, so only a second failure
			// counts.
			failed = true
			continue
		}
		failed = err != nil
		since = events.Next
		g.updateKVStore(gossip.KVCacheStore{Address: address, Epoch: events.Epoch, Down: failed}, err)
		if !timer.Sleep(ctx, kvEventsWait-(g.now()-began)) {
			return
		}
	}
}

// hasKVStore reports whether the catalog contains a KV cache store.
func (g *Gateway) hasKVStore(address string) bool {
	for _, s := range g.catalog.Current().KVCacheStores() {
		if s.Address == address {
			return true
		}
	}
	return false
}

// updateKVStore records the observed state of a KV cache store.
func (g *Gateway) updateKVStore(x gossip.KVCacheStore, err error) {
	emptied, changed := g.kvStores.update(x, g.now())
	if emptied {
		g.parts.RemoveHolder(kvStoreHolder(x.Address).ID)
	}
	if emptied || changed {
		event.KVCacheStoreChanged.Log(g.log, err, log.Fields{"shelf": x.Address, "down": x.Down, "emptied": emptied, "epoch": x.Epoch})
	}
}

func kvStoreHolder(address string) parts.Holder { return parts.Holder{ID: "shelf/" + address} }
