package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// roundTripAllowance is how much older than two calls a response of the store
	// may be and still be served: the round trip to the store.
	roundTripAllowance = 300 * time.Millisecond
	// maxRemovedRows bounds the removed rows that are kept for other VMs.
	maxRemovedRows = 256
)

// replica is the local copy of a table, which it serves to other VMs. It is safe
// for concurrent use.
type replica struct {
	now func() time.Duration
	// maxAge is the greatest age of a response of the store that is served.
	maxAge time.Duration

	mu   sync.Mutex // guards the fields below
	rows map[string]Row
	// removedCount is the number of removed rows in rows. Removed rows up to the
	// version compactedTo may be missing from rows.
	removedCount int
	compactedTo  int64
	cursor       Cursor
	complete     bool
	// askedAt is when the store was asked for the newest response, and fromStore
	// whether this VM asked it.
	askedAt   time.Duration
	fromStore bool
	// changed is closed and replaced whenever a response arrives or serving stops.
	changed chan struct{}
}

func newReplica(now func() time.Duration, maxAge time.Duration) *replica {
	return &replica{now: now, maxAge: maxAge, rows: make(map[string]Row), changed: make(chan struct{})}
}

func (r *replica) position() Cursor {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cursor
}

// begin discards the rows before those of a whole table of a later generation, or before the
// first ones, are stored. It returns the rows of before. Which rows were removed up to the
// version is not known.
func (r *replica) begin(c Cursor) map[string]Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.rows
	r.rows, r.removedCount, r.compactedTo = make(map[string]Row), 0, c.Version
	r.cursor, r.complete = Cursor{Generation: c.Generation}, false
	return before
}

func (r *replica) isFromStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fromStore
}

// liveKeys returns the keys of the rows that are not removed.
func (r *replica) liveKeys() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keys []string
	for key, row := range r.rows {
		if !row.Removed {
			keys = append(keys, key)
		}
	}
	return keys
}

// put stores a row and reports whether it changes the table.
func (r *replica) put(row Row) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.rows[row.Key]
	if known && row.Version <= old.Version {
		return false
	}
	if old.Removed {
		r.removedCount--
	}
	r.rows[row.Key] = row
	if row.Removed {
		r.removedCount++
	}
	if r.removedCount > maxRemovedRows {
		r.compact()
	}
	// The removal of a row that was never known changes nothing.
	return known || !row.Removed
}

// compact deletes the older half of the removed rows. The caller must hold r.mu.
func (r *replica) compact() {
	var removed []Row
	for _, row := range r.rows {
		if row.Removed {
			removed = append(removed, row)
		}
	}
	slices.SortFunc(removed, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, row := range removed[:len(removed)/2] {
		delete(r.rows, row.Key)
		r.removedCount--
		r.compactedTo = max(r.compactedTo, row.Version)
	}
}

// advance records that all rows of a response are stored.
func (r *replica) advance(version int64, askedAt time.Duration, fromStore bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cursor.Version, r.complete, r.fromStore = max(r.cursor.Version, version), true, fromStore
	r.askedAt = max(r.askedAt, askedAt)
	close(r.changed)
	r.changed = make(chan struct{})
}

// stopServing stops serving until the next response of the store.
func (r *replica) stopServing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fromStore = false
	close(r.changed)
	r.changed = make(chan struct{})
}

// serve returns all rows, or those that changed after a position. If none did, it
// waits up to wait for the next response of the store. It returns all rows after a position
// whose changes are not known any more, such as one of an earlier generation; a position
// without a generation is of a sender that expects ErrHistoryDropped then.
func (r *replica) serve(ctx context.Context, all bool, after Cursor, wait time.Duration) (Page, error) {
	arrived := r.now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; waited = true {
		page, changed, err := r.page(all, after, arrived)
		if err != nil || page.Whole || waited || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

func (r *replica) page(all bool, after Cursor, arrived time.Duration) (Page, chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stated := after.Generation != GenerationUnknown
	if !stated {
		after.Generation = r.cursor.Generation
	}
	sameGeneration := after.Generation == r.cursor.Generation
	newer := after.Generation > r.cursor.Generation || sameGeneration && after.Version > r.cursor.Version
	if !r.complete || !r.fromStore || r.now()-r.askedAt > r.maxAge || newer {
		return Page{}, nil, ErrNotCurrent
	}
	dropped := after.Version < r.compactedTo
	if dropped && !all && !stated {
		return Page{}, nil, ErrHistoryDropped
	}
	whole := all || !sameGeneration || dropped
	page := Page{Version: r.cursor.Version, Generation: r.cursor.Generation, Whole: whole, Since: r.askedAt - arrived}
	for _, row := range r.rows {
		if whole && !row.Removed || !whole && row.Version > after.Version {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, r.changed, nil
}
