package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// script answers the calls of a follower one after another.
type script struct {
	t     *testing.T
	steps []answer
	waits []time.Duration
}

type answer struct {
	all  bool
	page Page
	err  error
}

func (s *script) next(all bool) (Page, error) {
	require.NotEmpty(s.t, s.steps)
	a := s.steps[0]
	s.steps = s.steps[1:]
	require.Equal(s.t, a.all, all)
	return a.page, a.err
}

func (s *script) Snapshot(context.Context) (Page, error) { return s.next(true) }

func (s *script) Changes(_ context.Context, _ int64, wait time.Duration) (Page, error) {
	s.waits = append(s.waits, wait)
	return s.next(false)
}

type seen struct {
	put     []string
	missing []string
	proofs  int
	waits   []time.Duration
}

func follow(t *testing.T, now *time.Duration, steps ...answer) *seen {
	t.Helper()
	out := &seen{}
	src := &script{t: t, steps: steps}
	f := New(Options{
		Source: src, LongPollWait: time.Second, Now: func() time.Duration { return *now }, Log: &log.Logger{Handler: discard.New()},
		OnRow: func(r Row) {
			text := r.Key + "=" + string(r.Value)
			if r.Removed {
				text = r.Key + " removed"
			}
			out.put = append(out.put, text)
		},
		OnLapsed:    func(key string) { out.missing = append(out.missing, key) },
		OnConfirmed: func(time.Duration) { out.proofs++ },
	})
	for len(src.steps) > 0 {
		err := f.step(context.Background())
		switch {
		case errors.Is(err, ErrHistoryDropped):
			f.whole = false
		case err != nil:
			f.failed(err)
		}
	}
	out.waits = src.waits
	return out
}

// After an outage the first answer must not wait for a change: it is the proof
// that what is known is current.
func TestTheFirstCallAfterAFailureDoesNotWait(t *testing.T) {
	now := time.Duration(0)
	out := follow(t, &now,
		answer{all: true, page: Page{Version: 5}},
		answer{page: Page{Version: 5}},
		answer{err: errors.New("down")},
		answer{err: errors.New("down")},
		answer{page: Page{Version: 5}},
		answer{page: Page{Version: 5}},
	)
	require.Equal(t, []time.Duration{time.Second, time.Second, 0, 0, time.Second}, out.waits)
}

func row(key string, version int64, value string) Row {
	return Row{Key: key, Version: version, Value: []byte(value)}
}

func TestFollowerReadsAllThenChanges(t *testing.T) {
	now := time.Duration(0)
	out := follow(t, &now,
		answer{all: true, page: Page{Rows: []Row{row("a", 1, "1"), row("b", 2, "2")}, Version: 5}},
		answer{page: Page{Rows: []Row{row("a", 6, "3"), {Key: "b", Version: 7, Removed: true}}, Version: 7}},
		answer{page: Page{Version: 7}},
	)
	require.Equal(t, []string{"a=1", "b=2", "a=3", "b removed"}, out.put)
	require.Equal(t, 3, out.proofs)
}

func TestRowsOnlyMoveForward(t *testing.T) {
	now := time.Duration(0)
	out := follow(t, &now,
		answer{all: true, page: Page{Rows: []Row{row("a", 4, "new")}, Version: 5}},
		answer{page: Page{Rows: []Row{row("a", 3, "old")}, Version: 6}},
		answer{page: Page{Rows: []Row{row("a", 9, "stale page")}, Version: 4}},
	)
	require.Equal(t, []string{"a=new"}, out.put)
	require.Equal(t, 2, out.proofs, "an older answer proves nothing")
}

func TestDroppedHistoryIsReadAgainAndCompared(t *testing.T) {
	now := time.Duration(0)
	out := follow(t, &now,
		answer{all: true, page: Page{Rows: []Row{row("a", 1, "1"), row("b", 2, "2")}, Version: 5}},
		answer{err: ErrHistoryDropped},
		answer{all: true, page: Page{Rows: []Row{row("b", 2, "2"), row("c", 8, "3")}, Version: 9}},
	)
	require.Equal(t, []string{"a=1", "b=2", "c=3"}, out.put)
	require.Equal(t, []string{"a"}, out.missing)
}

// Entries that lapsed while the store was away may come back.
func TestRowsRemovedAroundAnOutageAreMissing(t *testing.T) {
	now := time.Duration(0)
	start := answer{all: true, page: Page{Rows: []Row{row("a", 1, "1")}, Version: 5}}
	removed := answer{page: Page{Rows: []Row{{Key: "a", Version: 6, Removed: true}}, Version: 6}}
	out := follow(t, &now, start, answer{err: errors.New("down")}, removed)
	require.Equal(t, []string{"a"}, out.missing)
	require.Equal(t, []string{"a=1"}, out.put)

	out = follow(t, &now, start, removed)
	require.Equal(t, []string{"a=1", "a removed"}, out.put)
	require.Empty(t, out.missing)
}

// fresh is the age up to which shelves of tests hand on.
const fresh = 2 * time.Second

// handing is another VM's shelf as a source.
type handing struct {
	shelf *shelf
	asked int
	err   error
}

func (h *handing) Snapshot(ctx context.Context) (Page, error) { return h.shelf.serve(ctx, true, 0, 0) }

func (h *handing) Changes(ctx context.Context, after int64, wait time.Duration) (Page, error) {
	h.asked++
	if h.err != nil {
		return Page{}, h.err
	}
	return h.shelf.serve(ctx, false, after, wait)
}

func TestAnotherVMIsAskedInPlaceOfTheStore(t *testing.T) {
	now := 10 * time.Second
	leader := &handing{shelf: newShelf(func() time.Duration { return now }, fresh)}
	leader.shelf.put(row("a", 4, "leader's"))
	leader.shelf.advance(4, 9*time.Second, true)
	var proofs []time.Duration
	var got []string
	store := &script{t: t, steps: []answer{
		{all: true, page: Page{Rows: []Row{row("a", 1, "1")}, Version: 2}},
		{page: Page{Version: 5}},
	}}
	f := New(Options{
		Source: store, Relay: func() Source { return leader }, Now: func() time.Duration { return now },
		OnRow: func(r Row) { got = append(got, string(r.Value)) }, OnLapsed: func(string) {},
		OnConfirmed: func(asked time.Duration) { proofs = append(proofs, asked) }, Log: &log.Logger{Handler: discard.New()},
	})
	require.NoError(t, f.step(context.Background()))
	require.True(t, f.ReadsFromStore())
	require.NoError(t, f.step(context.Background()))
	require.False(t, f.ReadsFromStore())
	require.Equal(t, []string{"1", "leader's"}, got)
	// The leader had asked the store a second before it was asked itself.
	require.Equal(t, []time.Duration{10 * time.Second, 9 * time.Second}, proofs)

	leader.err = errors.New("gone")
	require.NoError(t, f.step(context.Background()))
	require.True(t, f.ReadsFromStore(), "the store is asked where the other VM does not answer")
	require.Empty(t, store.steps)
}

// Changes in quick succession share an answer of the store.
func TestCallsOfTheStoreKeepADistance(t *testing.T) {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	s := newShelf(now, fresh)
	s.advance(1, 0, true)
	store := &handing{shelf: s}
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
		Source: store, LongPollWait: time.Second, StorePollDelay: 50 * time.Millisecond, Now: now, OnRow: func(Row) {}, OnLapsed: func(string) {},
		OnConfirmed: func(time.Duration) {}, Log: &log.Logger{Handler: discard.New()},
	}).Run(ctx)
	require.LessOrEqual(t, store.asked, 6)
}

func TestOnlyWhatWasReadFromTheStoreLatelyIsHandedOn(t *testing.T) {
	now := 10 * time.Second
	s := newShelf(func() time.Duration { return now }, fresh)
	serve := func(after int64) error {
		_, err := s.serve(context.Background(), false, after, 0)
		return err
	}
	require.ErrorIs(t, serve(0), ErrNotCurrent, "nothing was read")
	s.advance(5, now, false)
	require.ErrorIs(t, serve(5), ErrNotCurrent, "it came from another VM")
	s.advance(5, now, true)
	require.NoError(t, serve(5))
	require.ErrorIs(t, serve(6), ErrNotCurrent, "the other VM knows more")
	now += fresh + 1
	require.ErrorIs(t, serve(5), ErrNotCurrent, "the proof is old")
}

// A VM that the store turns away has no news: it must not keep the others waiting.
func TestAVMThatLosesTheStoreStopsHandingOn(t *testing.T) {
	s := newShelf(func() time.Duration { return 0 }, fresh)
	s.advance(1, 0, true)
	time.AfterFunc(30*time.Millisecond, s.fail)
	began := time.Now()
	_, err := s.serve(context.Background(), false, 1, 5*time.Second)
	require.ErrorIs(t, err, ErrNotCurrent)
	require.Less(t, time.Since(began), time.Second)

	now := time.Duration(0)
	f := New(Options{
		Source: &script{t: t, steps: []answer{{all: true, page: Page{Version: 2}}}}, LongPollWait: 600 * time.Millisecond,
		Now: func() time.Duration { return now }, OnRow: func(Row) {}, OnLapsed: func(string) {},
		OnConfirmed: func(time.Duration) {}, Log: &log.Logger{Handler: discard.New()},
	})
	require.NoError(t, f.step(context.Background()))
	_, err = f.Serve(context.Background(), false, 2, 0)
	require.NoError(t, err)
	// Its next call has had no answer for longer than calls take.
	now = 1200*time.Millisecond + margin + 1
	_, err = f.Serve(context.Background(), false, 2, 0)
	require.ErrorIs(t, err, ErrNotCurrent)
}

func TestRemovedRowsAreHandedOnAsLongAsTheyAreKept(t *testing.T) {
	s := newShelf(func() time.Duration { return 0 }, fresh)
	for i := range int64(2 * removedKept) {
		key := string(rune('a' + i))
		s.put(row(key, 2*i+1, ""))
		s.put(Row{Key: key, Version: 2*i + 2, Removed: true})
	}
	last := int64(4 * removedKept)
	s.advance(last, 0, true)
	page, err := s.serve(context.Background(), false, last-2, 0)
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
	require.True(t, page.Rows[0].Removed)
	_, err = s.serve(context.Background(), false, 1, 0)
	require.ErrorIs(t, err, ErrHistoryDropped)
	require.LessOrEqual(t, len(s.rows), removedKept)
}

func TestAQuestionIsHeldUntilThereIsSomethingNew(t *testing.T) {
	s := newShelf(func() time.Duration { return 0 }, fresh)
	s.advance(1, 0, true)
	time.AfterFunc(30*time.Millisecond, func() {
		s.put(row("a", 2, "x"))
		s.advance(2, 0, true)
	})
	page, err := s.serve(context.Background(), false, 1, 5*time.Second)
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
}
