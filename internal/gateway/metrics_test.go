package gateway

import (
	"bytes"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each call is measured. A new sample for each of them was most of the garbage of a process,
// and more than the collector could keep up with when refused requests came in masses.
func TestMeasuringACallAllocatesLittle(t *testing.T) {
	const calls = 1000
	m := newGatewayMetrics()
	m.observeDuration("call_us", time.Millisecond)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		m.observeDuration("call_us", time.Millisecond)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, (after.TotalAlloc-before.TotalAlloc)/calls, uint64(512))
	var text bytes.Buffer
	m.write(&text)
	require.Contains(t, text.String(), "call_us_count 1001")
}
