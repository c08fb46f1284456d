package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Addresses are drawn before any of them is bound, so a repeated one fails the second
// listener.
func TestFreeAddressesAreDistinct(t *testing.T) {
	const draws = 2000
	seen := make(map[string]bool, draws)
	for range draws {
		address := FreeAddress(t)
		require.False(t, seen[address], address)
		seen[address] = true
	}
}

// Tests of other packages run in other processes at the same time.
func TestProcessesHaveAddressesOfTheirOwn(t *testing.T) {
	tests := []struct{ one, other int }{{1, 2}, {255, 256}, {256, 65792}, {65535, 65536}, {4194303, 4194304}}
	for _, tt := range tests {
		require.NotEqual(t, processIP(tt.one), processIP(tt.other))
		for _, pid := range []int{tt.one, tt.other} {
			require.True(t, net.ParseIP(processIP(pid)).IsLoopback(), pid)
		}
	}
}
