// Package lease grants one VM at a time a duty, by a record in a store that
// can be replaced under a condition. A lease is aged from before its renewal
// was sent, by a clock that counts suspension, and its end stands in the
// record in the store's own time, so that no clocks of VMs are compared.
package lease
