package admission

import (
	"slices"
	"time"
)

const (
	// earlyReturn is the share of its Retry-After after which a call counts as returned.
	earlyReturn = 0.8
	// returnGrace is how much later than its Retry-After a call may return.
	returnGrace = 2 * time.Second
	// maxPromises bounds the promises to the callers of one team and route.
	maxPromises = 256
)

// promiseKey names the callers that cannot be told apart: each call has an ID of its own.
type promiseKey struct{ team, route string }

// promise is the time in which one caller that was refused is expected.
type promise struct{ from, until time.Duration }

// promises holds, by team and route, what was promised to refused callers, by the time
// from which on they are expected.
type promises map[promiseKey][]promise

// add promises a caller that it will come before newcomers if it returns after a time.
func (p promises) add(key promiseKey, now, after time.Duration) {
	list := p.pending(key, now)
	if len(list) >= maxPromises {
		return
	}
	x := promise{from: now + time.Duration(earlyReturn*float64(after)), until: now + after + returnGrace}
	i, _ := slices.BinarySearchFunc(list, x, func(a, b promise) int { return int(a.from - b.from) })
	p[key] = slices.Insert(list, i, x)
}

// take uses up a promise and reports whether there was one.
func (p promises) take(key promiseKey, now time.Duration) bool {
	list := p.pending(key, now)
	if len(list) == 0 || list[0].from > now {
		return false
	}
	if p[key] = slices.Delete(list, 0, 1); len(list) == 1 {
		delete(p, key)
	}
	return true
}

// pending removes the promises that have lapsed and returns the others.
func (p promises) pending(key promiseKey, now time.Duration) []promise {
	list := slices.DeleteFunc(p[key], func(x promise) bool { return now >= x.until })
	if len(list) == 0 {
		delete(p, key)
		return nil
	}
	p[key] = list
	return list
}
