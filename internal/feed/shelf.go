package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// margin is how much older than two calls an answer of the store may be to be
	// handed on: the way to the store and back.
	margin = 300 * time.Millisecond
	// removedKept is how many removed rows are remembered for other VMs.
	removedKept = 256
)

// shelf holds the rows of a table for other VMs. It is safe for concurrent use.
type shelf struct {
	now func() time.Duration
	// fresh is the oldest answer of the store that is handed on.
	fresh time.Duration

	mu   sync.Mutex // guards the fields below
	rows map[string]Row
	// removed counts the removed rows in rows; those up to floor are forgotten.
	removed int
	floor   int64
	cursor  int64
	whole   bool
	// asked is when the store was asked for the newest answer, and direct
	// whether by this VM.
	asked  time.Duration
	direct bool
	// changed is closed and replaced with each answer.
	changed chan struct{}
}

func newShelf(now func() time.Duration, fresh time.Duration) *shelf {
	return &shelf{now: now, fresh: fresh, rows: make(map[string]Row), changed: make(chan struct{})}
}

func (s *shelf) version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cursor
}

func (s *shelf) isDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}

// keys returns the keys of the rows that exist.
func (s *shelf) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key, r := range s.rows {
		if !r.Removed {
			out = append(out, key)
		}
	}
	return out
}

// put takes in a row and reports whether it is newer than what was known.
func (s *shelf) put(r Row) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.rows[r.Key]
	if known && r.Version <= old.Version {
		return false
	}
	if old.Removed {
		s.removed--
	}
	s.rows[r.Key] = r
	if r.Removed {
		s.removed++
	}
	if s.removed > removedKept {
		s.forget()
	}
	// A row that was never known and is gone changes nothing.
	return known || !r.Removed
}

// forget drops the older half of the removed rows.
func (s *shelf) forget() {
	var gone []Row
	for _, r := range s.rows {
		if r.Removed {
			gone = append(gone, r)
		}
	}
	slices.SortFunc(gone, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	for _, r := range gone[:len(gone)/2] {
		delete(s.rows, r.Key)
		s.removed--
		s.floor = max(s.floor, r.Version)
	}
}

// advance ends an answer.
func (s *shelf) advance(version int64, asked time.Duration, direct bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cursor, s.whole, s.direct = max(s.cursor, version), true, direct
	s.asked = max(s.asked, asked)
	close(s.changed)
	s.changed = make(chan struct{})
}

// fail ends the handing on until the store answers again.
func (s *shelf) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct = false
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve waits for the next answer, or for rows that the other VM lacks.
func (s *shelf) serve(ctx context.Context, all bool, after int64, wait time.Duration) (Page, error) {
	arrived := s.now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waited := false; ; waited = true {
		page, changed, err := s.page(all, after, arrived)
		if err != nil || all || waited || len(page.Rows) > 0 {
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

func (s *shelf) page(all bool, after int64, arrived time.Duration) (Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.whole || !s.direct || s.now()-s.asked > s.fresh || after > s.cursor {
		return Page{}, nil, ErrNotCurrent
	}
	if !all && after < s.floor {
		return Page{}, nil, ErrHistoryDropped
	}
	page := Page{Version: s.cursor, Since: s.asked - arrived}
	for _, r := range s.rows {
		if all && !r.Removed || !all && r.Version > after {
			page.Rows = append(page.Rows, r)
		}
	}
	slices.SortFunc(page.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return page, s.changed, nil
}
