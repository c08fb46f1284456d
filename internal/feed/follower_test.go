package feed

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// scriptedSource returns prepared responses in order.
type scriptedSource struct {
	t     *testing.T
	steps []response
	waits []time.Duration
}

type response struct {
	all  bool
	page Page
	err  error
}

func (s *scriptedSource) next(all bool) (Page, error) {
	require.NotEmpty(s.t, s.steps)
	a := s.steps[0]
	s.steps = s.steps[1:]
	require.Equal(s.t, a.all, all)
	return a.page, a.err
}

func (s *scriptedSource) Snapshot(context.Context) (Page, error) { return s.next(true) }

func (s *scriptedSource) Changes(_ context.Context, _ Cursor, wait time.Duration) (Page, error) {
	s.waits = append(s.waits, wait)
	return s.next(false)
}

type recorded struct {
	rows          []string
	lapsed        []string
	confirmations int
	waits         []time.Duration
}

func runFollower(t *testing.T, now *time.Duration, steps ...response) *recorded {
	t.Helper()
	out := &recorded{}
	src := &scriptedSource{t: t, steps: steps}
	f := New(Options{
		Source: src, LongPollWait: time.Second, Now: func() time.Duration { return *now }, Log: &log.Logger{Handler: discard.New()},
		OnRow: func(r Row) {
			text := r.Key + "=" + string(r.Value)
			if r.Removed {
				text = r.Key + " removed"
			}
			out.rows = append(out.rows, text)
		},
		OnLapsed:    func(key string, _ time.Duration) { out.lapsed = append(out.lapsed, key) },
		OnConfirmed: func(time.Duration) { out.confirmations++ },
	})
	for len(src.steps) > 0 {
		err := f.step(context.Background())
		switch {
		case errors.Is(err, ErrHistoryDropped):
			f.complete = false
		case err != nil:
			f.storeFailed(err)
		}
	}
	out.waits = src.waits
	return out
}

// After an outage the first call must not wait for a change: until it returns,
// the copy is not known to be current.
func TestTheFirstCallAfterAFailureDoesNotWait(t *testing.T) {
	now := time.Duration(0)
	out := runFollower(t, &now,
		response{all: true, page: Page{Version: 5}},
		response{page: Page{Version: 5}},
		response{err: errors.New("down")},
		response{err: errors.New("down")},
		response{page: Page{Version: 5}},
		response{page: Page{Version: 5}},
	)
	require.Equal(t, []time.Duration{time.Second, time.Second, 0, 0, time.Second}, out.waits)
}

func row(key string, version int64, value string) Row {
	return Row{Key: key, Version: version, Value: []byte(value)}
}

func TestFollowerReadsAllThenChanges(t *testing.T) {
	now := time.Duration(0)
	out := runFollower(t, &now,
		response{all: true, page: Page{Rows: []Row{row("a", 1, "1"), row("b", 2, "2")}, Version: 5}},
		response{page: Page{Rows: []Row{row("a", 6, "3"), {Key: "b", Version: 7, Removed: true}}, Version: 7}},
		response{page: Page{Version: 7}},
	)
	require.Equal(t, []string{"a=1", "b=2", "a=3", "b removed"}, out.rows)
	require.Equal(t, 3, out.confirmations)
}

func TestRowsOnlyMoveForward(t *testing.T) {
	now := time.Duration(0)
	out := runFollower(t, &now,
		response{all: true, page: Page{Rows: []Row{row("a", 4, "new")}, Version: 5}},
		response{page: Page{Rows: []Row{row("a", 3, "old")}, Version: 6}},
		response{page: Page{Rows: []Row{row("a", 9, "stale page")}, Version: 4}},
	)
	require.Equal(t, []string{"a=new"}, out.rows)
	require.Equal(t, 2, out.confirmations, "a response older than the copy must not confirm it")
}

func TestWholeTableIsReadAgainAfterHistoryIsDropped(t *testing.T) {
	now := time.Duration(0)
	out := runFollower(t, &now,
		response{all: true, page: Page{Rows: []Row{row("a", 1, "1"), row("b", 2, "2")}, Version: 5}},
		response{err: ErrHistoryDropped},
		response{all: true, page: Page{Rows: []Row{row("b", 2, "2"), row("c", 8, "3")}, Version: 9}},
	)
	require.Equal(t, []string{"a=1", "b=2", "c=3"}, out.rows)
	require.Equal(t, []string{"a"}, out.lapsed)
}

// Rows that lapsed while the store was unreachable may come back: their writers
// could not renew them.
func TestRowsRemovedAroundAnOutageAreLapsed(t *testing.T) {
	now := time.Duration(0)
	start := response{all: true, page: Page{Rows: []Row{row("a", 1, "1")}, Version: 5}}
	removed := response{page: Page{Rows: []Row{{Key: "a", Version: 6, Removed: true}}, Version: 6}}
	out := runFollower(t, &now, start, response{err: errors.New("down")}, removed)
	require.Equal(t, []string{"a"}, out.lapsed)
	require.Equal(t, []string{"a=1"}, out.rows)

	out = runFollower(t, &now, start, removed)
	require.Equal(t, []string{"a=1", "a removed"}, out.rows)
	require.Empty(t, out.lapsed)
}

// A removed row counts as lapsed for a time that begins with the store's return, not with
// the removal. The writer of a row that is removed later has left, and must not be used
// for as long again.
func TestLapsedRowsAreGoneSoonAfterTheStoresReturn(t *testing.T) {
	const (
		start  = 10 * time.Second
		outage = 5 * time.Second
	)
	removed := Row{Key: "a", Version: 6, Removed: true}
	lapsed := Row{Key: "a", Version: 6, Removed: true, Lapsed: true}
	tests := []struct {
		name string
		// failed is set if a call failed during the outage; otherwise the VM was only
		// without responses for that time.
		failed bool
		// sinceReturn is when the removal is read, after the first response.
		sinceReturn time.Duration
		row         Row
		until       time.Duration // of the lapsed row, or zero if it is gone
	}{
		{"removed during the outage", true, 0, removed, start + outage + lapseGrace},
		{"removed later", true, lapseGrace * 3 / 4, removed, start + outage + lapseGrace},
		{"removed after the time to come back", true, lapseGrace, removed, 0},
		{"removed after a pause of the VM", false, 0, removed, start + outage + lapseGrace},
		{"lapsed for the VM that was polled, later", true, lapseGrace * 3 / 4, lapsed, start + outage + lapseGrace},
		{"lapsed for the VM that was polled, after the time to come back", true, lapseGrace, lapsed, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := start
			src := &scriptedSource{t: t, steps: []response{{all: true, page: Page{Rows: []Row{row("a", 1, "1")}, Version: 5}}}}
			var until time.Duration
			gone := false
			f := New(Options{
				Source: src, LongPollWait: time.Second, Now: func() time.Duration { return now }, Log: &log.Logger{Handler: discard.New()},
				OnRow: func(r Row) { gone = r.Removed }, OnLapsed: func(_ string, u time.Duration) { until = u }, OnConfirmed: func(time.Duration) {},
			})
			require.NoError(t, f.step(context.Background()))
			if tt.failed {
				f.storeFailed(errors.New("down"))
			}
			now += outage
			if tt.sinceReturn > 0 {
				src.steps = []response{{page: Page{Version: 5}}}
				require.NoError(t, f.step(context.Background()))
				now += tt.sinceReturn
			}
			src.steps = []response{{page: Page{Rows: []Row{tt.row}, Version: 6}}}
			require.NoError(t, f.step(context.Background()))
			require.Equal(t, tt.until, until)
			require.Equal(t, tt.until == 0, gone)
		})
	}
}

// A row that a read of the whole table lacks was there when the store was last asked, so
// that it cannot have been removed before.
func TestRowsMissingFromASnapshotAreGoneSoonAfterTheLastResponse(t *testing.T) {
	now := 10 * time.Second
	src := &scriptedSource{t: t, steps: []response{
		{all: true, page: Page{Rows: []Row{row("a", 1, "1")}, Version: 5}},
		{err: ErrHistoryDropped},
	}}
	var until time.Duration
	f := New(Options{
		Source: src, LongPollWait: time.Second, Now: func() time.Duration { return now }, Log: &log.Logger{Handler: discard.New()},
		OnRow: func(Row) {}, OnLapsed: func(_ string, u time.Duration) { until = u }, OnConfirmed: func(time.Duration) {},
	})
	require.NoError(t, f.step(context.Background()))
	now += time.Second
	require.ErrorIs(t, f.step(context.Background()), ErrHistoryDropped)
	f.complete = false
	src.steps = []response{{all: true, page: Page{Version: 9}}}
	require.NoError(t, f.step(context.Background()))
	require.Equal(t, 10*time.Second+lapseGrace, until)
}

// testMaxAge is the maxAge of the replicas in tests.
const testMaxAge = 2 * time.Second

// replicaSource serves another VM's replica as a source.
type replicaSource struct {
	replica *replica
	calls   int
	err     error
}

func (r *replicaSource) Snapshot(ctx context.Context) (Page, error) {
	return r.replica.serve(ctx, true, Cursor{}, 0)
}

func (r *replicaSource) Changes(ctx context.Context, after Cursor, wait time.Duration) (Page, error) {
	r.calls++
	if r.err != nil {
		return Page{}, r.err
	}
	return r.replica.serve(ctx, false, after, wait)
}

func TestAnotherVMIsPolledInsteadOfTheStore(t *testing.T) {
	now := 10 * time.Second
	leader := &replicaSource{replica: newReplica(func() time.Duration { return now }, testMaxAge)}
	leader.replica.put(row("a", 4, "leader's"))
	leader.replica.advance(4, 9*time.Second, true)
	var confirmations []time.Duration
	var got []string
	store := &scriptedSource{t: t, steps: []response{
		{all: true, page: Page{Rows: []Row{row("a", 1, "1")}, Version: 2}},
		{page: Page{Version: 5}},
	}}
	f := New(Options{
		Source: store, Relay: func() Source { return leader }, Now: func() time.Duration { return now },
		OnRow: func(r Row) { got = append(got, string(r.Value)) }, OnLapsed: func(string, time.Duration) {},
		OnConfirmed: func(asked time.Duration) { confirmations = append(confirmations, asked) }, Log: &log.Logger{Handler: discard.New()},
	})
	require.NoError(t, f.step(context.Background()))
	require.True(t, f.ReadsFromStore())
	require.NoError(t, f.step(context.Background()))
	require.False(t, f.ReadsFromStore())
	require.Equal(t, []string{"1", "leader's"}, got)
	// The leader had polled the store a second before it was polled itself.
	require.Equal(t, []time.Duration{10 * time.Second, 9 * time.Second}, confirmations)

	leader.err = errors.New("gone")
	require.NoError(t, f.step(context.Background()))
	require.True(t, f.ReadsFromStore(), "the store must be polled if the other VM does not respond")
	require.Empty(t, store.steps)
}

// Changes in quick succession must share a response of the store instead of
// causing a call each.
func TestCallsToTheStoreAreDelayed(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	s := newReplica(now, testMaxAge)
	s.advance(1, 0, true)
	store := &replicaSource{replica: s}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	go func() {
		for v := int64(2); ctx.Err() == nil; v++ {
			s.put(row("a", v, ""))
			s.advance(v, now(), true)
			time.Sleep(time.Millisecond)
		}
	}()
	New(Options{
		Source: store, LongPollWait: time.Second, StorePollDelay: 50 * time.Millisecond, Now: now, OnRow: func(Row) {}, OnLapsed: func(string, time.Duration) {},
		OnConfirmed: func(time.Duration) {}, Log: &log.Logger{Handler: discard.New()},
	}).Run(ctx)
	require.LessOrEqual(t, store.calls, 6)
}

func TestOnlyRowsReadFromTheStoreRecentlyAreServed(t *testing.T) {
	now := 10 * time.Second
	s := newReplica(func() time.Duration { return now }, testMaxAge)
	serve := func(after int64) error {
		_, err := s.serve(context.Background(), false, Cursor{Version: after}, 0)
		return err
	}
	require.ErrorIs(t, serve(0), ErrNotCurrent, "nothing was read yet")
	s.advance(5, now, false)
	require.ErrorIs(t, serve(5), ErrNotCurrent, "the rows came from another VM")
	s.advance(5, now, true)
	require.NoError(t, serve(5))
	require.ErrorIs(t, serve(6), ErrNotCurrent, "the other VM has a newer version")
	now += testMaxAge + 1
	require.ErrorIs(t, serve(5), ErrNotCurrent, "the response of the store is too old")
}

// A VM that cannot reach the store gets no changes: it must not hold the calls of
// other VMs, which would wait in vain.
func TestAVMThatLosesTheStoreStopsServing(t *testing.T) {
	s := newReplica(func() time.Duration { return 0 }, testMaxAge)
	s.advance(1, 0, true)
	time.AfterFunc(30*time.Millisecond, s.stopServing)
	began := time.Now()
	_, err := s.serve(context.Background(), false, Cursor{Version: 1}, 5*time.Second)
	require.ErrorIs(t, err, ErrNotCurrent)
	require.Less(t, time.Since(began), time.Second)

	now := time.Duration(0)
	f := New(Options{
		Source: &scriptedSource{t: t, steps: []response{{all: true, page: Page{Version: 2}}}}, LongPollWait: 600 * time.Millisecond,
		Now: func() time.Duration { return now }, OnRow: func(Row) {}, OnLapsed: func(string, time.Duration) {},
		OnConfirmed: func(time.Duration) {}, Log: &log.Logger{Handler: discard.New()},
	})
	require.NoError(t, f.step(context.Background()))
	_, err = f.Serve(context.Background(), false, Cursor{Version: 2}, 0)
	require.NoError(t, err)
	// Its next call has had no response for longer than a call takes.
	now = 1200*time.Millisecond + roundTripAllowance + 1
	_, err = f.Serve(context.Background(), false, Cursor{Version: 2}, 0)
	require.ErrorIs(t, err, ErrNotCurrent)
}

func TestRemovedRowsAreServedUntilCompacted(t *testing.T) {
	s := newReplica(func() time.Duration { return 0 }, testMaxAge)
	for i := range int64(2 * maxRemovedRows) {
		key := string(rune('a' + i))
		s.put(row(key, 2*i+1, ""))
		s.put(Row{Key: key, Version: 2*i + 2, Removed: true})
	}
	last := int64(4 * maxRemovedRows)
	s.advance(last, 0, true)
	page, err := s.serve(context.Background(), false, Cursor{Version: last - 2}, 0)
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
	require.True(t, page.Rows[0].Removed)
	_, err = s.serve(context.Background(), false, Cursor{Generation: GenerationUnknown, Version: 1}, 0)
	require.ErrorIs(t, err, ErrHistoryDropped)
	require.LessOrEqual(t, len(s.rows), maxRemovedRows)
	s.put(row("last", last+1, ""))
	s.advance(last+1, 0, true)
	page, err = s.serve(context.Background(), false, Cursor{Version: 1}, 0)
	require.NoError(t, err)
	require.True(t, page.Whole, "the removals are not known any more")
	require.Equal(t, []Row{row("last", last+1, "")}, page.Rows)
}

func TestACallIsHeldUntilThereIsAChange(t *testing.T) {
	s := newReplica(func() time.Duration { return 0 }, testMaxAge)
	s.advance(1, 0, true)
	time.AfterFunc(30*time.Millisecond, func() {
		s.put(row("a", 2, "x"))
		s.advance(2, 0, true)
	})
	page, err := s.serve(context.Background(), false, Cursor{Version: 1}, 5*time.Second)
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
}

func TestRowVersionBeyondItsPageIsNotServedAgainAndAgain(t *testing.T) {
	now := 10 * time.Second
	newest := row("a", math.MaxInt64, "odd")
	store := &scriptedSource{t: t, steps: []response{
		{all: true, page: Page{Rows: []Row{newest, row("b", 2, "good")}, Version: 5}},
		{page: Page{Rows: []Row{row("a", 6, "good")}, Version: 6}},
	}}
	var got []string
	f := New(Options{
		Source: store, LongPollWait: time.Second, Now: func() time.Duration { return now }, OnRow: func(r Row) { got = append(got, string(r.Value)) },
		OnLapsed: func(string, time.Duration) {}, OnConfirmed: func(time.Duration) {}, Log: &log.Logger{Handler: discard.New()},
	})
	require.NoError(t, f.step(context.Background()))
	page, err := f.Serve(context.Background(), false, Cursor{Version: 5}, 0)
	require.NoError(t, err)
	require.Empty(t, page.Rows, "a VM at the version of the page has the row")
	require.NoError(t, f.step(context.Background()))
	require.Equal(t, []string{"odd", "good", "good"}, got, "a later change of the row must be applied")
}
