// Package lease gives one VM at a time an exclusive role, by means of a record in
// a store that supports compare and swap.
//
// The holder measures its lease from before it sent the renewal, by a clock that
// continues while the VM is suspended. The record holds the end of the lease in
// the store's own time. Clocks of different VMs are therefore never compared.
package lease
