package lease

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restorableStore is a Store that can come back from an older copy. Writes may be delayed.
type restorableStore struct {
	records    map[string]Record
	version    int64
	generation int64
	now        time.Duration
	vmClocks   []*time.Duration
	// delayed holds the writes that the store has not made yet, while delays is set.
	delays  bool
	delayed []func()
	// onRead is called with each read, before the response, unless it is nil.
	onRead func()
}

func newRestorableStore() *restorableStore {
	return &restorableStore{records: make(map[string]Record), generation: 1}
}

func (s *restorableStore) advance(d time.Duration) {
	s.now += d
	for _, vm := range s.vmClocks {
		*vm += d
	}
}

func (s *restorableStore) Read(_ context.Context, name string) (Record, error) {
	rec := s.records[name]
	if s.onRead != nil {
		s.onRead()
	}
	rec.Now, rec.Generation = s.now, s.generation
	return rec, nil
}

func (s *restorableStore) CompareAndSwap(_ context.Context, name string, value []byte, version int64) (Record, error) {
	write := func() bool {
		if s.records[name].Version != version {
			return false
		}
		s.version++
		s.records[name] = Record{Value: value, Version: s.version}
		return true
	}
	if s.delays {
		s.delayed = append(s.delayed, func() { write() })
		return Record{}, context.DeadlineExceeded
	}
	if !write() {
		return Record{}, ErrConflict
	}
	return Record{Version: s.version, Now: s.now, Generation: s.generation}, nil
}

// copy returns a function that makes the store come back as it is now.
func (s *restorableStore) copy() (restore func()) {
	records, version := maps.Clone(s.records), s.version
	return func() {
		s.records, s.version = maps.Clone(records), version
		s.generation++
	}
}

func (s *restorableStore) newLease(holder string) *Lease {
	clock := new(time.Duration)
	*clock = time.Duration(len(s.vmClocks)) * time.Hour
	s.vmClocks = append(s.vmClocks, clock)
	return New(s, "role", holder, timing, func() time.Duration { return *clock })
}

// acquire tries until the lease is held, for at most twice as long as any grant lasts.
func acquire(t *testing.T, s *restorableStore, l *Lease) (fence int64, waited time.Duration) {
	t.Helper()
	began := s.now
	for s.now-began < 2*(timing.TTL+timing.HandoverDelay) {
		if held, _ := l.AcquireOrRenew(context.Background()); held {
			fence, _ := l.Held()
			return fence, s.now - began
		}
		s.advance(10 * time.Millisecond)
	}
	t.Fatal("not acquired")
	return 0, 0
}

// The grant of the present holder may be lost with a restore: nobody may get the lease before
// it has run out, also a VM that has just started, and the holder must stop when it learns of
// the restore.
func TestNobodyGetsALeaseWhoseGrantMayBeLost(t *testing.T) {
	tests := []struct {
		name string
		// learns is set if the holder learns of the restore.
		learns bool
		// next returns the lease of another VM.
		next func(s *restorableStore, other *Lease) *Lease
	}{
		{"the holder does not know", false, func(_ *restorableStore, other *Lease) *Lease { return other }},
		{"the holder learns of it", true, func(_ *restorableStore, other *Lease) *Lease { return other }},
		{"a VM that starts then", false, func(s *restorableStore, _ *Lease) *Lease { return s.newLease("c") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newRestorableStore()
			a, b := s.newLease("a"), s.newLease("b")
			acquire(t, s, b)
			require.NoError(t, b.Release(context.Background()))
			s.advance(timing.HandoverDelay + time.Millisecond)
			restore := s.copy()
			first, _ := acquire(t, s, a)
			restore()
			if tt.learns {
				a.SetGeneration(s.generation)
				_, held := a.Held()
				require.False(t, held)
			}
			c := tt.next(s, b)
			var heldUntil time.Duration
			began := s.now
			for {
				if _, held := a.Held(); held {
					heldUntil = s.now
				}
				if held, _ := c.AcquireOrRenew(context.Background()); held {
					break
				}
				require.Less(t, s.now-began, 2*(timing.TTL+timing.HandoverDelay))
				s.advance(10 * time.Millisecond)
			}
			require.GreaterOrEqual(t, s.now-heldUntil, timing.HandoverDelay)
			require.GreaterOrEqual(t, s.now-began, timing.TTL+timing.HandoverDelay)
			second, _ := c.Held()
			require.Greater(t, second, first)
		})
	}
}

// Fencing tokens must rise through restores in a row, though the records of the last ones are
// lost.
func TestFencingTokensRiseThroughRestores(t *testing.T) {
	s := newRestorableStore()
	restore := s.copy()
	a, b := s.newLease("a"), s.newLease("b")
	last := int64(0)
	for i := range 6 {
		l := []*Lease{a, b}[i%2]
		for range 3 {
			fence, _ := acquire(t, s, l)
			require.Greater(t, fence, last)
			last = fence
			s.advance(timing.TTL)
		}
		restore()
		if i%3 == 0 {
			restore()
		}
	}
}

// A write that the store makes late, after a restore, must not change a grant of then, although
// versions are given out again.
func TestLateWriteOfAnEarlierGenerationChangesNoGrant(t *testing.T) {
	s := newRestorableStore()
	a, b := s.newLease("a"), s.newLease("b")
	acquire(t, s, a)
	s.advance(timing.TTL / 2)
	restore := s.copy()
	s.delays = true
	held, err := a.AcquireOrRenew(context.Background())
	require.Error(t, err)
	require.True(t, held, "until its end")
	s.delays = false
	restore()
	fence, _ := acquire(t, s, b)
	// The record of the earlier generation is at the expected version.
	for _, write := range s.delayed {
		write()
	}
	s.advance(timing.TTL / 2)
	still, err := b.AcquireOrRenew(context.Background())
	require.NoError(t, err)
	require.True(t, still)
	now, _ := b.Held()
	require.Equal(t, fence, now)
	held, _ = a.AcquireOrRenew(context.Background())
	require.False(t, held)
}

// A lease must not count as acquired if the store came back between the read and the write.
func TestGenerationThatRisesDuringACallGrantsNothing(t *testing.T) {
	s := newRestorableStore()
	a := s.newLease("a")
	acquire(t, s, a)
	s.advance(timing.TTL)
	restore := s.copy()
	s.onRead = func() {
		s.onRead = nil
		restore()
	}
	held, err := a.AcquireOrRenew(context.Background())
	require.ErrorIs(t, err, ErrGenerationChanged)
	require.False(t, held)
}

// A store that states no generation has one, and its leases are free from the start.
func TestStoreWithoutGenerations(t *testing.T) {
	s := newRestorableStore()
	s.generation = 0
	fence, waited := acquire(t, s, s.newLease("a"))
	require.Zero(t, waited)
	require.Equal(t, int64(1), fence)
	require.Contains(t, s.records, "role")
}
