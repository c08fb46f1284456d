package engine

import (
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// Bounds of the time for which a failing engine is excluded from selection.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// loadTTL is how long a reported load remains valid.
const loadTTL = 2 * time.Second

// Report is the state that an engine reports with an answer.
type Report struct {
	Incarnation string
	Version     string
	// Load counts the requests of all routers on the engine.
	Load int
}

// Status is a snapshot of the state of one engine.
type Status struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	InFlight    int    `json:"inflight"`
	Load        int    `json:"load"`
	Failures    int    `json:"failures"`
	InBackoff   bool   `json:"resting"`
}

type record struct {
	incarnation string
	version     string
	inFlight    int
	load        int
	loadAt      timer.Instant
	// failures counts consecutive failures; the engine is excluded until backoffUntil.
	failures     int
	backoffUntil timer.Instant
}

// Table holds the records of all engines by name. It is safe for concurrent use.
// RemoveExcept bounds its size.
type Table struct {
	clock timer.Clock

	mu      sync.Mutex // guards the fields below
	engines map[string]*record
}

// NewTable returns an empty table.
func NewTable(time timer.Clock) *Table {
	return &Table{clock: time, engines: make(map[string]*record)}
}

func (t *Table) record(name string) *record {
	r := t.engines[name]
	if r == nil {
		r = &record{}
		t.engines[name] = r
	}
	return r
}

// Begin counts a request on an engine.
func (t *Table) Begin(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(name).inFlight++
}

// End ends a request that Begin counted.
func (t *Table) End(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(name).inFlight--
}

// Observe records what an engine reports of itself. It reports whether the
// incarnation changed.
func (t *Table) Observe(name string, rep Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(name)
	changed := r.incarnation != "" && r.incarnation != rep.Incarnation
	r.incarnation = rep.Incarnation
	r.version = rep.Version
	r.load = rep.Load
	r.loadAt = t.clock.Now()
	return changed
}

// RecordSuccess resets the consecutive failures of an engine.
func (t *Table) RecordSuccess(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(name)
	r.failures = 0
	r.backoffUntil = 0
}

// RecordFailure excludes an engine for a time that doubles with each consecutive
// failure, up to maxBackoff.
func (t *Table) RecordFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(name)
	r.failures++
	rest := min(minBackoff<<min(r.failures-1, 10), maxBackoff)
	r.backoffUntil = t.clock.Now().Add(rest)
}

// Status returns the state of an engine.
func (t *Table) Status(name string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.status(name)
}

func (t *Table) status(name string) Status {
	r, ok := t.engines[name]
	if !ok {
		return Status{}
	}
	now := t.clock.Now()
	s := Status{
		Incarnation: r.incarnation, Version: r.version,
		InFlight: r.inFlight, Failures: r.failures, InBackoff: now < r.backoffUntil,
	}
	if now.Sub(r.loadAt) < loadTTL {
		s.Load = r.load
	}
	return s
}

// RemoveExcept removes every idle engine that is not in names.
func (t *Table) RemoveExcept(names map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, r := range t.engines {
		if !names[name] && r.inFlight == 0 {
			delete(t.engines, name)
		}
	}
}

// All returns the state of every engine by name.
func (t *Table) All() map[string]Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Status, len(t.engines))
	for name := range t.engines {
		out[name] = t.status(name)
	}
	return out
}
