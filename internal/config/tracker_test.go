package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
)

// newHistory returns generations 0 to n and the changes between them.
func newHistory(t *testing.T, n int) ([]*Config, []Change) {
	t.Helper()
	all := []*Config{Empty()}
	var changes []Change
	for i := range n {
		d := Delta{Set: Document{Teams: []Team{{Name: fmt.Sprint(i), Rate: 1, Burst: 1}}}}
		ch, err := NewChange(all[i], d, "token")
		require.NoError(t, err)
		next, err := all[i].Apply(ch)
		require.NoError(t, err)
		all, changes = append(all, next), append(changes, ch)
	}
	return all, changes
}

func TestTrackerNeverGoesBack(t *testing.T) {
	all, changes := newHistory(t, 6)
	tr := NewTracker()
	require.NoError(t, tr.Apply(changes[0]))
	require.True(t, tr.Install(all[4]))
	for _, older := range all[:5] {
		require.False(t, tr.Install(older))
		require.Equal(t, uint64(4), tr.Current().Generation())
	}
	for _, old := range changes[:4] {
		require.NoError(t, tr.Apply(old), "a change that is already applied is not an error")
		require.Equal(t, uint64(4), tr.Current().Generation())
	}
	require.ErrorIs(t, tr.Apply(changes[5]), ErrNotNextGeneration)
	foreign := changes[4]
	foreign.Delta = []byte(`{"set":{},"drop":{"teams":["0"]}}`)
	require.ErrorIs(t, tr.Apply(foreign), ErrDigestMismatch)
	require.Equal(t, uint64(4), tr.Current().Generation())
	require.NoError(t, tr.Apply(changes[4]))
	require.Equal(t, all[5].Document(), tr.Current().Document())
}

func TestTrackerFreshness(t *testing.T) {
	all, _ := newHistory(t, 2)
	at := timer.Instant(time.Minute)
	tr := NewTracker()
	tr.Install(all[1])
	require.False(t, tr.Fresh(at), "no proof yet")
	tr.RecordProof(1, at)
	require.True(t, tr.Fresh(at.Add(DefaultMaxProofAge)))
	require.False(t, tr.Fresh(at.Add(DefaultMaxProofAge+1)))
	tr.RecordProof(1, at.Add(-time.Second))
	require.True(t, tr.Fresh(at.Add(DefaultMaxProofAge)), "an older proof must not replace a newer one")
	tr.RecordProof(2, at)
	require.False(t, tr.Fresh(at), "a generation known to be superseded is not fresh")
	tr.Install(all[2])
	require.True(t, tr.Fresh(at))
	tr.RecordProof(1, at.Add(time.Hour))
	require.False(t, tr.Fresh(at.Add(time.Hour)), "a proof of an older head must not count")
}

func TestChangesSinceAfterInstall(t *testing.T) {
	all, changes := newHistory(t, 5)
	tr := NewTracker()
	tr.Install(all[2])
	for _, ch := range changes[2:] {
		require.NoError(t, tr.Apply(ch))
	}
	tail, whole := tr.ChangesSince(3)
	require.True(t, whole)
	require.Equal(t, changes[3:], tail)
	_, whole = tr.ChangesSince(1)
	require.False(t, whole)
	tail, whole = tr.ChangesSince(9)
	require.True(t, whole)
	require.Empty(t, tail)
}
