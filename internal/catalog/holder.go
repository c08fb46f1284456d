package catalog

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Tracker keeps the newest catalog, the versions that models should run, and
// the proof of how fresh they are. It is safe for concurrent use. Catalogs and
// versions only move forward.
type Tracker struct {
	current atomic.Pointer[Catalog]

	mu sync.Mutex // guards the fields below
	// proved is when the newest answer that showed the catalog to be current
	// was asked for, by a clock that counts suspension.
	proved   time.Duration
	hasProof bool
	// targets holds the versions named for each model, oldest first.
	targets map[string][]TargetVersion
}

// namesKept bounds the versions of a model whose naming is remembered.
const namesKept = 16

// TargetVersion is the version that a model should run.
type TargetVersion struct {
	Version int64
	// LearnedAt is when this VM learnt of the version.
	LearnedAt time.Duration
}

// NewTracker returns a holder with no catalog.
func NewTracker() *Tracker { return &Tracker{targets: make(map[string][]TargetVersion)} }

// Current returns the newest catalog, or nil.
func (h *Tracker) Current() *Catalog { return h.current.Load() }

// Put takes a catalog in if it is newer, and reports whether it did.
func (h *Tracker) Put(c *Catalog) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.current.Load(); old != nil && old.version >= c.version {
		return false
	}
	h.current.Store(c)
	return true
}

// SetTargetVersion takes in the version that a model should run, if it is newer.
func (h *Tracker) SetTargetVersion(model string, version int64, now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.targets[model]
	if len(list) > 0 && list[len(list)-1].Version >= version {
		return false
	}
	if len(list) >= namesKept {
		list = list[1:]
	}
	h.targets[model] = append(list, TargetVersion{Version: version, LearnedAt: now})
	return true
}

// MergeTargetVersion takes in when a version was named, as another process learnt it.
func (h *Tracker) MergeTargetVersion(model string, version int64, learnt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.targets[model]
	i, found := slices.BinarySearchFunc(list, version, func(n TargetVersion, v int64) int { return cmp.Compare(n.Version, v) })
	if found {
		list[i].LearnedAt = min(list[i].LearnedAt, learnt)
		return
	}
	list = slices.Insert(list, i, TargetVersion{Version: version, LearnedAt: learnt})
	h.targets[model] = list[max(0, len(list)-namesKept):]
}

// TargetHistory returns a copy of the versions named for each model, oldest first.
func (h *Tracker) TargetHistory() map[string][]TargetVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string][]TargetVersion, len(h.targets))
	for m, list := range h.targets {
		out[m] = slices.Clone(list)
	}
	return out
}

// TargetVersion returns the version that a model should run; false where none was named.
func (h *Tracker) TargetVersion(model string) (TargetVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.targets[model]
	if len(list) == 0 {
		return TargetVersion{}, false
	}
	return list[len(list)-1], true
}

// OutdatedSince returns when the first version above one was named, as far back as
// is known; false where there is none.
func (h *Tracker) OutdatedSince(model string, version int64) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.targets[model] {
		if n.Version > version {
			return n.LearnedAt, true
		}
	}
	return 0, false
}

// TargetVersions returns a copy of the versions that models should run.
func (h *Tracker) TargetVersions() map[string]TargetVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]TargetVersion, len(h.targets))
	for m, list := range h.targets {
		out[m] = list[len(list)-1]
	}
	return out
}

// RecordProof records that the catalog was current at an instant.
func (h *Tracker) RecordProof(asked time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasProof || asked > h.proved {
		h.proved, h.hasProof = asked, true
	}
}

// ProofAge returns how old the proof is; false where there is none.
func (h *Tracker) ProofAge(now time.Duration) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now - h.proved, h.hasProof
}
