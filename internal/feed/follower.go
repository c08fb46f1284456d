package feed

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
)

// ErrHistory means that the store no longer has the changes since a version.
var ErrHistory = errors.New("feed: history is gone")

const (
	// leastPause and mostPause bound the wait after a failed call.
	leastPause = 100 * time.Millisecond
	mostPause  = 400 * time.Millisecond
	// slack is what a call may take beyond the wait that was asked for.
	slack = 800 * time.Millisecond
	// returning is how long after the store is reached again rows that were
	// removed meanwhile may come back: their writers could not renew them.
	returning = 2500 * time.Millisecond
	// readTimeout bounds a call that reads all rows.
	readTimeout = 2 * time.Second
)

// Row is one row of the table. Value is nil where it was removed.
type Row struct {
	Key     string
	Version int64
	Removed bool
	Value   []byte
}

// Page is an answer of the store.
type Page struct {
	Rows []Row
	// Version is that of the newest change that the answer takes into account.
	Version int64
}

// Source reads the table.
type Source interface {
	All(ctx context.Context) (Page, error)
	After(ctx context.Context, version int64, wait time.Duration) (Page, error)
}

// Options are what a Follower works with.
type Options struct {
	Name   string
	Source Source
	// Wait is how long the store holds a call without changes.
	Wait time.Duration
	// Now must count suspension.
	Now func() time.Duration
	// Put takes in a row that is newer than what was known; Missing tells that
	// a row is gone and may come back, since it lapsed while the store was away.
	Put     func(Row)
	Missing func(key string)
	// Proved tells when the newest answer was asked for.
	Proved func(asked time.Duration)
	Log    log.Interface
}

// Follower keeps up with one table. Run does the work.
type Follower struct {
	options Options
	// versions holds those of the known rows by key.
	versions map[string]int64
	cursor   int64
	whole    bool
	lost     bool
	// back is when the store was last reached again.
	back    time.Duration
	hadLost bool
	pause   time.Duration
}

// New returns a follower that knows nothing yet.
func New(o Options) *Follower {
	return &Follower{options: o, versions: make(map[string]int64), pause: leastPause}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			f.pause = leastPause
		case errors.Is(err, ErrHistory):
			event.HistoryLost.Log(f.options.Log, nil, log.Fields{"table": f.options.Name, "version": f.cursor})
			f.whole = false
		case ctx.Err() == nil:
			f.failed(err)
			f.sleep(ctx)
		}
	}
}

func (f *Follower) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(f.pause):
	}
	f.pause = min(2*f.pause, mostPause)
}

func (f *Follower) regained() {
	if f.lost {
		f.lost, f.hadLost, f.back = false, true, f.options.Now()
		event.StoreRegained.Log(f.options.Log, nil, log.Fields{"table": f.options.Name})
	}
}

func (f *Follower) failed(err error) {
	if !f.lost {
		f.lost = true
		event.StoreLost.Log(f.options.Log, err, log.Fields{"table": f.options.Name})
	}
}

func (f *Follower) step(ctx context.Context) error {
	asked := f.options.Now()
	if !f.whole {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		page, err := f.options.Source.All(ctx)
		if err != nil {
			return err
		}
		f.regained()
		f.replace(page, asked)
		return nil
	}
	wait := f.options.Wait
	if f.lost {
		// What is known is proved only once a call is answered.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	page, err := f.options.Source.After(ctx, f.cursor, wait)
	if err != nil {
		return err
	}
	f.regained()
	f.take(page, asked)
	return nil
}

// replace takes in all rows. A reading that is older than what is known is
// left out.
func (f *Follower) replace(page Page, asked time.Duration) {
	if page.Version < f.cursor {
		return
	}
	seen := make(map[string]bool, len(page.Rows))
	for _, r := range page.Rows {
		seen[r.Key] = true
		f.put(r)
	}
	for key := range f.versions {
		if !seen[key] {
			delete(f.versions, key)
			f.options.Missing(key)
		}
	}
	f.cursor, f.whole = page.Version, true
	f.options.Proved(asked)
}

// take takes in changes.
func (f *Follower) take(page Page, asked time.Duration) {
	if page.Version < f.cursor {
		return
	}
	for _, r := range page.Rows {
		f.put(r)
	}
	f.cursor = page.Version
	f.options.Proved(asked)
}

func (f *Follower) put(r Row) {
	if r.Version <= f.versions[r.Key] {
		return
	}
	if r.Removed {
		delete(f.versions, r.Key)
		if f.hadLost && f.options.Now()-f.back < returning {
			f.options.Missing(r.Key)
			return
		}
	} else {
		f.versions[r.Key] = r.Version
	}
	f.options.Put(r)
}
