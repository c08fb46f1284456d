// Package admission decides in which order the calls of a service wait for capacity,
// which of them are refused instead, and when refused callers may return. A Queue holds
// the calls that no engine can take now, on one VM. The decisions depend on nothing but
// what a Queue is told: there is no network, clock or goroutine, and random numbers come
// from the caller.
//
// Calls are ordered by priority, then those that can still meet their latency goal come
// before those that cannot, then teams share by tokens (start-time fair queueing), and
// the calls of a team follow by the time at which they must begin to meet their goal.
// One of agedShare calls that begin is the one that has waited longest, so that nothing
// starves.
//
// A call is refused at once if the rate at which calls of the service began recently
// says that it will not begin in time, or if the queue is full and it is the last one.
package admission
