package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrConflict means that a record was not at the expected version.
var ErrConflict = errors.New("lease: record has changed")

// Record is a row of the store.
type Record struct {
	Value []byte
	// Version is zero where the record does not exist.
	Version int64
	// Now is the store's steady clock as of the answer.
	Now time.Duration
}

// Store keeps records.
type Store interface {
	// Read returns a record.
	Read(ctx context.Context, name string) (Record, error)
	// CompareAndSwap replaces a record that is at a version, or returns ErrConflict.
	CompareAndSwap(ctx context.Context, name string, value []byte, version int64) (Record, error)
}

// Timing are the bounds of a lease.
type Timing struct {
	// TTL is how long a renewal holds.
	TTL time.Duration
	// ExpiryMargin is how long before its end the holder stops acting.
	ExpiryMargin time.Duration
	// HandoverDelay is what must pass between two holders' acts.
	HandoverDelay time.Duration
}

// grant is the value of the record.
type grant struct {
	Holder string `json:"holder"`
	// Fence rises with each grant to another holder or process.
	Fence int64 `json:"fence"`
	// Until is the end in the store's time, in milliseconds.
	Until int64 `json:"until"`
}

// Lease is one VM's view of a duty. It is safe for concurrent use.
type Lease struct {
	store  Store
	name   string
	holder string
	times  Timing
	now    func() time.Duration

	calling sync.Mutex // held across calls of the store
	mu      sync.Mutex // guards the fields below
	// until is when this VM stops acting; zero where it holds nothing.
	until   time.Duration
	fence   int64
	version int64
	// again is when another try makes sense.
	again time.Duration
	// oddVersion is that of a record that could not be read, first seen at
	// oddSince in the store's time.
	oddVersion int64
	oddSince   time.Duration
}

// New returns a lease that is not held. Now must count suspension.
func New(store Store, name, holder string, times Timing, now func() time.Duration) *Lease {
	return &Lease{store: store, name: name, holder: holder, times: times, now: now}
}

// Held returns the fencing number while this VM may act.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.now() < l.until
}

// Keep takes the lease or renews it when it is half over, and reports whether
// it is held.
func (l *Lease) Keep(ctx context.Context) (bool, error) {
	l.calling.Lock()
	defer l.calling.Unlock()
	l.mu.Lock()
	now := l.now()
	held, wait, fence := now < l.until, l.again, l.fence
	fresh := l.until-now > (l.times.TTL-l.times.ExpiryMargin)/2
	l.mu.Unlock()
	if held && fresh {
		return true, nil
	}
	if !held && now < wait {
		return false, nil
	}
	if err := l.take(ctx, held, fence); err != nil {
		_, held := l.Held()
		return held, err
	}
	_, held = l.Held()
	return held, nil
}

// take reads the record and replaces it if the duty is free or already ours.
func (l *Lease) take(ctx context.Context, held bool, fence int64) error {
	// A renewal that takes longer than half a life comes too late.
	ctx, cancel := context.WithTimeout(ctx, l.times.TTL/2)
	defer cancel()
	asked := l.now()
	rec, err := l.store.Read(ctx, l.name)
	if err != nil {
		return fmt.Errorf("lease %s: read: %w", l.name, err)
	}
	var g grant
	if rec.Version != 0 {
		if err := json.Unmarshal(rec.Value, &g); err != nil {
			g = l.unreadable(rec)
		}
	}
	mine := g.Holder == l.holder
	if free := time.Duration(g.Until)*time.Millisecond + l.times.HandoverDelay; !mine && rec.Version != 0 && rec.Now < free {
		l.mu.Lock()
		l.until, l.again = 0, l.now()+free-rec.Now
		l.mu.Unlock()
		return nil
	}
	next := g.Fence + 1
	if held && mine && g.Fence == fence {
		next = fence
	}
	value, err := json.Marshal(grant{Holder: l.holder, Fence: next, Until: (rec.Now + l.times.TTL).Milliseconds()})
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.name, err)
	}
	done, err := l.store.CompareAndSwap(ctx, l.name, value, rec.Version)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if !held {
			l.again = l.now() + l.times.TTL/4
		}
		return fmt.Errorf("lease %s: replace: %w", l.name, err)
	}
	// The record's end is reckoned from the answer to the read, which cannot
	// have been made before it was asked for.
	l.version, l.fence = done.Version, next
	l.until = asked + l.times.TTL - l.times.ExpiryMargin
	return nil
}

// unreadable stands in for a record that nobody can read: its writer's lease
// cannot be longer than any other since it was first seen, and its fence is
// below the store's version.
func (l *Lease) unreadable(rec Record) grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.oddVersion != rec.Version {
		l.oddVersion, l.oddSince = rec.Version, rec.Now
	}
	return grant{Fence: rec.Version, Until: (l.oddSince + l.times.TTL).Milliseconds()}
}

// Release ends the lease so that a successor waits for the pause only.
func (l *Lease) Release(ctx context.Context) error {
	l.calling.Lock()
	defer l.calling.Unlock()
	l.mu.Lock()
	held, fence, version := l.now() < l.until, l.fence, l.version
	l.until = 0
	l.mu.Unlock()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.times.TTL/2)
	defer cancel()
	rec, err := l.store.Read(ctx, l.name)
	if err != nil {
		return fmt.Errorf("lease %s: release: %w", l.name, err)
	}
	value, err := json.Marshal(grant{Holder: l.holder, Fence: fence, Until: rec.Now.Milliseconds()})
	if err != nil {
		return fmt.Errorf("lease %s: release: %w", l.name, err)
	}
	if _, err := l.store.CompareAndSwap(ctx, l.name, value, version); err != nil {
		return fmt.Errorf("lease %s: release: %w", l.name, err)
	}
	return nil
}
