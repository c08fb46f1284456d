// Package weights brings engines to the versions of models that are named. One
// VM at a time, by a lease, orders engines to load: a few at once, announced to
// the other VMs first, the idlest first, and never a version that has been
// superseded.
package weights
