// Package placement decides on which backend server a call runs, and from where the
// server fetches the cached parts of its prompt. The decisions depend on nothing but
// their arguments: there is no network, clock or goroutine, and random numbers come
// from the caller.
package placement
