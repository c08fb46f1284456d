package gateway

import (
	"hash/maphash"
	"sync"
)

// maxRefusedCalls is how many refused calls are remembered.
const maxRefusedCalls = 4096

// refusedCalls remembers the IDs of the latest calls that a server refused, as hashes.
// It is safe for concurrent use.
type refusedCalls struct {
	seed maphash.Seed

	mu sync.Mutex // guards the fields below
	// ring holds the hashes in the order in which they came, next is the place of the
	// next one.
	ring []uint64
	next int
	// places has the newest place of each hash in ring.
	places map[uint64]int
}

func newRefusedCalls() *refusedCalls {
	return &refusedCalls{seed: maphash.MakeSeed(), places: make(map[uint64]int)}
}

func (r *refusedCalls) add(id string) {
	hash := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < maxRefusedCalls {
		r.ring = append(r.ring, 0)
	} else if old := r.ring[r.next]; r.places[old] == r.next {
		delete(r.places, old)
	}
	r.ring[r.next], r.places[hash] = hash, r.next
	r.next = (r.next + 1) % maxRefusedCalls
}

func (r *refusedCalls) contains(id string) bool {
	hash := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.places[hash]
	return ok
}
