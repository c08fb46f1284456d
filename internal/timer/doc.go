// Package timer is the router's source of time.
//
// Packages that implement decisions take instants as arguments and never read a
// clock. The packages that do I/O subscribe to a Clock for periodic calls and for
// notice of pauses: a process that was stopped and continued sees a gap between
// ticks, and must confirm that its state is current before it admits work again.
package timer
