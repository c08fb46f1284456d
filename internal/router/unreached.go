package router

import (
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// unreachedFor is how long a target that did not answer is passed over.
const unreachedFor = 500 * time.Millisecond

// unreachedLimit bounds the targets remembered.
const unreachedLimit = 4096

// target is what may not answer: the holders of a slot in a zone, one VM as
// the holder of a slot, or a VM.
type target struct {
	zone string
	slot team.Slot
	vm   string
}

func vmTarget(vm string) target { return target{vm: vm} }

// unreached remembers which targets did not answer lately. It is bounded by
// forgetting all of them when it is full.
type unreached struct {
	mu    sync.Mutex // guards the fields below
	until map[target]timer.Instant
	// turns counts the failures in each zone, to ask another router next.
	turns map[string]int
}

func newUnreached() *unreached {
	return &unreached{until: make(map[target]timer.Instant), turns: make(map[string]int)}
}

func (u *unreached) recently(t target, now timer.Instant) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now < u.until[t]
}

func (u *unreached) mark(t target, now timer.Instant) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.until) > unreachedLimit {
		clear(u.until)
	}
	u.until[t] = now.Add(unreachedFor)
	if t.vm == "" {
		u.turns[t.zone]++
	}
}

// turn returns which of n routers of a zone to ask; it moves on after each
// failure.
func (u *unreached) turn(zone string, n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.turns[zone] % n
}
