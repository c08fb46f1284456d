// Package timer is the one source of time for the router.
//
// Decision packages take instants as arguments and never read a clock.
// Edges subscribe to a Service for periodic work and for notice of pauses:
// a process that was stopped and continued sees a gap between ticks and must
// prove its state fresh before it admits work again.
package timer
