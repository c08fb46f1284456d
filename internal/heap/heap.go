// Package heap measures memory for benchmarks.
package heap

import "runtime"

// InUse returns the bytes of heap in use after a collection.
func InUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
