// Package rollout decides how much of a service's traffic goes to a new software version
// of its servers while an operator's rollout is running, and when it is done or rolled
// back. The decisions depend on nothing but their arguments: there is no network, clock or
// goroutine.
package rollout
