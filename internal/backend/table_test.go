package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func serverWithVersion(version int64) Server {
	return Server{ID: "e", Born: 1, Service: "s", Address: "1:1", Models: map[string]int64{"m": version}}
}

func onlyStatus(t *testing.T, table *Table, now time.Duration) Status {
	t.Helper()
	list := table.Statuses("s", now)
	require.Len(t, list, 1)
	return list[0]
}

func TestNewIncarnationResetsState(t *testing.T) {
	table := NewTable()
	require.True(t, table.Put(serverWithVersion(1)))
	table.Begin("e", 100)
	table.RecordFailure("e", 0)
	require.False(t, table.Put(serverWithVersion(1)))
	again := serverWithVersion(1)
	again.Born = 2
	require.True(t, table.Put(again))
	s := onlyStatus(t, table, 0)
	require.Zero(t, s.InFlight)
	require.False(t, s.InBackoff)
	// The end of a call on the former incarnation is ignored.
	table.End("e")
	require.Zero(t, onlyStatus(t, table, 0).InFlight)
}

func TestReloadLastsUntilVersionIsRunning(t *testing.T) {
	tests := []struct {
		name string
		do   func(*Table)
		at   time.Duration
		want bool
	}{
		{"announced", func(*Table) {}, 0, true},
		{"the list shows an older version", func(table *Table) { table.Put(serverWithVersion(2)) }, 0, true},
		{"the awaited version is observed", func(table *Table) { table.RaiseVersion("e", 1, "m", 3) }, 0, false},
		{"a former incarnation reports it", func(table *Table) { table.RaiseVersion("e", 0, "m", 3) }, 0, true},
		{"no report within the timeout", func(*Table) {}, reloadTimeout, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			table.Put(serverWithVersion(1))
			table.BeginReload("e", 1, "m", 3, 0)
			tt.do(table)
			require.Equal(t, tt.want, onlyStatus(t, table, tt.at).Reloading)
		})
	}
}

func TestReloadOfRunningVersionIsIgnored(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(3))
	table.BeginReload("e", 1, "m", 3, 0)
	require.False(t, onlyStatus(t, table, 0).Reloading)
}

func TestSetVersionAlsoLowers(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(3))
	table.SetVersion("e", 1, "m", 2)
	require.Equal(t, int64(2), table.Version("e", "m"))
}

func TestBackoffGrowsWithConsecutiveFailures(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(1))
	table.RecordFailure("e", 0)
	require.True(t, onlyStatus(t, table, minBackoff-1).InBackoff)
	require.False(t, onlyStatus(t, table, minBackoff).InBackoff)
	table.RecordFailure("e", 0)
	require.True(t, onlyStatus(t, table, minBackoff).InBackoff)
	for range 20 {
		table.RecordFailure("e", 0)
	}
	require.False(t, onlyStatus(t, table, maxBackoff).InBackoff)
	table.RecordSuccess("e", 0)
	require.False(t, onlyStatus(t, table, 0).InBackoff)
}

func TestPeerLoadsExpire(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(1))
	table.Begin("e", 10)
	table.SetPeerLoads("vm2", map[string]Load{"e": {Calls: 3, Pending: 50}}, 0)
	s := onlyStatus(t, table, 0)
	require.Equal(t, 4, s.Load)
	require.Equal(t, 60, s.Pending)
	require.Equal(t, 1, onlyStatus(t, table, peerLoadTTL).Load)
	table.SetPeerLoads("vm2", nil, 0)
	require.Equal(t, 1, onlyStatus(t, table, 0).Load)
}

// A server that may come back to the list must not be used beyond its time, however
// rarely expired servers are deleted.
func TestMissingServersExpire(t *testing.T) {
	const until = 3 * time.Second
	table := NewTable()
	listed := func(now time.Duration) bool {
		_, ok := table.Get("e", now)
		require.Equal(t, ok, len(table.Statuses("s", now)) == 1)
		return ok
	}
	table.Put(serverWithVersion(1))
	table.MarkMissing("e", until)
	require.Empty(t, table.ExpireMissing(until-1))
	require.True(t, listed(until-1))
	table.Put(serverWithVersion(1))
	require.True(t, listed(until), "listed again")
	require.Empty(t, table.ExpireMissing(9*time.Second), "listed again")
	table.MarkMissing("e", until)
	table.MarkMissing("e", until+time.Second)
	require.True(t, listed(until-1))
	require.False(t, listed(until))
	table.MarkMissing("e", until+time.Second)
	require.False(t, listed(until), "the first time counts")
	expired := table.ExpireMissing(until)
	require.Len(t, expired, 1)
	require.Equal(t, "e", expired[0].ID)
	require.False(t, listed(0))
}

// A server that has said that it leaves must not be used again before it has restarted,
// whatever its row says.
func TestServersThatSayThatTheyLeaveStayOut(t *testing.T) {
	const born = 7
	listed := serverWithVersion(1)
	listed.Born = born
	draining := func(table *Table) bool {
		s, ok := table.Get("e", 0)
		require.True(t, ok)
		require.Equal(t, s.Draining, onlyStatus(t, table, 0).Server.Draining)
		return s.Draining
	}
	table := NewTable()
	require.False(t, table.MarkLeaving("e", born), "not listed")
	table.Put(listed)
	require.False(t, table.MarkLeaving("e", born-1), "another incarnation")
	require.False(t, draining(table))
	require.True(t, table.MarkLeaving("e", born))
	require.False(t, table.MarkLeaving("e", born))
	require.True(t, draining(table))
	table.Put(listed)
	require.True(t, draining(table), "listed as ready")
	listed.Born++
	table.Put(listed)
	require.False(t, draining(table), "restarted")
}

func TestPeerFailures(t *testing.T) {
	const backoff = time.Second
	tests := []struct {
		name string
		do   func(*Table)
		at   time.Duration
		want bool
	}{
		{"reported", func(table *Table) { table.RecordPeerFailure("e", 1, 3, backoff, 0) }, backoff, true},
		{"for half as long again, and no more", func(table *Table) { table.RecordPeerFailure("e", 1, 3, backoff, 0) }, 3 * backoff / 2, false},
		{"a former incarnation", func(table *Table) { table.RecordPeerFailure("e", 0, 3, backoff, 0) }, 0, false},
		{"a recent answer to this VM", func(table *Table) {
			table.RecordSuccess("e", 1)
			table.RecordPeerFailure("e", 1, 3, backoff, localSuccessPrecedence)
		}, localSuccessPrecedence, false},
		{"an old answer to this VM", func(table *Table) {
			table.RecordSuccess("e", 1)
			table.RecordPeerFailure("e", 1, 3, backoff, 2*localSuccessPrecedence)
		}, 2 * localSuccessPrecedence, true},
		{"a later success on a peer", func(table *Table) {
			table.RecordPeerFailure("e", 1, 3, backoff, 0)
			table.RecordPeerSuccess("e", 1)
		}, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			table.Put(serverWithVersion(1))
			tt.do(table)
			require.Equal(t, tt.want, onlyStatus(t, table, tt.at).InBackoff)
		})
	}
}

func TestConsecutiveFailuresAreCountedAcrossVMs(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(1))
	table.RecordPeerFailure("e", 1, 3, time.Second, 0)
	failures, backoff := table.RecordFailure("e", 2*time.Second)
	require.Equal(t, 4, failures)
	require.Equal(t, 8*minBackoff, backoff)
	require.True(t, table.RecordSuccess("e", 0), "it had failed")
	require.False(t, table.RecordSuccess("e", 0))
}
