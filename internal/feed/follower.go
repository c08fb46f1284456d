package feed

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

const (
	// leastPause and mostPause bound the wait after a failed call.
	leastPause = 100 * time.Millisecond
	mostPause  = 400 * time.Millisecond
	// LongPollGrace is what a call may take beyond the wait that was asked for.
	LongPollGrace = 500 * time.Millisecond
	// returning is how long after the store is reached again rows that were
	// removed meanwhile may come back: their writers could not renew them.
	returning = 2500 * time.Millisecond
	// readTimeout bounds a call that reads all rows.
	readTimeout = 2 * time.Second
)

// Options are what a Follower works with.
type Options struct {
	Name   string
	Source Source
	// Relay returns another VM to ask in place of the store, or nil.
	Relay func() Source
	// LongPollWait is how long a call without changes is held.
	LongPollWait time.Duration
	// StorePollDelay is the least time between the answer to a call and the next call of
	// the store, so that changes in quick succession share an answer.
	StorePollDelay time.Duration
	// Now must count suspension.
	Now func() time.Duration
	// OnRow takes in a row that is newer than what was known; Missing tells that
	// a row is gone and may come back, since it lapsed while the store was away.
	OnRow    func(Row)
	OnLapsed func(key string)
	// OnStoreError tells that the store does not answer; nil where nobody asks.
	OnStoreError func()
	// OnConfirmed tells when the store was asked for the newest answer.
	OnConfirmed func(asked time.Duration)
	Log         log.Interface
}

// Follower keeps up with one table. Run does the work; the other methods may be
// called meanwhile.
type Follower struct {
	options Options
	copy    *shelf

	whole bool
	lost  bool
	// back is when the store was last reached again, if it ever was lost.
	back    time.Duration
	hadLost bool
	pause   time.Duration
}

// New returns a follower that knows nothing yet.
func New(o Options) *Follower {
	return &Follower{options: o, copy: newShelf(o.Now, 2*o.LongPollWait+o.StorePollDelay+margin), pause: leastPause}
}

// Serve hands on what is known to another VM: the changes after a version, or
// all rows. It waits until there is something new or newer proof.
func (f *Follower) Serve(ctx context.Context, all bool, after int64, wait time.Duration) (Page, error) {
	return f.copy.serve(ctx, all, after, wait)
}

// ReadsFromStore reports whether the newest answer came from the store itself.
func (f *Follower) ReadsFromStore() bool { return f.copy.isDirect() }

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.pause = leastPause
			f.rest(ctx)
		case errors.Is(err, ErrHistoryDropped):
			event.HistoryLost.Log(f.options.Log, nil, log.Fields{"table": f.options.Name, "version": f.copy.version()})
			f.whole = false
		case ctx.Err() == nil:
			f.failed(err)
			f.sleep(ctx)
		}
	}
}

func (f *Follower) sleep(ctx context.Context) {
	timer.Sleep(ctx, f.pause)
	f.pause = min(2*f.pause, mostPause)
}

// rest waits before the store is asked again; another VM may be asked at once.
func (f *Follower) rest(ctx context.Context) {
	if f.options.StorePollDelay > 0 && f.copy.isDirect() {
		timer.Sleep(ctx, f.options.StorePollDelay)
	}
}

func (f *Follower) regained() {
	if f.lost {
		f.lost, f.hadLost, f.back = false, true, f.options.Now()
		event.StoreRegained.Log(f.options.Log, nil, log.Fields{"table": f.options.Name})
	}
}

// StopServing ends the handing on until the store answers again: it was seen to be
// out of reach otherwise.
func (f *Follower) StopServing() { f.copy.fail() }

func (f *Follower) failed(err error) {
	f.copy.fail()
	if f.options.OnStoreError != nil {
		f.options.OnStoreError()
	}
	if !f.lost {
		f.lost = true
		event.StoreLost.Log(f.options.Log, err, log.Fields{"table": f.options.Name})
	}
}

// step makes one call: of another VM if there is one to ask and it answers, else
// of the store.
func (f *Follower) step(ctx context.Context) error {
	if f.options.Relay != nil && f.whole {
		if relay := f.options.Relay(); relay != nil {
			if err := f.ask(ctx, relay, f.options.LongPollWait, false); err == nil {
				return nil
			}
			// The other VM may be gone, or cut off from the store: no fault of
			// the store, which is asked instead.
		}
	}
	if f.whole {
		wait := f.options.LongPollWait
		if f.lost {
			// What is known is proved only once a call is answered.
			wait = 0
		}
		return f.ask(ctx, f.options.Source, wait, true)
	}
	asked := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.options.Source.Snapshot(ctx)
	if err != nil {
		return err
	}
	f.regained()
	f.replace(page, asked)
	return nil
}

func (f *Follower) ask(ctx context.Context, s Source, wait time.Duration, direct bool) error {
	asked := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+LongPollGrace)
	defer cancel()
	page, err := s.Changes(ctx, f.copy.version(), wait)
	if err != nil {
		return err
	}
	f.regained()
	f.take(page, asked+page.Since, direct)
	return nil
}

// replace takes in all rows. A reading that is older than what is known is
// left out.
func (f *Follower) replace(page Page, asked time.Duration) {
	if page.Version < f.copy.version() {
		return
	}
	seen := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		seen[r.Key] = true
		f.put(r)
	}
	for _, key := range f.copy.keys() {
		if !seen[key] {
			f.put(Row{Key: key, Version: page.Version, Removed: true, Lapsed: true})
		}
	}
	f.whole = true
	f.advance(page.Version, asked, true)
}

// take takes in changes.
func (f *Follower) take(page Page, asked time.Duration, direct bool) {
	if page.Version < f.copy.version() {
		return
	}
	for _, r := range page.Rows {
		f.put(r)
	}
	f.advance(page.Version, asked, direct)
}

func (f *Follower) advance(version int64, asked time.Duration, direct bool) {
	f.copy.advance(version, asked, direct)
	f.options.OnConfirmed(asked)
}

func (f *Follower) put(r Row) {
	if r.Removed && f.hadLost && f.options.Now()-f.back < returning {
		r.Lapsed = true
	}
	if !f.copy.put(r) {
		return
	}
	if r.Lapsed {
		f.options.OnLapsed(r.Key)
		return
	}
	f.options.OnRow(r)
}
