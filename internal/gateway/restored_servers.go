package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/feed"
)

const (
	// goneMemory is how long a removed backend server is remembered, and maxGone bounds their
	// number.
	goneMemory = time.Minute
	maxGone    = 1024
	// restoredGoneHold is how long a server that was known to be gone is not used although the
	// restored list has it. Its row is removed again within that time unless it runs.
	restoredGoneHold = 10 * time.Second
)

// goneServer is an incarnation of a backend server that was removed from the list.
type goneServer struct {
	born int64
	at   time.Duration
}

// heldServer is a row of a restored list whose server was known to be gone.
type heldServer struct {
	row   feed.Row
	until time.Duration
}

// serverMemory holds what is known of backend servers beyond the list, for rows of a restored
// list, which may be older. It is safe for concurrent use.
type serverMemory struct {
	mu   sync.Mutex // guards the fields below
	gone map[string]goneServer
	// held holds the rows that are kept back, by key.
	held map[string]heldServer
}

// recordGone remembers a removed server.
func (m *serverMemory) recordGone(id string, born int64, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone == nil {
		m.gone = make(map[string]goneServer)
	}
	if len(m.gone) >= maxGone {
		oldest := id
		for other, x := range m.gone {
			if now-x.at > goneMemory {
				delete(m.gone, other)
			} else if oldest == id || x.at < m.gone[oldest].at {
				oldest = other
			}
		}
		if len(m.gone) >= maxGone {
			delete(m.gone, oldest)
		}
	}
	m.gone[id] = goneServer{born: born, at: now}
}

// hold keeps a restored row back if its incarnation was known to be gone, and reports whether
// it does.
func (m *serverMemory) hold(r feed.Row, s backend.Server, now time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	x, ok := m.gone[s.ID]
	if !ok || s.Born > x.born || now-x.at > goneMemory {
		return false
	}
	if m.held == nil {
		m.held = make(map[string]heldServer)
	}
	m.held[r.Key] = heldServer{row: r, until: now + restoredGoneHold}
	return true
}

// drop forgets a row that is kept back: a newer one, or its removal, takes its place.
func (m *serverMemory) drop(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.held, key)
}

// release returns the rows that are no longer kept back.
func (m *serverMemory) release(now time.Duration) []feed.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []feed.Row
	for key, x := range m.held {
		if now >= x.until {
			delete(m.held, key)
			out = append(out, x.row)
		}
	}
	slices.SortFunc(out, func(a, b feed.Row) int { return int(a.Version - b.Version) })
	return out
}

// acceptRestored reports whether a row of a restored list may be applied. What is known of an
// incarnation is not taken back: one that is leaving stays so.
func (g *Gateway) acceptRestored(r feed.Row, s *backend.Server) bool {
	now := g.now()
	if known, ok := g.table.Get(s.ID, now); ok {
		s.Draining = s.Draining || known.Draining && known.Born == s.Born
		return s.Born >= known.Born
	}
	if g.serverMemory.hold(r, *s, now) {
		event.ServerHeldBack.Log(g.log, nil, log.Fields{"server": s.ID, "born": s.Born, "hold": restoredGoneHold.Milliseconds()})
		return false
	}
	return true
}

// releaseServers applies the rows that were kept back long enough.
func (g *Gateway) releaseServers() {
	for _, r := range g.serverMemory.release(g.now()) {
		r.Restored = false
		g.applyServer(r)
	}
}
