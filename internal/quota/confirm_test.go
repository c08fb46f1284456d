package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A state must not be confirmed before the leaders of all zones that are heard have it.
func TestStatesAreConfirmedOnceAllZonesHaveThem(t *testing.T) {
	leader, member := NewConfirmations("a", 7), NewConfirmations("b", 9)
	member.RecordSent(5, time.Second)
	states := map[string]uint64{"b": 5}
	leader.RecordSent(20, time.Second)
	leader.RecordDigest(20, states)
	step := func(now time.Duration, wantConfirmed bool) {
		t.Helper()
		confirmed, _ := leader.Confirmed(states, now)
		at, ok := member.SentAt(EncodeConfirmed(confirmed, func(string) uint64 { return 9 }))
		require.Equal(t, wantConfirmed, ok)
		if ok {
			require.Equal(t, time.Second, at)
		}
	}
	now := 2 * time.Second
	step(now, true) // No other zone is known.
	heard := func(zone string, sequence uint64) {
		leader.RecordHeard(zone, Heard{VM: zone + "-leader", Epoch: 1, Sequence: 3}, []Heard{{VM: "a", Epoch: 7, Sequence: sequence}}, now)
	}
	heard("x", 20)
	heard("y", 19)
	step(now, false)
	heard("y", 20)
	step(now, true)
	// An acknowledgment of the VM's former process confirms nothing.
	leader.RecordHeard("z", Heard{VM: "c", Epoch: 1, Sequence: 3}, []Heard{{VM: "a", Epoch: 6, Sequence: 30}}, now)
	step(now, false)
	// A silent zone is left out, and so is one of a release that does not acknowledge.
	now += silenceTimeout + time.Millisecond
	heard("x", 20)
	heard("y", 20)
	step(now, true)
	leader.RecordHeard("z", Heard{VM: "c", Epoch: 1, Sequence: 4}, nil, now)
	step(now, true)
	require.Len(t, leader.Heard(), 3)

	// A message for another process of the VM does not confirm.
	_, ok := NewConfirmations("b", 10).SentAt(EncodeConfirmed(states, func(string) uint64 { return 9 }))
	require.False(t, ok)
}
