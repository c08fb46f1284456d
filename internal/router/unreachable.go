package router

import (
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// unreachableTTL is how long a target that did not respond is skipped.
const unreachableTTL = 500 * time.Millisecond

// maxUnreachableTargets bounds the targets that are remembered.
const maxUnreachableTargets = 4096

// peerTarget identifies what may be unreachable: a slot of another zone, one VM
// as the holder of a slot, or a VM.
type peerTarget struct {
	zone string
	slot team.Slot
	vm   string
}

func vmTarget(vm string) peerTarget { return peerTarget{vm: vm} }

// unreachableTargets records which targets did not respond recently. It is
// cleared when it is full.
type unreachableTargets struct {
	mu     sync.Mutex // guards the fields below
	expiry map[peerTarget]timer.Instant
	// failures counts the failures per zone, so that the next request goes to
	// another router of the zone.
	failures map[string]int
}

func newUnreachableTargets() *unreachableTargets {
	return &unreachableTargets{expiry: make(map[peerTarget]timer.Instant), failures: make(map[string]int)}
}

func (u *unreachableTargets) contains(t peerTarget, now timer.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now < u.expiry[t]
}

func (u *unreachableTargets) add(t peerTarget, now timer.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.expiry) > maxUnreachableTargets {
		clear(u.expiry)
	}
	u.expiry[t] = now.Add(unreachableTTL)
	if t.vm == "" {
		u.failures[t.zone]++
	}
}

// routerIndex returns which of n routers of a zone to use. It advances with
// each failure.
func (u *unreachableTargets) routerIndex(zone string, n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.failures[zone] % n
}
