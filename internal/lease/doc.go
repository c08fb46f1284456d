// Package lease gives one VM at a time an exclusive role, by means of a record in
// a store that supports compare and swap.
//
// The holder counts the time to live from just before it sends a request to acquire
// or renew the lease, on a clock that keeps running while the VM is suspended. The
// record holds the end of the lease in the store's own time. Clocks of different
// VMs are therefore never compared.
package lease
