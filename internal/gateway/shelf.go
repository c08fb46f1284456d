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
	// shelfWait is how long a shelf holds a call that asks for its events, and
	// the distance between two calls; shorter ones are priced as probes.
	shelfWait = 400 * time.Millisecond
	// shelfSlack is what such a call may take beyond it.
	shelfSlack = 200 * time.Millisecond
	// shelfLife is how long it is believed that a shelf is down.
	shelfLife = 3 * time.Second
)

// Events is a shelf's answer to a call for its events.
type Events struct {
	// Epoch changes when the shelf has lost all that it held.
	Epoch int64
	// Next is where the next call goes on.
	Next int64
}

// Shelves asks the stores of cached parts.
type Shelves interface {
	// Events waits for events after a number, and for the longest time given.
	Events(ctx context.Context, address string, since int64, wait time.Duration) (Events, error)
}

// shelves is what is known of the stores of cached parts. It is safe for
// concurrent use; the zero value is ready.
type shelves struct {
	mu     sync.Mutex // guards the fields below
	states map[string]shelfState
	// watched are those that this VM asks.
	watched map[string]bool
}

type shelfState struct {
	epoch int64
	// down is until when the shelf is believed to be down.
	down time.Duration
}

// observe takes in the state of a shelf. It reports whether the shelf has lost
// what it held, and whether it went down or came back.
func (s *shelves) observe(x gossip.KVCacheStore, now time.Duration) (emptied, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.states == nil {
		s.states = make(map[string]shelfState)
	}
	old := s.states[x.Address]
	next := old
	if x.Epoch != 0 {
		next.epoch = x.Epoch
	}
	next.down = 0
	if x.Down {
		next.down = now + shelfLife
	}
	s.states[x.Address] = next
	return old.epoch != 0 && next.epoch != old.epoch, (now < old.down) != x.Down
}

func (s *shelves) down(address string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.states[address].down
}

// list returns the state of the shelves that this VM asks.
func (s *shelves) list(now time.Duration) []gossip.KVCacheStore {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []gossip.KVCacheStore
	for address := range s.watched {
		state := s.states[address]
		out = append(out, gossip.KVCacheStore{Address: address, Epoch: state.epoch, Down: now < state.down})
	}
	return out
}

// watch reports whether the caller is to begin to ask a shelf.
func (s *shelves) watch(address string) bool {
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

func (s *shelves) unwatch(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watched, address)
}

// watchShelves asks the shelves for the zone where this VM speaks for it.
func (g *Gateway) watchShelves(ctx context.Context) {
	c := g.catalog.Current()
	if c == nil || !g.node.IsLeader() {
		return
	}
	for _, s := range c.KVCacheStores() {
		if g.shelves.watch(s.Address) {
			g.working.Go(func() {
				defer g.shelves.unwatch(s.Address)
				g.watchShelf(ctx, s.Address)
			})
		}
	}
}

// watchShelf asks one shelf until this VM need not any more.
func (g *Gateway) watchShelf(ctx context.Context, address string) {
	var since int64
	failed := false
	for ctx.Err() == nil && g.node.IsLeader() && g.shelved(address) {
		began := g.now()
		ask, cancel := context.WithTimeout(ctx, shelfWait+shelfSlack)
		events, err := g.adapter.Events(ask, address, since, shelfWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil && !failed {
			// A kept connection may have been closed: a second call decides.
			failed = true
			continue
		}
		failed = err != nil
		since = events.Next
		g.observe(gossip.KVCacheStore{Address: address, Epoch: events.Epoch, Down: failed}, err)
		if !timer.Sleep(ctx, shelfWait-(g.now()-began)) {
			return
		}
	}
}

// shelved reports whether the catalog has a shelf.
func (g *Gateway) shelved(address string) bool {
	for _, s := range g.catalog.Current().KVCacheStores() {
		if s.Address == address {
			return true
		}
	}
	return false
}

// observe takes in the state of a shelf.
func (g *Gateway) observe(x gossip.KVCacheStore, err error) {
	emptied, changed := g.shelves.observe(x, g.now())
	if emptied {
		g.parts.RemoveHolder(shelfHolder(x.Address).ID)
	}
	if emptied || changed {
		event.KVCacheStoreChanged.Log(g.log, err, log.Fields{"shelf": x.Address, "down": x.Down, "emptied": emptied, "epoch": x.Epoch})
	}
}

func shelfHolder(address string) parts.Holder { return parts.Holder{ID: "shelf/" + address} }
