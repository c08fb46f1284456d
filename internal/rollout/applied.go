package rollout

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Applied is the newest grant that a VM has for one service. The zero value has none. It is
// not safe for concurrent use.
type Applied struct {
	grant Grant
	known bool
	// at is when the message arrived that first carried the grant.
	at time.Duration
	// deadline is the earliest deadline that any grant of this order and owner implied. A
	// grant arrives late by its transit time, so the earliest is the most precise.
	deadline time.Duration
}

// Update takes in a grant that arrived at the time now and reports whether it is newer than
// the one before.
func (a *Applied) Update(g Grant, now time.Duration) bool {
	if a.known && !g.Newer(a.grant) {
		return false
	}
	if !a.known || g.Revision != a.grant.Revision || g.Fence != a.grant.Fence {
		// Another owner may take another time for the start of the order.
		a.deadline = math.MaxInt64
	}
	if g.Left > 0 {
		a.deadline = min(a.deadline, now+g.Left)
	}
	a.grant, a.known, a.at = g, true, now
	return true
}

// Grant returns the newest grant and whether there is one.
func (a *Applied) Grant() (Grant, bool) { return a.grant, a.known }

// Expired reports whether the grant is of a running rollout and has not been renewed for
// GrantTTL. It is false if there is no grant.
func (a *Applied) Expired(now time.Duration) bool {
	return a.known && a.grant.State == Running && now-a.at >= GrantTTL
}

// Share returns the part of the calls that go to the new version at the time now. Without a
// grant, and with one that has expired, it is 0.
func (a *Applied) Share(now time.Duration) float64 {
	switch {
	case !a.known || a.grant.State == RolledBack:
		return 0
	case a.grant.State == Done:
		return 1
	case a.Expired(now):
		return 0
	}
	if left := a.deadline - now; a.deadline < math.MaxInt64 &&
		(left <= a.grant.Last && a.grant.Last > 0 || left <= a.grant.Probe && left > a.grant.ProbeEnd) {
		return 1
	}
	return a.grant.Share
}

// RequestHash returns the hash of a request's ID for ToNew.
func RequestHash(id string) uint64 { return xxhash.Sum64String(id) }

// ToNew reports whether the request with this hash goes to the new version. A request that
// goes there at some share also does at every larger one.
func ToNew(share float64, hash uint64) bool {
	// The hash is mixed because other choices may be made by the same hash.
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return float64(hash>>11)/(1<<53) < share
}
