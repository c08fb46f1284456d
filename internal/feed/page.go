package feed

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryDropped means that the changes since a version are no longer known.
var ErrHistoryDropped = errors.New("feed: history is gone")

// ErrNotCurrent means that a VM cannot hand on what it does not know itself.
var ErrNotCurrent = errors.New("feed: not read from the store lately")

// Row is one row of the table. Value is nil where it was removed.
type Row struct {
	Key     string
	Version int64
	Removed bool
	// Lapsed rows were removed while their writer may not have reached the
	// store, and may come back.
	Lapsed bool
	Value  []byte
}

// Page is an answer about a table.
type Page struct {
	Rows []Row
	// Version is that of the newest change that the answer takes into account.
	Version int64
	// Since is when the store was asked, from when the answer was asked for. It
	// is negative where another VM had asked the store before.
	Since time.Duration
}

// Source reads the table.
type Source interface {
	Snapshot(ctx context.Context) (Page, error)
	Changes(ctx context.Context, version int64, wait time.Duration) (Page, error)
}
