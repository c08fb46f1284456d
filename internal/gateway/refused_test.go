package gateway

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRefusedCallsHoldsTheLatest(t *testing.T) {
	r := newRefusedCalls()
	require.False(t, r.contains("0"))
	for i := range 3 * maxRefusedCalls {
		r.add(strconv.Itoa(i))
		r.add("often")
	}
	last := 3*maxRefusedCalls - 1
	require.True(t, r.contains("often"))
	require.True(t, r.contains(strconv.Itoa(last)))
	require.True(t, r.contains(strconv.Itoa(last-maxRefusedCalls/2+1)))
	require.False(t, r.contains(strconv.Itoa(last-maxRefusedCalls/2)))
	require.LessOrEqual(t, len(r.places), maxRefusedCalls)
	require.Len(t, r.ring, maxRefusedCalls)
}
