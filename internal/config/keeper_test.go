package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
)

// lineage returns generations 0 to n and the changes that lead to them.
func lineage(t *testing.T, n int) ([]*Config, []Change) {
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

func TestKeeperNeverGoesBack(t *testing.T) {
	all, changes := lineage(t, 6)
	k := NewTracker()
	require.NoError(t, k.Apply(changes[0]))
	require.True(t, k.Install(all[4]))
	for _, older := range all[:5] {
		require.False(t, k.Install(older))
		require.Equal(t, uint64(4), k.Current().Generation())
	}
	for _, old := range changes[:4] {
		require.NoError(t, k.Apply(old), "a change in force already is no error")
		require.Equal(t, uint64(4), k.Current().Generation())
	}
	require.ErrorIs(t, k.Apply(changes[5]), ErrNotNextGeneration)
	foreign := changes[4]
	foreign.Delta = []byte(`{"set":{},"drop":{"teams":["0"]}}`)
	require.ErrorIs(t, k.Apply(foreign), ErrDigestMismatch)
	require.Equal(t, uint64(4), k.Current().Generation())
	require.NoError(t, k.Apply(changes[4]))
	require.Equal(t, all[5].Document(), k.Current().Document())
}

func TestKeeperFreshness(t *testing.T) {
	all, _ := lineage(t, 2)
	at := timer.Instant(time.Minute)
	k := NewTracker()
	k.Install(all[1])
	require.False(t, k.Fresh(at), "no proof yet")
	k.RecordProof(1, at)
	require.True(t, k.Fresh(at.Add(DefaultMaxProofAge)))
	require.False(t, k.Fresh(at.Add(DefaultMaxProofAge+1)))
	k.RecordProof(1, at.Add(-time.Second))
	require.True(t, k.Fresh(at.Add(DefaultMaxProofAge)), "an older proof takes nothing away")
	k.RecordProof(2, at)
	require.False(t, k.Fresh(at), "a generation known to be superseded is not fresh")
	k.Install(all[2])
	require.True(t, k.Fresh(at))
	k.RecordProof(1, at.Add(time.Hour))
	require.False(t, k.Fresh(at.Add(time.Hour)), "word of an old head proves nothing")
}

func TestSinceKeepsABoundedTail(t *testing.T) {
	all, changes := lineage(t, 5)
	k := NewTracker()
	k.Install(all[2])
	for _, ch := range changes[2:] {
		require.NoError(t, k.Apply(ch))
	}
	tail, whole := k.ChangesSince(3)
	require.True(t, whole)
	require.Equal(t, changes[3:], tail)
	_, whole = k.ChangesSince(1)
	require.False(t, whole)
	tail, whole = k.ChangesSince(9)
	require.True(t, whole)
	require.Empty(t, tail)
}
