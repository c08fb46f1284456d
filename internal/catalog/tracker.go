package catalog

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Tracker holds the newest catalog, the target versions of models, and the time
// as of which the catalog was confirmed to be current. It is safe for concurrent
// use. The versions of the catalog and of each model never decrease.
type Tracker struct {
	current atomic.Pointer[Catalog]

	mu sync.Mutex // guards the fields below
	// provedAt is the send time of the newest request whose answer confirmed
	// the catalog to be current, on a clock that counts time in suspension.
	provedAt time.Duration
	hasProof bool
	// targets holds the target versions of each model, oldest first.
	targets map[string][]TargetVersion
}

// maxTargetHistory bounds the number of target versions kept for each model.
const maxTargetHistory = 16

// TargetVersion is a version that a model should run.
type TargetVersion struct {
	Version int64
	// LearnedAt is when the version became known, as far back as is known.
	LearnedAt time.Duration
}

// NewTracker returns a tracker with no catalog.
func NewTracker() *Tracker { return &Tracker{targets: make(map[string][]TargetVersion)} }

// Current returns the newest catalog, or nil.
func (t *Tracker) Current() *Catalog { return t.current.Load() }

// Put replaces the current catalog if c is newer, and reports whether it did.
func (t *Tracker) Put(c *Catalog) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.current.Load(); old != nil && old.version >= c.version {
		return false
	}
	t.current.Store(c)
	return true
}

// SetTargetVersion sets the version that a model should run if it is newer than
// the current one, and reports whether it did.
func (t *Tracker) SetTargetVersion(model string, version int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.targets[model]
	if len(list) > 0 && list[len(list)-1].Version >= version {
		return false
	}
	if len(list) >= maxTargetHistory {
		list = list[1:]
	}
	t.targets[model] = append(list, TargetVersion{Version: version, LearnedAt: now})
	return true
}

// MergeTargetVersion records when another process learned of a target version.
// The earlier of the two times is kept.
func (t *Tracker) MergeTargetVersion(model string, version int64, learnt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.targets[model]
	i, found := slices.BinarySearchFunc(list, version, func(n TargetVersion, v int64) int { return cmp.Compare(n.Version, v) })
	if found {
		list[i].LearnedAt = min(list[i].LearnedAt, learnt)
		return
	}
	list = slices.Insert(list, i, TargetVersion{Version: version, LearnedAt: learnt})
	t.targets[model] = list[max(0, len(list)-maxTargetHistory):]
}

// TargetVersionHistory returns a copy of the target versions of each model, oldest first.
func (t *Tracker) TargetVersionHistory() map[string][]TargetVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]TargetVersion, len(t.targets))
	for m, list := range t.targets {
		out[m] = slices.Clone(list)
	}
	return out
}

// TargetVersion returns the version that a model should run. It reports false if
// none is known.
func (t *Tracker) TargetVersion(model string) (TargetVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.targets[model]
	if len(list) == 0 {
		return TargetVersion{}, false
	}
	return list[len(list)-1], true
}

// OutdatedSince returns when the first target version newer than version became
// known. It reports false if there is none.
func (t *Tracker) OutdatedSince(model string, version int64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range t.targets[model] {
		if n.Version > version {
			return n.LearnedAt, true
		}
	}
	return 0, false
}

// TargetVersions returns a copy of the current target version of each model.
func (t *Tracker) TargetVersions() map[string]TargetVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]TargetVersion, len(t.targets))
	for m, list := range t.targets {
		out[m] = list[len(list)-1]
	}
	return out
}

// RecordProof records that the catalog was current when the request that
// confirmed it was sent.
func (t *Tracker) RecordProof(asked time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasProof || asked > t.provedAt {
		t.provedAt, t.hasProof = asked, true
	}
}

// ProofAge returns the age of the newest proof that the catalog is current. It
// reports false if there is none.
func (t *Tracker) ProofAge(now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.provedAt, t.hasProof
}
