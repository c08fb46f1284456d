package event

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Clients must not fill the log, and no occurrence may be missing in the numbers.
func TestSampler(t *testing.T) {
	var s Sampler
	start := time.Now()
	require.Equal(t, 1, s.Count("a", start))
	for range 5 {
		require.Zero(t, s.Count("a", start.Add(samplePeriod-1)))
	}
	require.Equal(t, 1, s.Count("b", start.Add(time.Second)))
	require.Equal(t, 6, s.Count("a", start.Add(samplePeriod)))
}
