// Package fleet knows the VMs of the system: the platform's lagging list, and
// which VM holds each slot of its zone.
//
// A slot changes hands only on proof: its holder released it, the list no
// longer shows the holder's VM and has not for longer than the list can lag,
// or the operators declared the VM retired. A silent holder keeps its slot,
// since a VM that is cut off or paused may still act on it.
package fleet
