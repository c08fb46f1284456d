package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// moveAfter is how long streams that may be resumed have to end by themselves
// at an engine that is about to load weights: most do, and the rest would keep
// it from loading for as long as they last.
const moveAfter = 400 * time.Millisecond

// Parts of the budget of repeats that are left to what needs it more: a stream
// that is moved may be refused by its next engine, and one that has begun is
// lost where nothing is left.
const (
	moveLeaves  = 0.5
	startLeaves = 0.15
)

// moves holds the attempts of streams that can go on at another engine, by
// engine. It is safe for concurrent use; the zero value is ready.
type moves struct {
	mu      sync.Mutex // guards the field below
	engines map[string]map[*movable]struct{}
}

// movable is one such attempt.
type movable struct {
	service string
	cancel  context.CancelCauseFunc
}

// errMoved is the cause that ends an attempt that is to go on elsewhere.
var errMoved = errors.New("engine is to load weights")

// add registers an attempt until the returned function is called.
func (m *moves) add(engine string, a *movable) (remove func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.engines == nil {
		m.engines = make(map[string]map[*movable]struct{})
	}
	if m.engines[engine] == nil {
		m.engines[engine] = make(map[*movable]struct{})
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

func (m *moves) at(engine string) []*movable {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*movable
	for a := range m.engines[engine] {
		out = append(out, a)
	}
	return out
}

// reloads notes that an engine is about to load weights, and moves the streams
// that are still there after a while and may go on elsewhere.
func (g *Gateway) reloads(id string, born int64, model string, version int64) {
	g.table.BeginReload(id, born, model, version, g.now())
	time.AfterFunc(moveAfter, func() {
		if !g.table.Reloading(id, g.now()) {
			return
		}
		for _, a := range g.moves.at(id) {
			if !g.retries.Take(a.service, g.now(), moveLeaves) {
				return
			}
			a.cancel(errMoved)
		}
	})
}
