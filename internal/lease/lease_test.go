package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeStore is a store of one record whose clock and faults are set by the test.
type fakeStore struct {
	rec  Record
	now  time.Duration
	down bool
	// lose makes the next replacement take effect without a reply.
	lose bool
	// slow is how long a reply takes.
	slow time.Duration
	vms  []*time.Duration
}

func (m *fakeStore) advance(d time.Duration) {
	m.now += d
	for _, vm := range m.vms {
		*vm += d
	}
}

func (m *fakeStore) Read(context.Context, string) (Record, error) {
	if m.down {
		return Record{}, errors.New("down")
	}
	rec := m.rec
	rec.Now = m.now
	m.advance(m.slow)
	return rec, nil
}

func (m *fakeStore) CompareAndSwap(_ context.Context, _ string, value []byte, version int64) (Record, error) {
	if m.down {
		return Record{}, errors.New("down")
	}
	if m.rec.Version != version {
		return Record{}, ErrConflict
	}
	m.rec = Record{Value: value, Version: version + 1}
	m.advance(m.slow)
	if m.lose {
		m.lose = false
		return Record{}, errors.New("lost")
	}
	return Record{Version: m.rec.Version, Now: m.now}, nil
}

var timing = Timing{TTL: 2 * time.Second, ExpiryMargin: 500 * time.Millisecond, HandoverDelay: 3 * time.Second}

func newLease(m *fakeStore, name string) *Lease {
	clock := new(time.Duration)
	// Clocks of VMs have no common origin.
	*clock = time.Duration(len(m.vms)) * time.Hour
	m.vms = append(m.vms, clock)
	return New(m, "duty", name, timing, func() time.Duration { return *clock })
}

func acquireOrRenew(t *testing.T, l *Lease) bool {
	t.Helper()
	held, err := l.AcquireOrRenew(context.Background())
	require.NoError(t, err)
	return held
}

func TestOneHolderAtATime(t *testing.T) {
	m := &fakeStore{}
	a, b := newLease(m, "a"), newLease(m, "b")
	require.True(t, acquireOrRenew(t, a))
	require.False(t, acquireOrRenew(t, b))
	first, _ := a.Held()

	m.advance(timing.TTL)
	_, held := a.Held()
	require.False(t, held, "the lease has expired")
	require.False(t, acquireOrRenew(t, b), "the handover delay has not passed")
	m.advance(timing.HandoverDelay - time.Millisecond)
	require.False(t, acquireOrRenew(t, b))
	m.advance(2 * time.Millisecond)
	require.True(t, acquireOrRenew(t, b))
	second, _ := b.Held()
	require.Greater(t, second, first)
	require.False(t, acquireOrRenew(t, a))
}

func TestTheSameVMNeedsNoPause(t *testing.T) {
	m := &fakeStore{}
	a := newLease(m, "a")
	require.True(t, acquireOrRenew(t, a))
	first, _ := a.Held()
	m.advance(timing.TTL)
	require.True(t, acquireOrRenew(t, a))
	again, _ := a.Held()
	require.Greater(t, again, first)

	restarted := newLease(m, "a")
	require.True(t, acquireOrRenew(t, restarted))
	third, _ := restarted.Held()
	require.Greater(t, third, again)
}

func TestRenewalKeepsTheFence(t *testing.T) {
	m := &fakeStore{}
	a := newLease(m, "a")
	require.True(t, acquireOrRenew(t, a))
	first, _ := a.Held()
	m.advance(time.Second)
	require.True(t, acquireOrRenew(t, a))
	m.advance(time.Second)
	fence, held := a.Held()
	require.True(t, held)
	require.Equal(t, first, fence)
}

// A holder must stop acting before the end that other VMs read in the record,
// however slow the store is.
func TestSlowAnswersDoNotStretchALease(t *testing.T) {
	m := &fakeStore{slow: 700 * time.Millisecond}
	a, b := newLease(m, "a"), newLease(m, "b")
	require.True(t, acquireOrRenew(t, a))
	until := m.now
	for {
		if _, held := a.Held(); !held {
			break
		}
		m.advance(10 * time.Millisecond)
		until = m.now
	}
	require.LessOrEqual(t, until, timing.TTL-timing.ExpiryMargin+10*time.Millisecond)
	m.advance(timing.TTL + timing.HandoverDelay)
	require.True(t, acquireOrRenew(t, b))
}

func TestALostAnswerGivesNothing(t *testing.T) {
	m := &fakeStore{lose: true}
	a, b := newLease(m, "a"), newLease(m, "b")
	held, err := a.AcquireOrRenew(context.Background())
	require.Error(t, err)
	require.False(t, held)
	require.False(t, acquireOrRenew(t, b), "the record names a as holder")
	m.advance(timing.TTL / 4)
	require.True(t, acquireOrRenew(t, a), "the record already names a as holder")
}

// hangingStore is a store that never replies.
type hangingStore struct{}

func (hangingStore) Read(ctx context.Context, _ string) (Record, error) {
	<-ctx.Done()
	return Record{}, ctx.Err()
}

func (hangingStore) CompareAndSwap(ctx context.Context, _ string, _ []byte, _ int64) (Record, error) {
	<-ctx.Done()
	return Record{}, ctx.Err()
}

// A store that never replies must not block the caller, or the shutdown of the
// process, forever.
func TestASilentStoreHoldsNobody(t *testing.T) {
	began := time.Now()
	brief := Timing{TTL: 100 * time.Millisecond, ExpiryMargin: 10 * time.Millisecond, HandoverDelay: time.Second}
	l := New(hangingStore{}, "duty", "a", brief, func() time.Duration { return time.Since(began) })
	go func() { _, _ = l.AcquireOrRenew(context.Background()) }()
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, l.Release(context.Background()))
	_, err := l.AcquireOrRenew(context.Background())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(began), 2*time.Second)
}

func TestReleaseLeavesThePauseOnly(t *testing.T) {
	m := &fakeStore{}
	a, b := newLease(m, "a"), newLease(m, "b")
	require.True(t, acquireOrRenew(t, a))
	require.NoError(t, a.Release(context.Background()))
	_, held := a.Held()
	require.False(t, held)
	require.False(t, acquireOrRenew(t, b))
	m.advance(timing.HandoverDelay)
	require.True(t, acquireOrRenew(t, b))
}

func TestAnUnreadableRecordBindsNobodyForLong(t *testing.T) {
	m := &fakeStore{rec: Record{Value: []byte("{"), Version: 7}}
	a := newLease(m, "a")
	require.False(t, acquireOrRenew(t, a))
	m.advance(timing.TTL + timing.HandoverDelay)
	require.True(t, acquireOrRenew(t, a))
	fence, _ := a.Held()
	require.Equal(t, int64(8), fence)
}
