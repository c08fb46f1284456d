// Package fleet tracks the VMs of the system: the platform's list, which is
// eventually consistent, and the VM that holds each slot of its zone.
//
// A slot changes holder only on proof that the former holder no longer acts on
// it: the holder released the slot, the list has lacked the holder's VM for
// longer than the list can lag, or the operators declared the VM retired. A
// holder that is merely silent keeps its slot, since a VM that is partitioned
// or paused may still act on it.
package fleet
