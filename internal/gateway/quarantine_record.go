package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/marjoramrock/marjoramrock/internal/quarantine"
)

const (
	// quarantineRecordName is the name of the store's record of quarantines.
	quarantineRecordName = "quarantines"
	// quarantineStoreTimeout bounds one call to the store.
	quarantineStoreTimeout = time.Second
	// minSaveDelay and maxSaveDelay bound the time between two tries to write the
	// record while the store is unreachable.
	minSaveDelay = time.Second
	maxSaveDelay = 15 * time.Second
	// refreshPeriod is how much later than the record says a part may have been asked for.
	// It is shorter than the time after which a part that nobody asks for is forgotten.
	refreshPeriod = 4 * time.Minute
)

// storedQuarantine is one quarantine in the store's record. Times are in milliseconds
// of the store's clock.
type storedQuarantine struct {
	Part  string `json:"part"`
	Since int64  `json:"since"`
	Until int64  `json:"until"`
	Hold  int64  `json:"hold"`
	Asked int64  `json:"asked"`
}

// savedQuarantine is what a write of the record depends on.
type savedQuarantine struct{ hold, askedAt time.Duration }

// upToDate reports whether a record that was read or written as saved still does for the
// current quarantines.
func upToDate(saved, current map[string]savedQuarantine) bool {
	return maps.EqualFunc(saved, current, func(s, c savedQuarantine) bool {
		return s.hold == c.hold && c.askedAt-s.askedAt < refreshPeriod
	})
}

// quarantineRecord keeps quarantines in the store, so that they survive the end of all
// VMs. It is safe for concurrent use.
type quarantineRecord struct {
	mu sync.Mutex // guards the fields below
	// saved holds the quarantines in the record as last read or written; nil if the record
	// is not known.
	saved map[string]savedQuarantine
	// saving is set while a write runs. After a failure the next one waits until
	// retryAt.
	saving bool
	// lost is set if the store has lost what a write in progress may have written.
	lost       bool
	retryAt    time.Duration
	retryDelay time.Duration
}

// begin reports whether a write should start, and marks it as running.
func (r *quarantineRecord) begin(current map[string]savedQuarantine, now time.Duration, isOwner func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.saving || now < r.retryAt || upToDate(r.saved, current) || !isOwner() {
		return false
	}
	r.saving = true
	return true
}

// reset takes the record for lost, also if a write of it is in progress.
func (r *quarantineRecord) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saved, r.lost = nil, r.saving
}

func (r *quarantineRecord) end(saved map[string]savedQuarantine, err error, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saving = false
	if err != nil {
		r.retryDelay = min(max(2*r.retryDelay, minSaveDelay), maxSaveDelay)
		r.retryAt = now + r.retryDelay
		return
	}
	r.saved, r.retryDelay = saved, 0
	if r.lost {
		r.saved, r.lost = nil, false
	}
}

func savedOf(active []quarantine.Quarantine) map[string]savedQuarantine {
	out := make(map[string]savedQuarantine, len(active))
	for _, q := range active {
		out[q.Part] = savedQuarantine{hold: q.Hold, askedAt: q.AskedAt}
	}
	return out
}

// saveQuarantines writes the quarantines to the store if they have changed and this VM
// is the one to do so.
func (g *Gateway) saveQuarantines(ctx context.Context) {
	if !g.quarantineRecord.begin(savedOf(g.quarantine.Active()), g.now(), func() bool { return g.ownsKey(quarantineRecordName) }) {
		return
	}
	g.background.Go(func() {
		saved, err := g.writeQuarantines(ctx)
		if err != nil && ctx.Err() == nil {
			event.QuarantineStoreFailed.Log(g.log, err, nil)
		}
		g.quarantineRecord.end(saved, err, g.now())
	})
}

// loadQuarantines takes over the quarantines in the store.
func (g *Gateway) loadQuarantines(ctx context.Context) error {
	_, stored, err := g.readQuarantines(ctx)
	if err == nil {
		g.quarantineRecord.end(stored, nil, g.now())
	}
	return err
}

func (g *Gateway) readQuarantines(ctx context.Context) (lease.Record, map[string]savedQuarantine, error) {
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	rec, err := g.adapter.Store().Read(ctx, quarantineRecordName)
	if err != nil {
		return rec, nil, fmt.Errorf("gateway: quarantines: %w", err)
	}
	stored := make(map[string]savedQuarantine)
	if rec.Version == 0 {
		return rec, stored, nil
	}
	var list []storedQuarantine
	if err := json.Unmarshal(rec.Value, &list); err != nil {
		// The next write replaces the record.
		event.QuarantineStoreFailed.Log(g.log, fmt.Errorf("decode: %w", err), nil)
		return rec, stored, nil
	}
	now := g.now()
	local := func(ms int64) time.Duration { return now - (rec.Now - time.Duration(ms)*time.Millisecond) }
	for _, s := range list {
		q := quarantine.Quarantine{Part: s.Part, Since: local(s.Since), Until: local(s.Until), Hold: time.Duration(s.Hold) * time.Millisecond, AskedAt: local(s.Asked)}
		stored[q.Part] = savedQuarantine{hold: q.Hold, askedAt: q.AskedAt}
		g.mergeQuarantine(q, "store")
	}
	return rec, stored, nil
}

// writeQuarantines merges the quarantines in the store with those of this VM.
func (g *Gateway) writeQuarantines(ctx context.Context) (map[string]savedQuarantine, error) {
	rec, stored, err := g.readQuarantines(ctx)
	if err != nil {
		return nil, err
	}
	now := g.now()
	active := g.quarantine.Active()
	current := savedOf(active)
	if upToDate(stored, current) {
		return stored, nil
	}
	list := make([]storedQuarantine, 0, len(active))
	for _, q := range active {
		remote := func(at time.Duration) int64 { return (rec.Now + at - now).Milliseconds() }
		list = append(list, storedQuarantine{Part: q.Part, Since: remote(q.Since), Until: remote(q.Until), Hold: q.Hold.Milliseconds(), Asked: remote(q.AskedAt)})
	}
	value, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("gateway: quarantines: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineStoreTimeout)
	defer cancel()
	if _, err := g.adapter.Store().CompareAndSwap(ctx, quarantineRecordName, value, rec.Version); err != nil {
		return nil, fmt.Errorf("gateway: quarantines: %w", err)
	}
	return current, nil
}
