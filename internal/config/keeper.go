package config

import (
	"fmt"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// Tracker holds the generation in force in one process. It only moves
// forward, and it knows how long ago the platform was last heard, by this
// process or through a peer, to have nothing newer.
type Tracker struct {
	mu sync.RWMutex // guards the fields below
	// current is never nil and its generation never decreases.
	current *Config
	// provedGeneration is the highest head seen; provedAt is the newest
	// instant at which provedGeneration was known to be the head.
	provedGeneration uint64
	provedAt         timer.Instant
	proved           bool
	// recent holds the newest changes, for peers that lag by a few.
	recent []Change
}

// recentLimit bounds the changes kept for peers.
const recentLimit = 256

// NewTracker returns a keeper at generation zero with no proof.
func NewTracker() *Tracker { return &Tracker{current: Empty()} }

// Current returns the generation in force.
func (k *Tracker) Current() *Config {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.current
}

// Apply puts a change in force. A change that is already in force is no
// error and changes nothing.
func (k *Tracker) Apply(ch Change) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if ch.Generation <= k.current.generation {
		return nil
	}
	next, err := k.current.Apply(ch)
	if err != nil {
		return fmt.Errorf("keep: %w", err)
	}
	k.current = next
	k.recent = append(k.recent, ch)
	if len(k.recent) > recentLimit {
		k.recent = append([]Change(nil), k.recent[len(k.recent)-recentLimit:]...)
	}
	return nil
}

// Install puts a whole generation in force if it is newer than the current
// one, and reports whether it did.
func (k *Tracker) Install(c *Config) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.generation <= k.current.generation {
		return false
	}
	k.current = c
	k.recent = nil
	return true
}

// ChangesSince returns the changes after a generation, oldest first. It reports
// false when they are no longer all kept and a snapshot is needed.
func (k *Tracker) ChangesSince(generation uint64) ([]Change, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if generation >= k.current.generation {
		return nil, true
	}
	missing := int(k.current.generation - generation)
	if missing > len(k.recent) {
		return nil, false
	}
	return append([]Change(nil), k.recent[len(k.recent)-missing:]...), true
}

// RecordProof records that generation was the platform's head at instant at.
func (k *Tracker) RecordProof(generation uint64, at timer.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if generation < k.provedGeneration {
		return
	}
	if generation > k.provedGeneration || !k.proved {
		k.provedGeneration = generation
		k.provedAt = at
		k.proved = true
		return
	}
	k.provedAt = max(k.provedAt, at)
}

// Proof returns the highest head seen and the age of that knowledge at now.
// ok is false before the first proof.
func (k *Tracker) Proof(now timer.Instant) (generation uint64, age time.Duration, ok bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.provedGeneration, now.Sub(k.provedAt), k.proved
}

// Fresh reports whether the generation in force was proved to be the newest
// within the declared limit. A generation known to be superseded is not fresh.
func (k *Tracker) Fresh(now timer.Instant) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	if !k.proved || k.current.generation < k.provedGeneration {
		return false
	}
	return now.Sub(k.provedAt) <= k.current.MaxProofAge()
}

// ProvedSince reports whether a proof at or after an instant exists for the
// generation in force.
func (k *Tracker) ProvedSince(at timer.Instant) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.proved && k.current.generation >= k.provedGeneration && k.provedAt >= at
}
