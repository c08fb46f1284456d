package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memory is a store of one record whose clock and faults the test drives.
type memory struct {
	rec  Record
	now  time.Duration
	down bool
	// lose makes the next replacement take effect without an answer.
	lose bool
	// slow is how long an answer takes.
	slow time.Duration
	vms  []*time.Duration
}

func (m *memory) pass(d time.Duration) {
	m.now += d
	for _, vm := range m.vms {
		*vm += d
	}
}

func (m *memory) Read(context.Context, string) (Record, error) {
	if m.down {
		return Record{}, errors.New("down")
	}
	rec := m.rec
	rec.Now = m.now
	m.pass(m.slow)
	return rec, nil
}

func (m *memory) CompareAndSwap(_ context.Context, _ string, value []byte, version int64) (Record, error) {
	if m.down {
		return Record{}, errors.New("down")
	}
	if m.rec.Version != version {
		return Record{}, ErrConflict
	}
	m.rec = Record{Value: value, Version: version + 1}
	m.pass(m.slow)
	if m.lose {
		m.lose = false
		return Record{}, errors.New("lost")
	}
	return Record{Version: m.rec.Version, Now: m.now}, nil
}

var times = Timing{TTL: 2 * time.Second, ExpiryMargin: 500 * time.Millisecond, HandoverDelay: 3 * time.Second}

func vm(m *memory, name string) *Lease {
	clock := new(time.Duration)
	// Clocks of VMs have no common origin.
	*clock = time.Duration(len(m.vms)) * time.Hour
	m.vms = append(m.vms, clock)
	return New(m, "duty", name, times, func() time.Duration { return *clock })
}

func keep(t *testing.T, l *Lease) bool {
	t.Helper()
	held, err := l.Keep(context.Background())
	require.NoError(t, err)
	return held
}

func TestOneHolderAtATime(t *testing.T) {
	m := &memory{}
	a, b := vm(m, "a"), vm(m, "b")
	require.True(t, keep(t, a))
	require.False(t, keep(t, b))
	first, _ := a.Held()

	m.pass(times.TTL)
	_, held := a.Held()
	require.False(t, held, "it lapsed")
	require.False(t, keep(t, b), "the pause between holders is not over")
	m.pass(times.HandoverDelay - time.Millisecond)
	require.False(t, keep(t, b))
	m.pass(2 * time.Millisecond)
	require.True(t, keep(t, b))
	second, _ := b.Held()
	require.Greater(t, second, first)
	require.False(t, keep(t, a))
}

func TestTheSameVMNeedsNoPause(t *testing.T) {
	m := &memory{}
	a := vm(m, "a")
	require.True(t, keep(t, a))
	first, _ := a.Held()
	m.pass(times.TTL)
	require.True(t, keep(t, a))
	again, _ := a.Held()
	require.Greater(t, again, first)

	restarted := vm(m, "a")
	require.True(t, keep(t, restarted))
	third, _ := restarted.Held()
	require.Greater(t, third, again)
}

func TestRenewalKeepsTheFence(t *testing.T) {
	m := &memory{}
	a := vm(m, "a")
	require.True(t, keep(t, a))
	first, _ := a.Held()
	m.pass(time.Second)
	require.True(t, keep(t, a))
	m.pass(time.Second)
	fence, held := a.Held()
	require.True(t, held)
	require.Equal(t, first, fence)
}

// A holder's own end comes before the end that others read, however slow the store is.
func TestSlowAnswersDoNotStretchALease(t *testing.T) {
	m := &memory{slow: 700 * time.Millisecond}
	a, b := vm(m, "a"), vm(m, "b")
	require.True(t, keep(t, a))
	until := m.now
	for {
		if _, held := a.Held(); !held {
			break
		}
		m.pass(10 * time.Millisecond)
		until = m.now
	}
	require.LessOrEqual(t, until, times.TTL-times.ExpiryMargin+10*time.Millisecond)
	m.pass(times.TTL + times.HandoverDelay)
	require.True(t, keep(t, b))
}

func TestALostAnswerGivesNothing(t *testing.T) {
	m := &memory{lose: true}
	a, b := vm(m, "a"), vm(m, "b")
	held, err := a.Keep(context.Background())
	require.Error(t, err)
	require.False(t, held)
	require.False(t, keep(t, b), "the record names a")
	m.pass(times.TTL / 4)
	require.True(t, keep(t, a), "it may take what is its own")
}

// mute is a store whose connections have gone silent.
type mute struct{}

func (mute) Read(ctx context.Context, _ string) (Record, error) {
	<-ctx.Done()
	return Record{}, ctx.Err()
}

func (mute) CompareAndSwap(ctx context.Context, _ string, _ []byte, _ int64) (Record, error) {
	<-ctx.Done()
	return Record{}, ctx.Err()
}

// A store that answers nothing must not hold the caller, or the end of the
// process, for good.
func TestASilentStoreHoldsNobody(t *testing.T) {
	began := time.Now()
	brief := Timing{TTL: 100 * time.Millisecond, ExpiryMargin: 10 * time.Millisecond, HandoverDelay: time.Second}
	l := New(mute{}, "duty", "a", brief, func() time.Duration { return time.Since(began) })
	go func() { _, _ = l.Keep(context.Background()) }()
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, l.Release(context.Background()))
	_, err := l.Keep(context.Background())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(began), 2*time.Second)
}

func TestReleaseLeavesThePauseOnly(t *testing.T) {
	m := &memory{}
	a, b := vm(m, "a"), vm(m, "b")
	require.True(t, keep(t, a))
	require.NoError(t, a.Release(context.Background()))
	_, held := a.Held()
	require.False(t, held)
	require.False(t, keep(t, b))
	m.pass(times.HandoverDelay)
	require.True(t, keep(t, b))
}

func TestAnUnreadableRecordBindsNobodyForLong(t *testing.T) {
	m := &memory{rec: Record{Value: []byte("{"), Version: 7}}
	a := vm(m, "a")
	require.False(t, keep(t, a))
	m.pass(times.TTL + times.HandoverDelay)
	require.True(t, keep(t, a))
	fence, _ := a.Held()
	require.Equal(t, int64(8), fence)
}
