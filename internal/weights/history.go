package weights

import (
	"context"
	"encoding/json"
	"errors"
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

// maxStoreMillis bounds times of the store, before and after its origin, in milliseconds.
const maxStoreMillis = int64(100 * 365 * 24 * time.Hour / time.Millisecond)

// ErrInvalidHistory means that the stored record has entries that cannot be decoded or
// used.
var ErrInvalidHistory = errors.New("weights: invalid version history")

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

// Reset takes the stored record for lost: the store has come back from an older copy.
func (h *History) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.saved)
}

// Load merges the stored record into the catalog. If some or all of it is invalid, it
// merges the rest and returns ErrInvalidHistory.
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
	var list []json.RawMessage
	if err := json.Unmarshal(rec.Value, &list); err != nil {
		return rec, fmt.Errorf("%w: %w", ErrInvalidHistory, err)
	}
	now := h.now()
	var invalid error
	for _, raw := range list {
		var r versionRecord
		if err := json.Unmarshal(raw, &r); err != nil {
			invalid = fmt.Errorf("%w: %w", ErrInvalidHistory, err)
			continue
		}
		if r.Model == "" || r.Version < 1 || r.At < -maxStoreMillis || r.At > maxStoreMillis {
			invalid = fmt.Errorf("%w: version %d of model %q at %d ms", ErrInvalidHistory, r.Version, r.Model, r.At)
			continue
		}
		h.catalog.MergeTargetVersion(r.Model, r.Version, min(now, now-(rec.Now-time.Duration(r.At)*time.Millisecond)))
		h.saved[r.Model] = max(h.saved[r.Model], r.Version)
	}
	return rec, invalid
}

// Save updates the stored record if it lacks the target version of a model. It replaces
// an invalid record and then returns ErrInvalidHistory.
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
	rec, readErr := h.read(ctx)
	if readErr != nil && !errors.Is(readErr, ErrInvalidHistory) {
		return readErr
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
	return readErr
}
