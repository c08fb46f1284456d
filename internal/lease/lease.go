package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

// ErrConflict is returned if a record is not at the expected version.
var ErrConflict = errors.New("lease: record has changed")

// ErrGenerationChanged is returned if the store has come back from an older copy of its
// contents during a call, which is then not settled.
var ErrGenerationChanged = errors.New("lease: the generation of the store has changed")

// Record is a versioned record of a Store.
type Record struct {
	Value []byte
	// Version is zero if the record does not exist.
	Version int64
	// Generation is that of the store: it rises each time the store comes back from an older
	// copy. Versions are comparable within one generation only.
	Generation int64
	// Now is the store's monotonic time when it replied.
	Now time.Duration
}

// Store keeps versioned records.
type Store interface {
	// Read returns the record of the given name, with Version zero if there is none.
	Read(ctx context.Context, name string) (Record, error)
	// CompareAndSwap replaces a record if it is at the given version, and returns
	// ErrConflict otherwise. Version zero creates the record.
	CompareAndSwap(ctx context.Context, name string, value []byte, version int64) (Record, error)
}

// Timing holds the durations that govern a lease.
type Timing struct {
	// TTL is how long a lease lasts after it is granted or renewed.
	TTL time.Duration
	// ExpiryMargin is how long before the end of its lease the holder stops acting
	// on it.
	ExpiryMargin time.Duration
	// HandoverDelay is the minimum time between the end of one holder's lease
	// and the grant to another holder.
	HandoverDelay time.Duration
}

// grant is the JSON value of the record.
type grant struct {
	Holder string `json:"holder"`
	// Fence is the fencing token. It increases with each grant to another holder or
	// process, and stays the same on renewal.
	Fence int64 `json:"fence"`
	// Until is the end of the lease in the store's time, in milliseconds.
	Until int64 `json:"until"`
}

// fencesPerGeneration is the number of fencing tokens in each generation of the store. Those
// of a later one are higher, although the record that had the last one may be lost.
const fencesPerGeneration = 1 << 32

// baseFence returns the number below the first fencing token of a generation.
func baseFence(generation int64) int64 { return generation * fencesPerGeneration }

// plausible reports whether a holder can have written the grant: each new fencing token
// takes a write of the record, and no lease lasts longer than ttl from its record on.
func (g grant) plausible(rec Record, ttl time.Duration) bool {
	n := g.Fence - baseFence(rec.Generation)
	return g.Holder != "" && n > 0 && n <= rec.Version && g.Until >= 0 && g.Until <= (rec.Now+ttl).Milliseconds()
}

// Lease is one VM's view of the lease on a role. It is safe for concurrent use.
type Lease struct {
	store  Store
	name   string
	holder string
	timing Timing
	now    func() time.Duration

	storeMu sync.Mutex // held during calls to the store
	mu      sync.Mutex // guards the fields below
	// expires is when this VM stops acting on the lease; zero if it does not hold it.
	expires time.Duration
	fence   int64
	// version is the version of the record that this VM last wrote.
	version int64
	// nextAttempt is the earliest time for another attempt to acquire the lease.
	nextAttempt time.Duration
	// unreadableVersion is the version of a record that substituteGrant has replaced,
	// first seen at unreadableSince in the store's time.
	unreadableVersion int64
	unreadableSince   time.Duration
	// generation is the latest known generation of the store, and generationSince when this
	// VM learned of it.
	generation      int64
	generationSince time.Duration
}

// New returns a lease that is not held. The clock now must keep running while
// the VM is suspended.
func New(store Store, name, holder string, timing Timing, now func() time.Duration) *Lease {
	return &Lease{store: store, name: name, holder: holder, timing: timing, now: now}
}

// Held returns the fencing token and reports whether this VM may still act as the
// holder of the lease.
func (l *Lease) Held() (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.now() < l.expires
}

// SetGeneration tells the lease the generation of the store. If it has risen, the lease ends:
// the grant may have been lost.
func (l *Lease) SetGeneration(generation int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if generation <= l.generation {
		return
	}
	l.generation, l.generationSince = generation, l.now()
	l.expires, l.nextAttempt, l.unreadableVersion = 0, 0, 0
}

// recordName returns the name of the record in a generation of the store. Each has its own:
// a write that the store makes late, in a later generation, changes no grant of that one,
// whatever its version.
func (l *Lease) recordName(generation int64) string {
	if generation == 0 {
		return l.name
	}
	return fmt.Sprintf("%s@%d", l.name, generation)
}

// checkGeneration returns an error if a response of the store is of another generation than
// the call.
func (l *Lease) checkGeneration(rec Record, generation int64) error {
	l.SetGeneration(rec.Generation)
	if rec.Generation != generation {
		return fmt.Errorf("%w: %d after %d", ErrGenerationChanged, rec.Generation, generation)
	}
	return nil
}

// AcquireOrRenew acquires the lease if it is free, or renews it once half or less of
// its time is left. It reports whether this VM holds the lease.
func (l *Lease) AcquireOrRenew(ctx context.Context) (bool, error) {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	l.mu.Lock()
	now := l.now()
	held, nextAttempt, fence, generation := now < l.expires, l.nextAttempt, l.fence, l.generation
	renewalNotDue := l.expires-now > (l.timing.TTL-l.timing.ExpiryMargin)/2
	l.mu.Unlock()
	if held && renewalNotDue {
		return true, nil
	}
	if !held && now < nextAttempt {
		return false, nil
	}
	if err := l.acquire(ctx, held, fence, generation); err != nil {
		_, held := l.Held()
		return held, err
	}
	_, held = l.Held()
	return held, nil
}

// acquire reads the record and replaces it if the lease is free or already held by
// this VM.
func (l *Lease) acquire(ctx context.Context, held bool, fence, generation int64) error {
	// A renewal that takes longer than half the TTL would complete after the lease has
	// expired.
	ctx, cancel := context.WithTimeout(ctx, l.timing.TTL/2)
	defer cancel()
	sentAt := l.now()
	rec, err := l.store.Read(ctx, l.recordName(generation))
	if err != nil {
		return fmt.Errorf("lease %s: read record: %w", l.name, err)
	}
	if err := l.checkGeneration(rec, generation); err != nil {
		return err
	}
	var g grant
	if rec.Version == 0 {
		if until := l.freeFrom(generation); l.now() < until {
			l.mu.Lock()
			l.nextAttempt = until
			l.mu.Unlock()
			return nil
		}
	} else {
		if err := json.Unmarshal(rec.Value, &g); err != nil || !g.plausible(rec, l.timing.TTL) {
			g = l.substituteGrant(rec)
		}
	}
	heldByThisVM := g.Holder == l.holder
	if freeAt := time.Duration(g.Until)*time.Millisecond + l.timing.HandoverDelay; !heldByThisVM && rec.Version != 0 && rec.Now < freeAt {
		l.mu.Lock()
		l.expires, l.nextAttempt = 0, l.now()+freeAt-rec.Now
		l.mu.Unlock()
		return nil
	}
	nextFence := max(g.Fence, baseFence(generation)) + 1
	if held && heldByThisVM && g.Fence == fence {
		nextFence = fence
	}
	value, err := json.Marshal(grant{Holder: l.holder, Fence: nextFence, Until: (rec.Now + l.timing.TTL).Milliseconds()})
	if err != nil {
		return fmt.Errorf("lease %s: encode record: %w", l.name, err)
	}
	written, err := l.store.CompareAndSwap(ctx, l.recordName(generation), value, rec.Version)
	if err == nil {
		err = l.checkGeneration(written, generation)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.generation != generation {
		err = ErrGenerationChanged
	}
	if err != nil {
		if !held && l.generation == generation {
			l.nextAttempt = l.now() + l.timing.TTL/4
		}
		return fmt.Errorf("lease %s: replace record: %w", l.name, err)
	}
	// The end in the record counts from the store's time when it replied to the read,
	// which cannot be earlier than sentAt, so this VM stops before that end.
	l.version, l.fence = written.Version, nextFence
	l.expires = sentAt + l.timing.TTL - l.timing.ExpiryMargin
	return nil
}

// freeFrom returns from when the lease may be acquired in a generation without a record: then
// any grant that was lost with an earlier generation has run out.
func (l *Lease) freeFrom(generation int64) time.Duration {
	if generation == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generationSince + l.timing.TTL + l.timing.HandoverDelay
}

// substituteGrant returns a grant to use in place of a record that cannot be decoded or
// that no holder can have written.
// The lease of the record's writer ends no later than one TTL after the record was
// first seen, and its fencing token is below the version of the record.
func (l *Lease) substituteGrant(rec Record) grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadableVersion != rec.Version {
		l.unreadableVersion, l.unreadableSince = rec.Version, rec.Now
	}
	return grant{Fence: baseFence(rec.Generation) + rec.Version, Until: (l.unreadableSince + l.timing.TTL).Milliseconds()}
}

// Release ends the lease if it is held, so that the next holder has to wait only for
// HandoverDelay.
func (l *Lease) Release(ctx context.Context) error {
	l.storeMu.Lock()
	defer l.storeMu.Unlock()
	l.mu.Lock()
	held, fence, version, generation := l.now() < l.expires, l.fence, l.version, l.generation
	l.expires = 0
	l.mu.Unlock()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.timing.TTL/2)
	defer cancel()
	rec, err := l.store.Read(ctx, l.recordName(generation))
	if err == nil {
		err = l.checkGeneration(rec, generation)
	}
	if err != nil {
		return fmt.Errorf("lease %s: release: %w", l.name, err)
	}
	value, err := json.Marshal(grant{Holder: l.holder, Fence: fence, Until: rec.Now.Milliseconds()})
	if err != nil {
		return fmt.Errorf("lease %s: release: %w", l.name, err)
	}
	if _, err := l.store.CompareAndSwap(ctx, l.recordName(generation), value, version); err != nil {
		return fmt.Errorf("lease %s: release: %w", l.name, err)
	}
	return nil
}
