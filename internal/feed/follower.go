package feed

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a failed
	// call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// LongPollGrace is how much longer than the requested wait a long poll may
	// take before it times out.
	LongPollGrace = 500 * time.Millisecond
	// lapseGrace is how long after the store is reachable again a removed row may
	// come back: its writer could not renew it during the outage. A row that is still
	// missing then is gone.
	lapseGrace = 2 * time.Second
	// snapshotTimeout bounds a read of the whole table.
	snapshotTimeout = 2 * time.Second
)

// Options configure a Follower.
type Options struct {
	Name   string
	Source Source
	// Relay returns another VM to poll instead of the store, or nil.
	Relay func() Source
	// LongPollWait is how long a call is held while there is no change.
	LongPollWait time.Duration
	// StorePollDelay is the minimum time between a response of the store and the
	// next call to it, so that changes in quick succession share a response.
	StorePollDelay time.Duration
	// Now must return a clock that keeps running while the system is suspended.
	Now func() time.Duration
	// OnRow receives each row that is newer than the one known so far. OnLapsed is
	// called instead for a row that was removed but may come back until the given
	// time, since it lapsed while the store was unreachable.
	OnRow    func(Row)
	OnLapsed func(key string, until time.Duration)
	// OnLost is called in place of OnLapsed, if it is set, for a row that is missing from the
	// copy that the store came back from: its writer will write it again, at any time.
	OnLost func(key string)
	// OnGeneration is called with the generation of the store when it is first known and when
	// it rises, before rows of it are passed on; it may be nil.
	OnGeneration func(generation int64)
	// OnStoreError is called when a call to the store fails; it may be nil.
	OnStoreError func()
	// OnConfirmed receives the time at which the store was asked for the newest
	// response.
	OnConfirmed func(askedAt time.Duration)
	Log         log.Interface
}

// Follower keeps the copy of one table up to date. Run does the work; the other
// methods may be called concurrently with it.
type Follower struct {
	options Options
	replica *replica

	complete  bool
	storeDown bool
	// confirmedAt is when the store was asked for the newest response; it is valid if
	// confirmed is set.
	confirmedAt time.Duration
	confirmed   bool
	// recoveredAt is when the store was last reachable again; it is valid if
	// hadOutage is set.
	recoveredAt time.Duration
	hadOutage   bool
	retryDelay  time.Duration
}

// New returns a Follower with an empty copy.
func New(o Options) *Follower {
	return &Follower{options: o, replica: newReplica(o.Now, 2*o.LongPollWait+o.StorePollDelay+roundTripAllowance), retryDelay: minRetryDelay}
}

// Serve returns the copy to another VM: the changes after a position, or all
// rows. It waits up to wait for new rows or a newer response of the store.
func (f *Follower) Serve(ctx context.Context, all bool, after Cursor, wait time.Duration) (Page, error) {
	return f.replica.serve(ctx, all, after, wait)
}

// ReadsFromStore reports whether the newest response came from the store itself.
func (f *Follower) ReadsFromStore() bool { return f.replica.isFromStore() }

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.retryDelay = minRetryDelay
			f.delayPoll(ctx)
		case errors.Is(err, ErrHistoryDropped):
			event.HistoryDropped.Log(f.options.Log, nil, log.Fields{"table": f.options.Name, "version": f.replica.position().Version})
			f.complete = false
		case ctx.Err() == nil:
			f.storeFailed(err)
			f.backOff(ctx)
		}
	}
}

func (f *Follower) backOff(ctx context.Context) {
	timer.Sleep(ctx, f.retryDelay)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
}

// delayPoll waits before the next call to the store. A call to another VM needs
// no delay.
func (f *Follower) delayPoll(ctx context.Context) {
	if f.options.StorePollDelay > 0 && f.replica.isFromStore() {
		timer.Sleep(ctx, f.options.StorePollDelay)
	}
}

// storeRecovered is called with each response, before it is applied. A VM that was paused
// has missed the responses of that time, which is an outage as well.
func (f *Follower) storeRecovered() {
	now := f.options.Now()
	if f.storeDown || f.confirmed && now-f.confirmedAt > f.replica.maxAge {
		f.hadOutage, f.recoveredAt = true, now
	}
	if f.storeDown {
		f.storeDown = false
		event.StoreReachable.Log(f.options.Log, nil, log.Fields{"table": f.options.Name})
	}
}

// lapsedUntil returns until when a lapsed row may come back. The row was still listed
// when the store was asked for the response before.
func (f *Follower) lapsedUntil() time.Duration {
	until := f.confirmedAt
	if f.hadOutage {
		until = max(until, f.recoveredAt)
	}
	return until + lapseGrace
}

// StopServing stops serving the table to other VMs until the next response of
// the store. It is for callers that found the store unreachable by other means.
func (f *Follower) StopServing() { f.replica.stopServing() }

func (f *Follower) storeFailed(err error) {
	f.replica.stopServing()
	if f.options.OnStoreError != nil {
		f.options.OnStoreError()
	}
	if !f.storeDown {
		f.storeDown = true
		event.StoreUnreachable.Log(f.options.Log, err, log.Fields{"table": f.options.Name})
	}
}

// step makes one successful call: to another VM if there is one and it responds,
// otherwise to the store.
func (f *Follower) step(ctx context.Context) error {
	if f.options.Relay != nil && f.complete {
		if relay := f.options.Relay(); relay != nil {
			if err := f.poll(ctx, relay, f.options.LongPollWait, false); err == nil {
				return nil
			}
			// The other VM may be gone or cut off from the store. That does not make
			// the store unreachable, so ask the store itself.
		}
	}
	if f.complete {
		wait := f.options.LongPollWait
		if f.storeDown {
			// After an outage the first response must not wait for a change: until it
			// arrives, the copy is not known to be current.
			wait = 0
		}
		return f.poll(ctx, f.options.Source, wait, true)
	}
	askedAt := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	page, err := f.options.Source.Snapshot(ctx)
	if err != nil {
		return err
	}
	if page.Generation < f.replica.position().Generation {
		return ErrOldGeneration
	}
	f.storeRecovered()
	f.applySnapshot(page, askedAt, true)
	return nil
}

func (f *Follower) poll(ctx context.Context, s Source, wait time.Duration, fromStore bool) error {
	askedAt := f.options.Now()
	ctx, cancel := context.WithTimeout(ctx, wait+LongPollGrace)
	defer cancel()
	position := f.replica.position()
	page, err := s.Changes(ctx, position, wait)
	switch {
	case err != nil:
		return err
	case page.Generation < position.Generation:
		return ErrOldGeneration
	case page.Generation > position.Generation && !page.Whole:
		return ErrHistoryDropped
	}
	f.storeRecovered()
	if page.Whole {
		f.applySnapshot(page, askedAt+page.Since, fromStore)
	} else {
		f.applyChanges(page, askedAt+page.Since, fromStore)
	}
	return nil
}

// applySnapshot replaces the copy by a read of the whole table. It ignores a
// read that is older than the copy.
func (f *Follower) applySnapshot(page Page, askedAt time.Duration, fromStore bool) {
	if position := f.replica.position(); !f.confirmed || page.Generation > position.Generation {
		f.beginGeneration(page)
		f.complete = true
		f.advance(page.Version, askedAt, fromStore)
		return
	} else if page.Version < position.Version {
		return
	}
	seen := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		seen[r.Key] = true
		f.applyRow(r, page.Version)
	}
	for _, key := range f.replica.liveKeys() {
		if !seen[key] {
			f.applyRow(Row{Key: key, Version: page.Version, Removed: true, Lapsed: true}, page.Version)
		}
	}
	f.complete = true
	f.advance(page.Version, askedAt, fromStore)
}

// beginGeneration replaces the copy by the first table of all, or the first one of a later
// generation. Rows that are missing from that one, or older in it, had been written after the
// copy that the store came back from.
func (f *Follower) beginGeneration(page Page) {
	first := !f.confirmed
	now := f.options.Now()
	before := f.replica.begin(Cursor{Generation: page.Generation, Version: page.Version})
	if !first {
		f.hadOutage, f.recoveredAt = true, now
		event.StoreRestored.Log(f.options.Log, nil, log.Fields{"table": f.options.Name, "storegeneration": page.Generation, "version": page.Version})
	}
	if f.options.OnGeneration != nil {
		f.options.OnGeneration(page.Generation)
	}
	for _, r := range page.Rows {
		r.Version, r.Generation, r.Restored = min(r.Version, page.Version), page.Generation, !first
		old, known := before[r.Key]
		delete(before, r.Key)
		unchanged := known && !old.Removed && bytes.Equal(old.Value, r.Value)
		if f.replica.put(r) && !unchanged {
			f.options.OnRow(r)
		}
	}
	for key, old := range before {
		switch until := f.lapsedUntil(); {
		case old.Removed:
		case f.options.OnLost != nil:
			event.RowLost.Log(f.options.Log, nil, log.Fields{"table": f.options.Name, "row": key, "version": old.Version})
			f.options.OnLost(key)
		default:
			event.RowLapsed.Log(f.options.Log, nil, log.Fields{"table": f.options.Name, "row": key, "version": old.Version, "grace": (until - now).Milliseconds()})
			f.options.OnLapsed(key, until)
		}
	}
}

// applyChanges adds changed rows to the copy. It ignores a response that is
// older than the copy.
func (f *Follower) applyChanges(page Page, askedAt time.Duration, fromStore bool) {
	if page.Version < f.replica.position().Version {
		return
	}
	for _, r := range page.Rows {
		f.applyRow(r, page.Version)
	}
	f.advance(page.Version, askedAt, fromStore)
}

func (f *Follower) advance(version int64, askedAt time.Duration, fromStore bool) {
	f.replica.advance(version, askedAt, fromStore)
	f.confirmedAt, f.confirmed = max(f.confirmedAt, askedAt), true
	f.options.OnConfirmed(askedAt)
}

// applyRow applies a row of a page. A version beyond that of the page would hide all
// later changes of the row, and other VMs would be sent the row again and again.
func (f *Follower) applyRow(r Row, pageVersion int64) {
	r.Version, r.Generation = min(r.Version, pageVersion), f.replica.position().Generation
	now := f.options.Now()
	if r.Removed && f.hadOutage && now < f.recoveredAt+lapseGrace {
		r.Lapsed = true
	}
	if !f.replica.put(r) {
		return
	}
	if until := f.lapsedUntil(); r.Lapsed && now < until {
		event.RowLapsed.Log(f.options.Log, nil, log.Fields{"table": f.options.Name, "row": r.Key, "version": r.Version, "grace": (until - now).Milliseconds()})
		f.options.OnLapsed(r.Key, until)
		return
	}
	f.options.OnRow(r)
}
