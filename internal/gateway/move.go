package gateway

import (
	"sync"
	"time"
)

// streamMoveDelay is how long resumable streams on an engine that is about to load
// weights may take to end before they are moved. Most do end; the others would delay
// the load for as long as they last.
const streamMoveDelay = 400 * time.Millisecond

// Shares of the retry budget that are left for more important retries. A moved stream
// may be refused by its next engine, and a stream whose header has been sent is lost
// if no retry is left.
const (
	moveReserve  = 0.5
	startReserve = 0.15
)

// movableStreams holds, by engine, the attempts of streams that can be resumed on
// another engine. It is safe for concurrent use; the zero value is ready to use.
type movableStreams struct {
	mu      sync.Mutex // guards the field below
	engines map[string]map[*runningAttempt]struct{}
}

// add registers an attempt until the returned function is called.
func (m *movableStreams) add(engine string, a *runningAttempt) (remove func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.engines == nil {
		m.engines = make(map[string]map[*runningAttempt]struct{})
	}
	if m.engines[engine] == nil {
		m.engines[engine] = make(map[*runningAttempt]struct{})
	}
	m.engines[engine][a] = struct{}{}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.engines[engine], a)
		if len(m.engines[engine]) == 0 {
			delete(m.engines, engine)
		}
	}
}

func (m *movableStreams) onEngine(engine string) []*runningAttempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*runningAttempt
	for a := range m.engines[engine] {
		out = append(out, a)
	}
	return out
}

// beginReload records that an engine is about to load weights. After streamMoveDelay
// it moves the resumable streams that are still running on the engine.
func (g *Gateway) beginReload(id string, born int64, model string, version int64) {
	g.table.BeginReload(id, born, model, version, g.now())
	time.AfterFunc(streamMoveDelay, func() {
		if !g.table.Reloading(id, g.now()) {
			return
		}
		for _, a := range g.movableStreams.onEngine(id) {
			go a.handOver(errReloading)
		}
	})
}
