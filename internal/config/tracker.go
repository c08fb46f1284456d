package config

import (
	"fmt"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// Tracker holds the current configuration of a process. The generation never
// decreases. The tracker also records when the platform was last known, from its
// own answer or through a peer, to have no newer generation.
type Tracker struct {
	mu sync.RWMutex // guards the fields below
	// current is never nil and its generation never decreases.
	current *Config
	// provedGeneration is the highest head generation seen. provedAt is the
	// latest instant at which it was known to be the head.
	provedGeneration uint64
	provedAt         timer.Instant
	hasProof         bool
	// recentChanges holds the newest changes, for peers that are a few behind.
	recentChanges []Change
}

// maxRecentChanges bounds the changes kept for peers.
const maxRecentChanges = 256

// NewTracker returns a tracker at generation zero with no proof.
func NewTracker() *Tracker { return &Tracker{current: Empty()} }

// Current returns the current configuration.
func (t *Tracker) Current() *Config {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current
}

// Apply applies a change to the current configuration. A change that is already
// applied is ignored without an error.
func (t *Tracker) Apply(ch Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ch.Generation <= t.current.generation {
		return nil
	}
	next, err := t.current.Apply(ch)
	if err != nil {
		return fmt.Errorf("apply change: %w", err)
	}
	t.current = next
	t.recentChanges = append(t.recentChanges, ch)
	if len(t.recentChanges) > maxRecentChanges {
		t.recentChanges = append([]Change(nil), t.recentChanges[len(t.recentChanges)-maxRecentChanges:]...)
	}
	return nil
}

// Install replaces the current configuration if c is newer, and reports whether
// it did.
func (t *Tracker) Install(c *Config) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.generation <= t.current.generation {
		return false
	}
	t.current = c
	t.recentChanges = nil
	return true
}

// ChangesSince returns the changes after a generation, oldest first. It reports
// false if not all of them are kept, so that the caller needs a snapshot.
func (t *Tracker) ChangesSince(generation uint64) ([]Change, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if generation >= t.current.generation {
		return nil, true
	}
	missing := int(t.current.generation - generation)
	if missing > len(t.recentChanges) {
		return nil, false
	}
	return append([]Change(nil), t.recentChanges[len(t.recentChanges)-missing:]...), true
}

// RecordProof records that generation was the platform's head at instant at.
func (t *Tracker) RecordProof(generation uint64, at timer.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation < t.provedGeneration {
		return
	}
	if generation > t.provedGeneration || !t.hasProof {
		t.provedGeneration = generation
		t.provedAt = at
		t.hasProof = true
		return
	}
	t.provedAt = max(t.provedAt, at)
}

// Proof returns the highest head generation seen and the age at now of the
// newest proof of it. ok is false before the first proof.
func (t *Tracker) Proof(now timer.Instant) (generation uint64, age time.Duration, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.provedGeneration, now.Sub(t.provedAt), t.hasProof
}

// Fresh reports whether the current generation was known to be the head within
// the last MaxProofAge. A generation known to be superseded is not fresh.
func (t *Tracker) Fresh(now timer.Instant) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if !t.hasProof || t.current.generation < t.provedGeneration {
		return false
	}
	return now.Sub(t.provedAt) <= t.current.MaxProofAge()
}

// ProvedSince reports whether the current generation was known to be the head at
// or after an instant.
func (t *Tracker) ProvedSince(at timer.Instant) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.hasProof && t.current.generation >= t.provedGeneration && t.provedAt >= at
}
