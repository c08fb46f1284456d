package engine

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
)

func TestFailingEnginesAreInBackoff(t *testing.T) {
	clock := &timer.ManualClock{}
	table := NewTable(clock)
	for n, want := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff} {
		table.RecordFailure("e")
		require.True(t, table.Status("e").InBackoff, "failure %d", n)
		clock.Advance(want)
		require.False(t, table.Status("e").InBackoff, "failure %d", n)
	}
	for range 20 {
		table.RecordFailure("e")
	}
	clock.Advance(maxBackoff)
	require.False(t, table.Status("e").InBackoff)
	table.RecordFailure("e")
	table.RecordSuccess("e")
	require.False(t, table.Status("e").InBackoff)
}

func TestObserve(t *testing.T) {
	clock := &timer.ManualClock{}
	table := NewTable(clock)
	require.False(t, table.Observe("e", Report{Incarnation: "one", Load: 5}))
	require.False(t, table.Observe("e", Report{Incarnation: "one", Load: 5}))
	require.True(t, table.Observe("e", Report{Incarnation: "two", Load: 5}))
	require.Equal(t, 5, table.Status("e").Load)
	clock.Advance(loadTTL)
	require.Zero(t, table.Status("e").Load, "an old report has expired")
	table.Begin("busy")
	table.RemoveExcept(map[string]bool{})
	require.Len(t, table.All(), 1, "only idle engines are removed")
	table.End("busy")
	table.RemoveExcept(map[string]bool{})
	require.Empty(t, table.All())
}

func TestConcurrentLoadsAreBounded(t *testing.T) {
	l := NewLoadScheduler()
	versions := map[string]string{}
	observations := func() []Observation {
		var out []Observation
		for i := range 5 {
			name := fmt.Sprint(i)
			out = append(out, Observation{Name: name, Version: versions[name], Reachable: true})
		}
		return out
	}
	require.Equal(t, []string{"0", "1"}, l.Plan(observations(), "v2", 0))
	require.Empty(t, l.Plan(observations(), "v2", 1))
	versions["0"] = "v2"
	require.Equal(t, []string{"2"}, l.Plan(observations(), "v2", 2))
	l.RecordRefusal("2")
	require.Equal(t, []string{"2"}, l.Plan(observations(), "v2", 3), "a refused order is sent again")
	late := timer.Instant(orderTimeout) + 4
	require.Equal(t, []string{"1", "2"}, l.Plan(observations(), "v2", late), "an order without effect is sent again")
	unknown := observations()
	for i := range unknown {
		unknown[i].Reachable = false
	}
	require.Empty(t, NewLoadScheduler().Plan(unknown, "v2", 0), "an unreachable engine is not ordered")
}
