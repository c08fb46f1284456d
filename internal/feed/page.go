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

// ErrOldGeneration means that a response is of an earlier generation of the store than one
// before it.
var ErrOldGeneration = errors.New("feed: response of an earlier generation of the store")

// MaxGeneration is the highest generation of a store.
const MaxGeneration = 1 << 20

// Cursor is a position in the changes of a store. The generation rises each time the store
// comes back from an older copy of its contents. Versions are comparable within one
// generation only: those after the copy are given out again.
type Cursor struct {
	Generation int64
	Version    int64
}

// GenerationUnknown is the generation of a cursor whose sender did not state it.
const GenerationUnknown = -1

// Row is one row of the table. Value is nil if the row was removed.
type Row struct {
	Key     string
	Version int64
	Removed bool
	// Lapsed marks a row that was removed at a time when its writer may have been
	// unable to reach the store, and that may come back.
	Lapsed bool
	Value  []byte
	// Generation is that of the store. It is that of the page, and not sent with each row.
	Generation int64 `cbor:"-"`
	// Restored marks a row of the copy that the store came back from. It may be older than
	// what was known before.
	Restored bool `cbor:"-"`
}

// Page is the response to a read of a table.
type Page struct {
	Rows []Row
	// Version is that of the newest change that the response includes, and Generation that
	// of the store.
	Version    int64
	Generation int64
	// Whole is set if Rows holds all rows, though only changes may have been asked for.
	Whole bool
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
	// Changes returns the rows that changed after a position. It waits up to wait
	// for a change. The page may be of a later generation, and then holds all rows only
	// if it says so.
	Changes(ctx context.Context, after Cursor, wait time.Duration) (Page, error)
}
