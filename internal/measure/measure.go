// Package measure reads memory and traffic for benchmarks.
package measure

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
)

// ErrNoLoopbackCounters means that the system does not tell its loopback traffic.
var ErrNoLoopbackCounters = errors.New("measure: no counters of the loopback interface")

// HeapAllocAfterGC returns the bytes of heap in use after a collection.
func HeapAllocAfterGC() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// counterFile holds the counters of all interfaces on Linux.
const counterFile = "/proc/net/dev"

// LoopbackBytesReceived returns the bytes that the loopback interface has received
// since the system started, from all processes. It returns ErrNoLoopback,
// wrapped, where the system does not tell.
func LoopbackBytesReceived() (float64, error) {
	raw, err := os.ReadFile(counterFile)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNoLoopbackCounters, err)
	}
	for line := range strings.Lines(string(raw)) {
		name, counters, ok := strings.Cut(line, ":")
		fields := strings.Fields(counters)
		if !ok || strings.TrimSpace(name) != "lo" || len(fields) == 0 {
			continue
		}
		n, err := strconv.ParseFloat(fields[0], 64)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrNoLoopbackCounters, err)
		}
		return n, nil
	}
	return 0, ErrNoLoopbackCounters
}
