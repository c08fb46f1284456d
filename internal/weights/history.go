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

// storeTimeout bounds a call of the store, which may go silent; it is several
// times what a slow one takes.
const storeTimeout = time.Second

// historyName is the record of when versions were named.
const historyName = "named"

// naming is one version in the record; At is the store's time in milliseconds.
type naming struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	At      int64  `json:"at"`
}

// History keeps in the store when versions were named, so that a VM that starts
// knows how old the weights of engines are. It is safe for concurrent use.
type History struct {
	store   lease.Store
	catalog *catalog.Tracker
	now     func() time.Duration

	mu sync.Mutex // held across calls of the store; guards the field below
	// saved holds the newest version in the record by model.
	saved map[string]int64
}

// NewHistory returns a History over a store. Now must count suspension.
func NewHistory(store lease.Store, c *catalog.Tracker, now func() time.Duration) *History {
	return &History{store: store, catalog: c, now: now, saved: make(map[string]int64)}
}

// Load takes in what the record says.
func (h *History) Load(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.read(ctx)
	return err
}

func (h *History) read(ctx context.Context) (lease.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rec, err := h.store.Read(ctx, historyName)
	if err != nil {
		return rec, fmt.Errorf("history of versions: %w", err)
	}
	if rec.Version == 0 {
		return rec, nil
	}
	var list []naming
	if err := json.Unmarshal(rec.Value, &list); err != nil {
		return rec, fmt.Errorf("history of versions: %w", err)
	}
	now := h.now()
	for _, n := range list {
		h.catalog.MergeTargetVersion(n.Model, n.Version, now-(rec.Now-time.Duration(n.At)*time.Millisecond))
		h.saved[n.Model] = max(h.saved[n.Model], n.Version)
	}
	return rec, nil
}

// Save writes the record if a version was named that it lacks.
func (h *History) Save(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	behind := false
	for model, n := range h.catalog.TargetVersions() {
		behind = behind || n.Version > h.saved[model]
	}
	if !behind {
		return nil
	}
	rec, err := h.read(ctx)
	if err != nil {
		return err
	}
	now := h.now()
	var list []naming
	for model, names := range h.catalog.TargetHistory() {
		for _, n := range names {
			list = append(list, naming{Model: model, Version: n.Version, At: (rec.Now - (now - n.LearnedAt)).Milliseconds()})
		}
	}
	value, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("history of versions: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := h.store.Swap(ctx, historyName, value, rec.Version); err != nil {
		return fmt.Errorf("history of versions: %w", err)
	}
	for _, n := range list {
		h.saved[n.Model] = max(h.saved[n.Model], n.Version)
	}
	return nil
}
