package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
	"github.com/stretchr/testify/require"
)

// Quarantines that were written may be lost with a restore of the store, also by a write that
// was in progress.
func TestQuarantinesAreWrittenAgainAfterARestore(t *testing.T) {
	isOwner := func() bool { return true }
	current := map[string]savedQuarantine{"part": {hold: 20 * time.Second}}
	var r quarantineRecord
	require.True(t, r.begin(current, 0, isOwner))
	r.end(current, nil, 0)
	require.False(t, r.begin(current, 0, isOwner), "written")
	r.reset()
	require.True(t, r.begin(current, 0, isOwner))
	r.reset()
	r.end(current, nil, 0)
	require.True(t, r.begin(current, 0, isOwner), "the write in progress may be lost")
	r.end(current, nil, 0)
	require.False(t, r.begin(current, 0, isOwner))
}

// The versions of rows fall with a restore: a new rollout order must not be ignored for that,
// and one that is written again must not start again.
func TestRolloutOrdersAfterARestore(t *testing.T) {
	r := newRollouts(Settings{Bounds: Bounds{Exposure: &ExposureBounds{Share: 0.1}}})
	order := func(generation, version int64, to string) rollout.Order {
		return rollout.Order{Service: "s", To: to, Duration: time.Minute, Revision: orderRevision(feed.Row{Generation: generation, Version: version})}
	}
	tests := []struct {
		name  string
		order rollout.Order
		want  bool
	}{
		{"first", order(1, 900, "v2"), true},
		{"read again", order(1, 900, "v2"), false},
		{"the same again after a restore", order(2, 40, "v2"), false},
		{"another one after a restore", order(2, 41, "v3"), true},
		{"the same once more, of the same generation", order(2, 50, "v3"), true},
		{"of the generation before", order(1, 1000, "v4"), false},
	}
	for _, tt := range tests {
		require.Equal(t, tt.want, r.setOrder("row", tt.order, 0), tt.name)
	}
}

// A VM that starts after a restore reads orders of before it with a revision of the new
// generation: a rollout that has ended must not start again for that.
func TestRecordOfARolloutIsThatOfTheOrderBeforeARestore(t *testing.T) {
	revision := func(generation, version int64) int64 {
		return orderRevision(feed.Row{Generation: generation, Version: version})
	}
	tests := []struct {
		name     string
		revision int64
		record   rolloutRecord
		ended    bool
	}{
		{"row in the copy", revision(2, 30), rolloutRecord{Revision: revision(1, 30), To: "v2", State: rollout.Done, Reported: true}, true},
		{"row written again", revision(2, 44), rolloutRecord{Revision: revision(1, 30), To: "v2", State: rollout.RolledBack, Reported: true}, true},
		{"another order", revision(2, 44), rolloutRecord{Revision: revision(1, 30), To: "v1", State: rollout.Done, Reported: true}, false},
		{"another order of the same generation", revision(2, 44), rolloutRecord{Revision: revision(2, 30), To: "v2", State: rollout.Done, Reported: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRollouts(Settings{Bounds: Bounds{Exposure: &ExposureBounds{Share: 0.1}}})
			require.True(t, r.setOrder("row", rollout.Order{Service: "s", To: "v2", Duration: time.Minute, Revision: tt.revision}, 0))
			require.Equal(t, tt.ended, r.applyRecord("s", tt.record))
			require.Equal(t, !tt.ended, len(r.unended()) == 1)
		})
	}
}

// What is remembered of servers that are gone must be bounded, and only the incarnations that
// are gone kept back, for a time.
func TestGoneServersAreKeptBack(t *testing.T) {
	var m serverMemory
	row := feed.Row{Key: "a", Version: 3, Restored: true}
	m.recordGone("a", 7, time.Second)
	require.False(t, m.hold(row, backend.Server{ID: "a", Born: 8}, 2*time.Second), "a new incarnation")
	require.False(t, m.hold(row, backend.Server{ID: "b", Born: 7}, 2*time.Second), "another server")
	require.False(t, m.hold(row, backend.Server{ID: "a", Born: 7}, 2*time.Second+goneMemory), "long ago")
	require.True(t, m.hold(row, backend.Server{ID: "a", Born: 7}, 2*time.Second))
	require.Empty(t, m.release(2*time.Second+restoredGoneHold-1))
	require.Equal(t, []feed.Row{row}, m.release(2*time.Second+restoredGoneHold))
	require.Empty(t, m.release(time.Hour), "once")
	require.True(t, m.hold(row, backend.Server{ID: "a", Born: 7}, 2*time.Second))
	m.drop("a")
	require.Empty(t, m.release(time.Hour), "a newer row has come")
	for i := range 3 * maxGone {
		m.recordGone(fmt.Sprint(i), 1, time.Duration(i)*time.Millisecond)
	}
	require.LessOrEqual(t, len(m.gone), maxGone)
	require.True(t, m.hold(row, backend.Server{ID: fmt.Sprint(3*maxGone - 1), Born: 1}, 4*time.Second), "the last ones")
}

// A generation that has been known for some time must not delay the first proof of a process
// that starts, and one that has just risen must.
func TestProofsAfterARestore(t *testing.T) {
	const start = 10 * time.Second
	t.Run("the process starts", func(t *testing.T) {
		var s restores
		first, risen := s.set(3, start)
		require.True(t, first && !risen)
		require.False(t, s.mayConfirm(start))
		require.Equal(t, start, s.setAge(3, restoreGrace+time.Second, start+time.Millisecond), "the response that was held back")
		require.True(t, s.mayConfirm(start))
	})
	t.Run("the process starts soon after a restore", func(t *testing.T) {
		var s restores
		s.set(3, start)
		require.False(t, s.mayConfirm(start))
		require.Zero(t, s.setAge(3, restoreGrace/2, start))
		require.False(t, s.mayConfirm(start+restoreGrace/2-1))
		require.True(t, s.mayConfirm(start+restoreGrace/2))
	})
	t.Run("the generation rises", func(t *testing.T) {
		var s restores
		s.set(3, 0)
		require.True(t, s.mayConfirm(start))
		first, risen := s.set(4, start)
		require.True(t, !first && risen)
		require.Zero(t, s.setAge(3, time.Hour, start), "the age of the generation before")
		require.False(t, s.mayConfirm(start+restoreGrace-1))
		require.True(t, s.mayConfirm(start+restoreGrace))
		require.Equal(t, restoreGrace, s.confirm(start+restoreGrace))
		require.Zero(t, s.confirm(start+restoreGrace), "once")
	})
	t.Run("the store states no generation", func(t *testing.T) {
		var s restores
		s.set(0, start)
		require.True(t, s.mayConfirm(start))
	})
}
