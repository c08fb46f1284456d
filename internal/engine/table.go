package engine

import (
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// Bounds of the time that a failing engine is passed over.
const (
	minimumRest = 200 * time.Millisecond
	maximumRest = 5 * time.Second
)

// loadLife is how long a reported load is believed.
const loadLife = 2 * time.Second

// Report is what an engine says of itself in an answer.
type Report struct {
	Incarnation string
	Version     string
	// Load counts all requests on the engine, of every router.
	Load int
}

// Status is what is known of one engine.
type Status struct {
	Incarnation string `json:"incarnation"`
	Version     string `json:"version"`
	InFlight    int    `json:"inflight"`
	Load        int    `json:"load"`
	Failures    int    `json:"failures"`
	InBackoff     bool   `json:"resting"`
}

type record struct {
	incarnation string
	version     string
	inFlight    int
	load        int
	loadAt      timer.Instant
	// failures counts failures in a row; the engine rests until restUntil.
	failures  int
	restUntil timer.Instant
}

// Table holds the records of all engines by name. It is safe for concurrent
// use and does not outgrow the names given to Keep.
type Table struct {
	time timer.Service

	mu      sync.Mutex // guards the fields below
	engines map[string]*record
}

// NewTable returns an empty table.
func NewTable(time timer.Service) *Table {
	return &Table{time: time, engines: make(map[string]*record)}
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

// Observe takes in what an engine says of itself. It reports true when the
// incarnation is another than before.
func (t *Table) Observe(name string, rep Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(name)
	changed := r.incarnation != "" && r.incarnation != rep.Incarnation
	r.incarnation = rep.Incarnation
	r.version = rep.Version
	r.load = rep.Load
	r.loadAt = t.time.Now()
	return changed
}

// RecordSuccess ends a row of failures.
func (t *Table) RecordSuccess(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(name)
	r.failures = 0
	r.restUntil = 0
}

// RecordFailure makes an engine rest, longer for each failure in a row.
func (t *Table) RecordFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(name)
	r.failures++
	rest := min(minimumRest<<min(r.failures-1, 10), maximumRest)
	r.restUntil = t.time.Now().Add(rest)
}

// Status returns what is known of an engine.
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
	now := t.time.Now()
	s := Status{
		Incarnation: r.incarnation, Version: r.version,
		InFlight: r.inFlight, Failures: r.failures, InBackoff: now < r.restUntil,
	}
	if now.Sub(r.loadAt) < loadLife {
		s.Load = r.load
	}
	return s
}

// RemoveExcept forgets every idle engine that is not in names.
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
