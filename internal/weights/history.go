package weights

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/lease"
)

// storeTimeout bounds one call to the store, which may stop answering; it is
// several times the duration of a slow call.
const storeTimeout = time.Second

// historyRecordName is the name of the store's record of target versions and the
// times at which they became known.
const historyRecordName = "named"

// versionRecord is one target version in the stored record. At is when it became
// known, in the store's time, in milliseconds.
type versionRecord struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	At      int64  `json:"at"`
}

// History persists in the store when target versions became known, so that a VM
// that starts knows how long the weights of an engine have been outdated. It is
// safe for concurrent use.
type History struct {
	store   lease.Store
	catalog *catalog.Tracker
	now     func() time.Duration

	mu sync.Mutex // held across calls to the store; guards the field below
	// saved maps each model to its newest target version in the stored record.
	saved map[string]int64
}

// NewHistory returns a History backed by a store. The clock now must keep
// running while the machine is suspended.
func NewHistory(store lease.Store, c *catalog.Tracker, now func() time.Duration) *History {
	return &History{store: store, catalog: c, now: now, saved: make(map[string]int64)}
}

// Load merges the stored record into the catalog.
func (h *History) Load(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.read(ctx)
	return err
}

func (h *History) read(ctx context.Context) (lease.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := h.store.Read(ctx, historyRecordName)
	if err != nil {
		return rec, fmt.Errorf("weights: version history: %w", err)
	}
	if rec.Version == 0 {
		return rec, nil
	}
	var list []versionRecord
	if err := json.Unmarshal(rec.Value, &list); err != nil {
		return rec, fmt.Errorf("weights: version history: %w", err)
	}
	now := h.now()
	for _, r := range list {
		h.catalog.MergeTargetVersion(r.Model, r.Version, now-(rec.Now-time.Duration(r.At)*time.Millisecond))
		h.saved[r.Model] = max(h.saved[r.Model], r.Version)
	}
	return rec, nil
}

// Save updates the stored record if it lacks the target version of a model.
func (h *History) Save(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	outdated := false
	for model, target := range h.catalog.TargetVersions() {
		outdated = outdated || target.Version > h.saved[model]
	}
	if !outdated {
		return nil
	}
	rec, err := h.read(ctx)
	if err != nil {
		return err
	}
	now := h.now()
	var list []versionRecord
	for model, history := range h.catalog.TargetVersionHistory() {
		for _, target := range history {
			list = append(list, versionRecord{Model: model, Version: target.Version, At: (rec.Now - (now - target.LearnedAt)).Milliseconds()})
		}
	}
	value, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("weights: version history: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := h.store.CompareAndSwap(ctx, historyRecordName, value, rec.Version); err != nil {
		return fmt.Errorf("weights: version history: %w", err)
	}
	for _, r := range list {
		h.saved[r.Model] = max(h.saved[r.Model], r.Version)
	}
	return nil
}
