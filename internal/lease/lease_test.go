package lease

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeStore is a Store of one record. The test sets its clock and its faults.
type fakeStore struct {
	rec         Record
	now         time.Duration
	unavailable bool
	// loseNextReply makes the next CompareAndSwap take effect but return an error.
	loseNextReply bool
	// replyDelay is how far the clocks advance during each call.
	replyDelay time.Duration
	vmClocks   []*time.Duration
}

func (s *fakeStore) advance(d time.Duration) {
	s.now += d
	for _, vm := range s.vmClocks {
		*vm += d
	}
}

func (s *fakeStore) Read(context.Context, string) (Record, error) {
	if s.unavailable {
		return Record{}, errors.New("down")
	}
	rec := s.rec
	rec.Now = s.now
	s.advance(s.replyDelay)
	return rec, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, _ string, value []byte, version int64) (Record, error) {
	if s.unavailable {
		return Record{}, errors.New("down")
	}
	if s.rec.Version != version {
		return Record{}, ErrConflict
	}
	s.rec = Record{Value: value, Version: version + 1}
	s.advance(s.replyDelay)
	if s.loseNextReply {
		s.loseNextReply = false
		return Record{}, errors.New("lost")
	}
	return Record{Version: s.rec.Version, Now: s.now}, nil
}

var timing = Timing{TTL: 2 * time.Second, ExpiryMargin: 500 * time.Millisecond, HandoverDelay: 3 * time.Second}

func newLease(store *fakeStore, holder string) *Lease {
	clock := new(time.Duration)
	// The clocks of different VMs have different origins.
	*clock = time.Duration(len(store.vmClocks)) * time.Hour
	store.vmClocks = append(store.vmClocks, clock)
	return New(store, "role", holder, timing, func() time.Duration { return *clock })
}

func acquireOrRenew(t *testing.T, l *Lease) bool {
	t.Helper()
	held, err := l.AcquireOrRenew(context.Background())
	require.NoError(t, err)
	return held
}

func TestOneHolderAtATime(t *testing.T) {
	store := &fakeStore{}
	a, b := newLease(store, "a"), newLease(store, "b")
	require.True(t, acquireOrRenew(t, a))
	require.False(t, acquireOrRenew(t, b))
	first, _ := a.Held()

	store.advance(timing.TTL)
	_, held := a.Held()
	require.False(t, held, "the lease has expired")
	require.False(t, acquireOrRenew(t, b), "the handover delay has not passed")
	store.advance(timing.HandoverDelay - time.Millisecond)
	require.False(t, acquireOrRenew(t, b))
	store.advance(2 * time.Millisecond)
	require.True(t, acquireOrRenew(t, b))
	second, _ := b.Held()
	require.Greater(t, second, first)
	require.False(t, acquireOrRenew(t, a))
}

func TestSameVMNeedsNoHandoverDelay(t *testing.T) {
	store := &fakeStore{}
	a := newLease(store, "a")
	require.True(t, acquireOrRenew(t, a))
	first, _ := a.Held()
	store.advance(timing.TTL)
	require.True(t, acquireOrRenew(t, a))
	second, _ := a.Held()
	require.Greater(t, second, first)

	restarted := newLease(store, "a")
	require.True(t, acquireOrRenew(t, restarted))
	third, _ := restarted.Held()
	require.Greater(t, third, second)
}

func TestRenewalKeepsFencingToken(t *testing.T) {
	store := &fakeStore{}
	a := newLease(store, "a")
	require.True(t, acquireOrRenew(t, a))
	first, _ := a.Held()
	store.advance(time.Second)
	require.True(t, acquireOrRenew(t, a))
	store.advance(time.Second)
	fence, held := a.Held()
	require.True(t, held)
	require.Equal(t, first, fence)
}

// A holder must stop acting before the end that other VMs read in the record,
// however slow the store is.
func TestSlowStoreDoesNotExtendLease(t *testing.T) {
	store := &fakeStore{replyDelay: 700 * time.Millisecond}
	a, b := newLease(store, "a"), newLease(store, "b")
	require.True(t, acquireOrRenew(t, a))
	heldUntil := store.now
	for {
		if _, held := a.Held(); !held {
			break
		}
		store.advance(10 * time.Millisecond)
		heldUntil = store.now
	}
	require.LessOrEqual(t, heldUntil, timing.TTL-timing.ExpiryMargin+10*time.Millisecond)
	store.advance(timing.TTL + timing.HandoverDelay)
	require.True(t, acquireOrRenew(t, b))
}

func TestLostReplyDoesNotGrantLease(t *testing.T) {
	store := &fakeStore{loseNextReply: true}
	a, b := newLease(store, "a"), newLease(store, "b")
	held, err := a.AcquireOrRenew(context.Background())
	require.Error(t, err)
	require.False(t, held)
	require.False(t, acquireOrRenew(t, b), "the record names a as the holder")
	store.advance(timing.TTL / 4)
	require.True(t, acquireOrRenew(t, a), "the record already names a as the holder")
}

// hangingStore is a Store that never replies.
type hangingStore struct{}

func (hangingStore) Read(ctx context.Context, _ string) (Record, error) {
	<-ctx.Done()
	return Record{}, ctx.Err()
}

func (hangingStore) CompareAndSwap(ctx context.Context, _ string, _ []byte, _ int64) (Record, error) {
	<-ctx.Done()
	return Record{}, ctx.Err()
}

// A store that never replies must not block AcquireOrRenew or Release forever, or
// the process could not shut down.
func TestUnresponsiveStoreDoesNotBlock(t *testing.T) {
	began := time.Now()
	shortTiming := Timing{TTL: 100 * time.Millisecond, ExpiryMargin: 10 * time.Millisecond, HandoverDelay: time.Second}
	l := New(hangingStore{}, "role", "a", shortTiming, func() time.Duration { return time.Since(began) })
	go func() { _, _ = l.AcquireOrRenew(context.Background()) }()
	time.Sleep(10 * time.Millisecond)
	require.NoError(t, l.Release(context.Background()))
	_, err := l.AcquireOrRenew(context.Background())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(began), 2*time.Second)
}

func TestReleaseLeavesOnlyHandoverDelay(t *testing.T) {
	store := &fakeStore{}
	a, b := newLease(store, "a"), newLease(store, "b")
	require.True(t, acquireOrRenew(t, a))
	require.NoError(t, a.Release(context.Background()))
	_, held := a.Held()
	require.False(t, held)
	require.False(t, acquireOrRenew(t, b))
	store.advance(timing.HandoverDelay)
	require.True(t, acquireOrRenew(t, b))
}

func TestUnreadableRecordExpires(t *testing.T) {
	store := &fakeStore{rec: Record{Value: []byte("{"), Version: 7}}
	a := newLease(store, "a")
	require.False(t, acquireOrRenew(t, a))
	store.advance(timing.TTL + timing.HandoverDelay)
	require.True(t, acquireOrRenew(t, a))
	fence, _ := a.Held()
	require.Equal(t, int64(8), fence)
}

func TestRecordThatNoHolderWroteExpires(t *testing.T) {
	tests := []string{
		"null", "{}", `[]`, `"a"`, `{"holder":"z","fence":1,"until":9223372036854775807}`, `{"holder":"z","fence":1,"until":9000000000000}`,
		`{"holder":"z","fence":1,"until":9223372036854775808}`, `{"holder":"z","fence":1,"until":-1}`, `{"holder":"z","fence":9223372036854775807,"until":1000}`,
		`{"holder":"z","fence":-9223372036854775808,"until":1000}`, `{"holder":"a","fence":9223372036854775807,"until":1000}`, `{"holder":"","fence":1,"until":1000}`,
		`{"holder":"z","fence":8,"until":1000}`, `{"holder":5,"fence":1,"until":1000}`, `{"holder":"z","fence":1.5,"until":1e400}`,
		strings.Repeat("[", 30000),
	}
	for _, value := range tests {
		t.Run(value[:min(len(value), 70)], func(t *testing.T) {
			store := &fakeStore{rec: Record{Value: []byte(value), Version: 7}}
			a := newLease(store, "a")
			require.False(t, acquireOrRenew(t, a), "the writer may hold the lease")
			store.advance(timing.TTL + timing.HandoverDelay)
			require.True(t, acquireOrRenew(t, a))
			fence, _ := a.Held()
			require.Equal(t, int64(8), fence, "above all tokens that were granted before")
			store.advance(time.Second)
			require.True(t, acquireOrRenew(t, a))
		})
	}
}

func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"holder":"z","fence":1,"until":1000}`), int64(7))
	f.Add([]byte(`{"holder":"a","fence":9223372036854775807,"until":9223372036854775807}`), int64(1))
	f.Fuzz(func(t *testing.T, value []byte, version int64) {
		if version < 1 || version > 1<<53 {
			return
		}
		store := &fakeStore{rec: Record{Value: value, Version: version}}
		a := newLease(store, "a")
		_, err := a.AcquireOrRenew(t.Context())
		require.NoError(t, err)
		store.advance(timing.TTL + timing.HandoverDelay)
		held, err := a.AcquireOrRenew(t.Context())
		require.NoError(t, err)
		require.True(t, held, "no record keeps the lease forever")
		fence, _ := a.Held()
		require.Positive(t, fence)
	})
}
