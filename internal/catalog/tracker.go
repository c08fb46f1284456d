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
	// provedAt is the send time of the newest request whose answer confirmed the
	// catalog to be current, on a clock that keeps running while the machine is
	// suspended.
	provedAt time.Duration
	hasProof bool
	// targetVersions holds the target versions of each model, oldest first.
	targetVersions map[string][]TargetVersion
}

// maxTargetVersionsPerModel bounds the number of target versions kept for each model.
const maxTargetVersionsPerModel = 16

// TargetVersion is a version that the engines of a model should run.
type TargetVersion struct {
	Version int64
	// LearnedAt is the earliest known time at which any VM had learned of the
	// version.
	LearnedAt time.Duration
}

// NewTracker returns a tracker with no catalog.
func NewTracker() *Tracker { return &Tracker{targetVersions: make(map[string][]TargetVersion)} }

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

// SetTargetVersion sets the target version of a model if it is newer than the
// current one, and reports whether it did.
func (t *Tracker) SetTargetVersion(model string, version int64, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.targetVersions[model]
	if len(list) > 0 && list[len(list)-1].Version >= version {
		return false
	}
	if len(list) >= maxTargetVersionsPerModel {
		list = list[1:]
	}
	t.targetVersions[model] = append(list, TargetVersion{Version: version, LearnedAt: now})
	return true
}

// MergeTargetVersion adds a target version that another process learned of at the
// given time. If the version is already known, the earlier of the two times is kept.
func (t *Tracker) MergeTargetVersion(model string, version int64, learnedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.targetVersions[model]
	i, found := slices.BinarySearchFunc(list, version, func(target TargetVersion, v int64) int { return cmp.Compare(target.Version, v) })
	if found {
		list[i].LearnedAt = min(list[i].LearnedAt, learnedAt)
		return
	}
	list = slices.Insert(list, i, TargetVersion{Version: version, LearnedAt: learnedAt})
	t.targetVersions[model] = list[max(0, len(list)-maxTargetVersionsPerModel):]
}

// TargetVersionHistory returns a copy of the latest target versions of each model,
// oldest first.
func (t *Tracker) TargetVersionHistory() map[string][]TargetVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string][]TargetVersion, len(t.targetVersions))
	for m, list := range t.targetVersions {
		out[m] = slices.Clone(list)
	}
	return out
}

// TargetVersion returns the current target version of a model. It reports false if
// none is known.
func (t *Tracker) TargetVersion(model string) (TargetVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.targetVersions[model]
	if len(list) == 0 {
		return TargetVersion{}, false
	}
	return list[len(list)-1], true
}

// OutdatedSince returns when the oldest target version newer than the given version
// became known. It reports false if there is none.
func (t *Tracker) OutdatedSince(model string, version int64) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range t.targetVersions[model] {
		if target.Version > version {
			return target.LearnedAt, true
		}
	}
	return 0, false
}

// TargetVersions returns a copy of the current target version of each model.
func (t *Tracker) TargetVersions() map[string]TargetVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]TargetVersion, len(t.targetVersions))
	for m, list := range t.targetVersions {
		out[m] = list[len(list)-1]
	}
	return out
}

// RecordProof records that a request sent at the given time confirmed the catalog
// to be current.
func (t *Tracker) RecordProof(sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.hasProof || sentAt > t.provedAt {
		t.provedAt, t.hasProof = sentAt, true
	}
}

// ProofAge returns the time since the catalog was last confirmed to be current. It
// reports false if it never was.
func (t *Tracker) ProofAge(now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.provedAt, t.hasProof
}
