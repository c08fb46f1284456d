// Package backend tracks the state of backend servers: their listings and
// incarnations, the model versions that they run, the calls in progress on them
// from all VMs, and the backoff of servers that failed.
package backend
