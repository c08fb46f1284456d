package team

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// SlotCount is the number of slots that teams hash to in each zone.
const SlotCount = 32

// Slot is a share of the teams; one VM a zone holds it.
type Slot int

// SlotOf returns the slot of a team.
func SlotOf(name string) Slot { return Slot(xxhash.Sum64String(name) % SlotCount) }

// Ledger holds the buckets of the slots that this VM mints for. Each slot
// has its own lock; no two are held together.
type Ledger struct {
	slots [SlotCount]ledgerSlot
}

type ledgerSlot struct {
	mu sync.Mutex // guards the fields below
	// held is whether this VM may mint for the slot.
	held  bool
	epoch uint64
	// virgin is whether nobody held the slot before, so that buckets may
	// start full.
	virgin  bool
	from    timer.Instant
	buckets map[string]*Bucket
}

// Grant is a holder's answer to a borrower.
type Grant struct {
	// Tokens is the amount lent, possibly zero.
	Tokens float64
	// Wait is the time until the rest could be lent here, if Possible.
	Wait     time.Duration
	Possible bool
}

// Take makes this VM the holder of a slot. Minting starts at an instant, at
// level zero, or full if the slot is virgin.
func (l *Ledger) Take(s Slot, epoch uint64, virgin bool, from timer.Instant) {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.held && slot.epoch == epoch {
		return
	}
	slot.held = true
	slot.epoch = epoch
	slot.virgin = virgin
	slot.from = from
	slot.buckets = make(map[string]*Bucket)
}

// Drop ends minting for a slot at once.
func (l *Ledger) Drop(s Slot) {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.held = false
	slot.buckets = nil
}

// Held reports whether this VM mints for a slot, and under which epoch.
func (l *Ledger) Held(s Slot) (epoch uint64, held bool) {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return slot.epoch, slot.held
}

// with calls f on a team's bucket, if this VM mints for it.
func (l *Ledger) with(now timer.Instant, name string, limits Limits, f func(*Bucket)) bool {
	slot := &l.slots[SlotOf(name)]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if !slot.held {
		return false
	}
	b, ok := slot.buckets[name]
	if !ok {
		b = slot.open(now, limits)
		slot.buckets[name] = b
	}
	b.SetLimits(now, limits)
	f(b)
	return true
}

// open makes a bucket as if it had been minting since the slot was taken.
func (s *ledgerSlot) open(now timer.Instant, limits Limits) *Bucket {
	if s.virgin {
		return NewBucket(limits, limits.Cap, now)
	}
	return NewBucket(limits, 0, s.from)
}

// Lend lends to a borrower. It reports false when this VM is not the holder.
func (l *Ledger) Lend(now timer.Instant, name string, limits Limits, id LoanID, want float64) (Grant, bool) {
	var g Grant
	held := l.with(now, name, limits, func(b *Bucket) {
		g.Tokens = b.Lend(now, id, want, false)
		g.Wait, g.Possible = b.Wait(want - g.Tokens)
	})
	return g, held
}

// Report is what a borrower tells of one loan.
type Report struct {
	ID   LoanID
	Team string
	Kind ReportKind
	// Used is the tokens used, for ReportSettle.
	Used float64
}

// ReportKind tells what became of a loan.
type ReportKind uint8

// The kinds of report.
const (
	ReportStart ReportKind = iota + 1
	ReportReturn
	ReportSettle
)

// Report takes in what a borrower tells. It reports false when this VM is not
// the holder.
func (l *Ledger) Report(now timer.Instant, limits Limits, r Report) bool {
	return l.with(now, r.Team, limits, func(b *Bucket) {
		switch r.Kind {
		case ReportStart:
			b.Start(now, r.ID)
		case ReportReturn:
			b.Return(now, r.ID)
		case ReportSettle:
			b.Settle(now, r.ID, r.Used)
		}
	})
}

// BucketState is one bucket as a state dump shows it.
type BucketState struct {
	Team  string  `json:"team"`
	Level float64 `json:"level"`
	Lent  float64 `json:"lent"`
	Open  int     `json:"open"`
}

// SlotState is one held slot as a state dump shows it.
type SlotState struct {
	Slot    Slot          `json:"slot"`
	Epoch   uint64        `json:"epoch"`
	Buckets []BucketState `json:"buckets"`
}

// State returns every held slot.
func (l *Ledger) State() []SlotState {
	var out []SlotState
	for i := range l.slots {
		slot := &l.slots[i]
		slot.mu.Lock()
		if slot.held {
			out = append(out, slot.state(Slot(i)))
		}
		slot.mu.Unlock()
	}
	return out
}

func (s *ledgerSlot) state(n Slot) SlotState {
	out := SlotState{Slot: n, Epoch: s.epoch}
	for name, b := range s.buckets {
		out.Buckets = append(out.Buckets, BucketState{Team: name, Level: b.level, Lent: b.lent, Open: len(b.loans)})
	}
	return out
}
