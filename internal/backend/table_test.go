package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func engineAt(version int64) Server {
	return Server{ID: "e", Born: 1, Service: "s", Address: "1:1", Models: map[string]int64{"m": version}}
}

func only(t *testing.T, table *Table, now time.Duration) Status {
	t.Helper()
	list := table.Statuses("s", now)
	require.Len(t, list, 1)
	return list[0]
}

func TestNewIncarnationVoidsWhatWasKnown(t *testing.T) {
	table := NewTable()
	require.True(t, table.Put(engineAt(1)))
	table.Begin("e", 100)
	table.RecordFailure("e", 0)
	require.False(t, table.Put(engineAt(1)))
	again := engineAt(1)
	again.Born = 2
	require.True(t, table.Put(again))
	s := only(t, table, 0)
	require.Zero(t, s.InFlight)
	require.False(t, s.InBackoff)
	// The end of a call that the former incarnation had counts for nothing.
	table.End("e")
	require.Zero(t, only(t, table, 0).InFlight)
}

func TestReloadLastsUntilTheAwaitedVersion(t *testing.T) {
	tests := []struct {
		name string
		do   func(*Table)
		at   time.Duration
		want bool
	}{
		{"announced", func(*Table) {}, 0, true},
		{"the list shows an older version", func(table *Table) { table.Put(engineAt(2)) }, 0, true},
		{"the awaited version is learnt", func(table *Table) { table.RaiseVersion("e", 1, "m", 3) }, 0, false},
		{"a former incarnation says so", func(table *Table) { table.RaiseVersion("e", 0, "m", 3) }, 0, true},
		{"nothing was heard for long", func(*Table) {}, reloadLife, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			table.Put(engineAt(1))
			table.BeginReload("e", 1, "m", 3, 0)
			tt.do(table)
			require.Equal(t, tt.want, only(t, table, tt.at).Reloading)
		})
	}
}

func TestReloadOfAVersionThatRunsIsNothing(t *testing.T) {
	table := NewTable()
	table.Put(engineAt(3))
	table.BeginReload("e", 1, "m", 3, 0)
	require.False(t, only(t, table, 0).Reloading)
}

func TestCorrectAlsoLowersAVersion(t *testing.T) {
	table := NewTable()
	table.Put(engineAt(3))
	table.SetVersion("e", 1, "m", 2)
	require.Equal(t, int64(2), table.Version("e", "m"))
}

func TestRestGrowsWithFailuresInARow(t *testing.T) {
	table := NewTable()
	table.Put(engineAt(1))
	table.RecordFailure("e", 0)
	require.True(t, only(t, table, minimumRest-1).InBackoff)
	require.False(t, only(t, table, minimumRest).InBackoff)
	table.RecordFailure("e", 0)
	require.True(t, only(t, table, minimumRest).InBackoff)
	for range 20 {
		table.RecordFailure("e", 0)
	}
	require.False(t, only(t, table, maximumRest).InBackoff)
	table.RecordSuccess("e", 0)
	require.False(t, only(t, table, 0).InBackoff)
}

func TestPeerLoadsAreBelievedForAWhile(t *testing.T) {
	table := NewTable()
	table.Put(engineAt(1))
	table.Begin("e", 10)
	table.SetPeerLoads("vm2", map[string]Load{"e": {Calls: 3, Pending: 50}}, 0)
	s := only(t, table, 0)
	require.Equal(t, 4, s.Load)
	require.Equal(t, 60, s.Pending)
	require.Equal(t, 1, only(t, table, peerLife).Load)
	table.SetPeerLoads("vm2", nil, 0)
	require.Equal(t, 1, only(t, table, 0).Load)
}

func TestMissingServersExpire(t *testing.T) {
	table := NewTable()
	table.Put(engineAt(1))
	table.MarkMissing("e", time.Second)
	require.Empty(t, table.ExpireMissing(2*time.Second, 2*time.Second))
	table.Put(engineAt(1))
	require.Empty(t, table.ExpireMissing(9*time.Second, 2*time.Second), "it came back")
	table.MarkMissing("e", time.Second)
	require.Equal(t, []string{"e"}, table.ExpireMissing(3*time.Second, 2*time.Second))
	require.Empty(t, table.Statuses("s", 0))
}

func TestFailuresThatOthersTellOf(t *testing.T) {
	const rest = time.Second
	tests := []struct {
		name string
		do   func(*Table)
		at   time.Duration
		want bool
	}{
		{"told", func(table *Table) { table.RecordPeerFailure("e", 1, 3, rest, 0) }, rest, true},
		{"a little longer than there, and no more", func(table *Table) { table.RecordPeerFailure("e", 1, 3, rest, 0) }, 3 * rest / 2, false},
		{"a former incarnation", func(table *Table) { table.RecordPeerFailure("e", 0, 3, rest, 0) }, 0, false},
		{"it has just answered here", func(table *Table) {
			table.RecordSuccess("e", 1)
			table.RecordPeerFailure("e", 1, 3, rest, trusted)
		}, trusted, false},
		{"it answered here a while ago", func(table *Table) {
			table.RecordSuccess("e", 1)
			table.RecordPeerFailure("e", 1, 3, rest, 2*trusted)
		}, 2 * trusted, true},
		{"it answers others again", func(table *Table) {
			table.RecordPeerFailure("e", 1, 3, rest, 0)
			table.RecordPeerSuccess("e", 1)
		}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			table.Put(engineAt(1))
			tt.do(table)
			require.Equal(t, tt.want, only(t, table, tt.at).InBackoff)
		})
	}
}

func TestARowOfFailuresIsOneForAllVMs(t *testing.T) {
	table := NewTable()
	table.Put(engineAt(1))
	table.RecordPeerFailure("e", 1, 3, time.Second, 0)
	failures, rest := table.RecordFailure("e", 2*time.Second)
	require.Equal(t, 4, failures)
	require.Equal(t, 8*minimumRest, rest)
	require.True(t, table.RecordSuccess("e", 0), "it had failed")
	require.False(t, table.RecordSuccess("e", 0))
}
