package catalog

import (
	"sync"
	"sync/atomic"
	"time"
)

// Holder keeps the newest catalog, the versions that models should run, and
// the proof of how fresh they are. It is safe for concurrent use. Catalogs and
// versions only move forward.
type Holder struct {
	current atomic.Pointer[Catalog]

	mu sync.Mutex // guards the fields below
	// proved is when the newest answer that showed the catalog to be current
	// was asked for, by a clock that counts suspension.
	proved   time.Duration
	hasProof bool
	targets  map[string]Named
}

// Named is the version that a model should run.
type Named struct {
	Version int64
	// Learnt is when this VM learnt of the version.
	Learnt time.Duration
}

// NewHolder returns a holder with no catalog.
func NewHolder() *Holder { return &Holder{targets: make(map[string]Named)} }

// Current returns the newest catalog, or nil.
func (h *Holder) Current() *Catalog { return h.current.Load() }

// Put takes a catalog in if it is newer, and reports whether it did.
func (h *Holder) Put(c *Catalog) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.version >= c.version {
		return false
	}
	h.current.Store(c)
	return true
}

// Name takes in the version that a model should run, if it is newer.
func (h *Holder) Name(model string, version int64, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.targets[model].Version >= version {
		return false
	}
	h.targets[model] = Named{Version: version, Learnt: now}
	return true
}

// Named returns the version that a model should run; false where none was named.
func (h *Holder) Named(model string) (Named, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.targets[model]
	return n, ok
}

// Targets returns a copy of the versions that models should run.
func (h *Holder) Targets() map[string]Named {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]Named, len(h.targets))
	for m, n := range h.targets {
		out[m] = n
	}
	return out
}

// Prove records that the catalog was current at an instant.
func (h *Holder) Prove(asked time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasProof || asked > h.proved {
		h.proved, h.hasProof = asked, true
	}
}

// Age returns how old the proof is; false where there is none.
func (h *Holder) Age(now time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now - h.proved, h.hasProof
}
