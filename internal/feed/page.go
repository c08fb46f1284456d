package feed

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryDropped means that the changes since the requested version are no
// longer available; the whole table has to be read again.
var ErrHistoryDropped = errors.New("feed: changes since the requested version are no longer available")

// ErrNotCurrent means that a VM cannot serve a table because its own copy is
// incomplete, outdated or not read from the store.
var ErrNotCurrent = errors.New("feed: table not read from the store recently")

// Row is one row of the table. Value is nil if the row was removed.
type Row struct {
	Key     string
	Version int64
	Removed bool
	// Lapsed marks a row that was removed at a time when its writer may have been
	// unable to reach the store, and that may come back.
	Lapsed bool
	Value  []byte
}

// Page is the response to a read of a table.
type Page struct {
	Rows []Row
	// Version is that of the newest change that the response includes.
	Version int64
	// Since is when the store was asked, relative to when this response was
	// requested. It is negative if another VM had asked the store earlier.
	Since time.Duration
}

// rowOverheadBytes is the size of a row beside its key and value, rounded up.
const rowOverheadBytes = 32

// Size returns the approximate size of the page as a message.
func (p Page) Size() int {
	size := 0
	for _, r := range p.Rows {
		size += rowOverheadBytes + len(r.Key) + len(r.Value)
	}
	return size
}

// Source reads a table, from the store or from another VM.
type Source interface {
	// Snapshot returns all rows.
	Snapshot(ctx context.Context) (Page, error)
	// Changes returns the rows that changed after a version. It waits up to wait
	// for a change.
	Changes(ctx context.Context, version int64, wait time.Duration) (Page, error)
}
