// Package measure reads heap size and loopback traffic for benchmarks.
package measure

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
)

// ErrNoLoopbackCounters means that the system has no readable traffic counters for
// the loopback interface.
var ErrNoLoopbackCounters = errors.New("measure: no counters for the loopback interface")

// HeapAllocAfterGC runs a garbage collection and returns the bytes of allocated heap
// objects.
func HeapAllocAfterGC() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// netDevFile has the traffic counters of all network interfaces on Linux.
const netDevFile = "/proc/net/dev"

// LoopbackBytesReceived returns the bytes that the loopback interface has received
// since the system started, from all processes. It returns
// ErrNoLoopbackCounters, wrapped, if the counters cannot be read.
func LoopbackBytesReceived() (float64, error) {
	raw, err := os.ReadFile(netDevFile)
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
