package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

const (
	// restoreGrace is how long after a restore of the store its responses do not confirm the
	// configuration: lost rows may not yet have been written again.
	restoreGrace = 2 * time.Second
	// generationRecordName begins the name of the store's record of when a generation was
	// first seen.
	generationRecordName = "generation"
	// rejoinSpread is the time over which VMs write their rows again after a restore of the
	// store: 39 a second with 390 VMs.
	rejoinSpread = 10 * time.Second
	// maxRejoinDelay bounds the exponential backoff between attempts.
	maxRejoinDelay = 4 * time.Second
	// revisionsPerGeneration is the number of revisions of rollout orders in each generation
	// of the store.
	revisionsPerGeneration = 1 << 40
)

// orderRevision returns the revision of a rollout order in a row: a later one is higher, also
// after the versions of rows have fallen.
func orderRevision(r feed.Row) int64 { return r.Generation*revisionsPerGeneration + r.Version }

// isWrittenAgain reports whether an order is one that was known with a revision of an earlier
// generation: its row was in the copy, or has been written again since.
func isWrittenAgain(revision int64, to string, o rollout.Order) bool {
	return revision > 0 && to == o.To && revision/revisionsPerGeneration < o.Revision/revisionsPerGeneration
}

// restores tracks the generation of the store, which rises each time the store comes back
// from an older copy of its contents. It is safe for concurrent use.
type restores struct {
	mu         sync.Mutex // guards the fields below
	known      bool
	generation int64
	// restored is set once the generation has risen. restoredAt is when it last did, zero once
	// the configuration has been confirmed since.
	restored   bool
	restoredAt time.Duration
	// confirmsFrom is when the store may first be asked for a response that confirms the
	// configuration. heldBackAt is when it was asked for the newest one before.
	confirmsFrom time.Duration
	heldBackAt   time.Duration
	// catalogs holds the versions of the configurations in the store, by row.
	catalogs map[string]int64
	// outdatedLogged is set once the store is known to hold an older configuration than the
	// one in force.
	outdatedLogged bool
}

// set records the generation, and reports whether it is the first one or higher than the one
// known. A process that starts does not know whether it has just risen.
func (s *restores) set(generation int64, now time.Duration) (first, risen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, risen = !s.known, s.known && generation > s.generation
	s.known, s.generation = true, max(s.generation, generation)
	if risen {
		s.restored, s.restoredAt, s.outdatedLogged = true, now, false
	}
	if (first || risen) && generation > 0 {
		s.confirmsFrom, s.heldBackAt = now+restoreGrace, 0
	}
	return first, risen
}

// setAge records for how long a generation has been known. It returns when the store was
// asked for a response that confirms the configuration after all, or 0.
func (s *restores) setAge(generation int64, age, now time.Duration) (askedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != s.generation {
		return 0
	}
	if s.confirmsFrom = min(s.confirmsFrom, now-age+restoreGrace); s.heldBackAt < s.confirmsFrom {
		return 0
	}
	return s.heldBackAt
}

// mayConfirm reports whether a response for which the store was asked at a time confirms the
// configuration.
func (s *restores) mayConfirm(askedAt time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if askedAt >= s.confirmsFrom {
		return true
	}
	s.heldBackAt = max(s.heldBackAt, askedAt)
	return false
}

func (s *restores) isCurrent(generation int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return generation == s.generation
}

// setCatalog records the version of the configuration in a row, 0 if the row is gone.
func (s *restores) setCatalog(row string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version == 0 {
		delete(s.catalogs, row)
		return
	}
	if s.catalogs == nil {
		s.catalogs = make(map[string]int64)
	}
	s.catalogs[row] = version
}

// lacks reports whether a restored store has no configuration as new as the one in force, and
// whether that is news.
func (s *restores) lacks(c *catalog.Catalog) (lacks, news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.restored || c == nil {
		return false, false
	}
	for _, version := range s.catalogs {
		if version >= c.Version() {
			return false, false
		}
	}
	news, s.outdatedLogged = !s.outdatedLogged, true
	return true, news
}

// confirm returns the time since the last restore if the configuration had not been confirmed
// since, and 0 otherwise.
func (s *restores) confirm(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restoredAt == 0 {
		return 0
	}
	since := now - s.restoredAt
	s.restoredAt = 0
	return since
}

// setStoreGeneration handles the generation of the store that a response states. What this VM
// has written may be lost if it has risen.
func (g *Gateway) setStoreGeneration(ctx context.Context, generation int64) {
	g.orderLease.SetGeneration(generation)
	g.metrics.setGauge("store_generation", generation)
	first, risen := g.restores.set(generation, g.now())
	recordName := fmt.Sprintf("%s@%d", generationRecordName, generation)
	// The caller is background work itself, for which Close waits.
	switch {
	case generation == 0:
	case first:
		g.background.Go(func() { g.readGenerationAge(ctx, recordName, generation, rand.N(restoreGrace/2)) })
	case risen && g.ownsKey(recordName):
		g.background.Go(func() { g.readGenerationAge(ctx, recordName, generation, 0) })
	}
	if !risen {
		return
	}
	g.metrics.incrementCounter("store_restores")
	g.quarantineRecord.reset()
	g.background.Go(func() {
		g.history.Reset()
		g.rejoin(ctx, generation)
	})
}

// readGenerationAge reads from the store since when a generation has been known. If the record
// is still missing after a delay, it records that the generation is known from now on.
func (g *Gateway) readGenerationAge(ctx context.Context, recordName string, generation int64, delay time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, restoreGrace)
	defer cancel()
	age, err := g.generationAge(ctx, recordName, generation, delay)
	if err != nil {
		event.GenerationReadFailed.Log(g.log, err, log.Fields{"storegeneration": generation})
		return
	}
	if askedAt := g.restores.setAge(generation, age, g.now()); askedAt > 0 {
		g.confirmCatalog(askedAt)
	}
}

func (g *Gateway) generationAge(ctx context.Context, recordName string, generation int64, delay time.Duration) (time.Duration, error) {
	store := g.adapter.Store()
	rec, err := store.Read(ctx, recordName)
	if err == nil && rec.Version == 0 && delay > 0 {
		// Another VM that starts may write it.
		timer.Sleep(ctx, delay)
		rec, err = store.Read(ctx, recordName)
	}
	switch {
	case err != nil:
		return 0, fmt.Errorf("gateway: generation of the store: %w", err)
	case rec.Generation != generation:
		return 0, lease.ErrGenerationChanged
	case rec.Version != 0:
		since, err := strconv.ParseInt(string(rec.Value), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("gateway: generation of the store: %w", err)
		}
		return max(0, rec.Now-time.Duration(since)*time.Millisecond), nil
	}
	_, err = store.CompareAndSwap(ctx, recordName, strconv.AppendInt(nil, rec.Now.Milliseconds(), 10), 0)
	if err != nil && !errors.Is(err, lease.ErrConflict) {
		return 0, fmt.Errorf("gateway: generation of the store: %w", err)
	}
	return 0, nil
}

// rejoin writes the row of this VM again, unless the generation rises again meanwhile.
func (g *Gateway) rejoin(ctx context.Context, generation int64) {
	began := g.now()
	delay := rand.N(rejoinSpread)
	for timer.Sleep(ctx, delay) && g.restores.isCurrent(generation) && !g.draining.Load() {
		writeCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		err := g.adapter.Store().Join(writeCtx, g.settings.VM, g.settings.PeerAddress)
		cancel()
		if err == nil {
			event.RowsRewritten.Log(g.log, nil, log.Fields{"storegeneration": generation, "after": (g.now() - began).Milliseconds()})
			return
		}
		event.VMListFailed.Log(g.log, err, log.Fields{"step": "rejoin"})
		delay = min(max(2*delay, joinTimeout/8), maxRejoinDelay)
	}
}

// confirmDeclarations records that the store was asked at a time and had nothing newer than
// what is applied. That does not confirm the configuration while a restored store lacks the
// one in force, or may lack one that no VM has seen.
func (g *Gateway) confirmDeclarations(askedAt time.Duration) {
	g.rollouts.confirmTable(askedAt)
	g.confirmCatalog(askedAt)
}

func (g *Gateway) confirmCatalog(askedAt time.Duration) {
	if !g.restores.mayConfirm(askedAt) {
		return
	}
	c := g.catalog.Current()
	if lacks, news := g.restores.lacks(c); lacks {
		if news {
			event.ConfigLost.Log(g.log, nil, log.Fields{"generation": c.Version()})
		}
		return
	}
	g.catalog.RecordProof(askedAt)
	if since := g.restores.confirm(g.now()); since > 0 {
		event.ConfigConfirmed.Log(g.log, nil, log.Fields{"after": since.Milliseconds()})
	}
}

// loseDeclaration handles a row that is missing from a restored store. What it declared stays
// in force.
func (g *Gateway) loseDeclaration(row string) { g.restores.setCatalog(row, 0) }
