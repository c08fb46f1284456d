package team

import (
	"slices"
	"strings"
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
	// estate is what the former holder left; buckets not in it open as if
	// they had been minting since from.
	estate  HandoverState
	from    timer.Instant
	buckets map[string]*Bucket
}

// Level is what a team's bucket held, in tokens; negative while in debt.
type Level struct {
	Team   string  `json:"team"`
	Tokens float64 `json:"tokens"`
}

// HandoverState is what a holder leaves to the next one. The zero value says nothing:
// the next holder must start every bucket empty, when all loans have ended.
type HandoverState struct {
	// Full means that buckets without a level are full.
	Full bool `json:"full,omitempty"`
	// RefillDuration is how long buckets without a level have been minting, from
	// empty.
	RefillDuration time.Duration `json:"minted,omitempty"`
	Levels         []Level       `json:"levels,omitempty"`
}

// Grant is a holder's answer to a borrower.
type Grant struct {
	// Tokens is the amount lent, possibly zero.
	Tokens float64
	// Rate is what is minted here, in tokens a second, and Level what is left
	// to lend; it is negative while in debt.
	Rate  float64
	Level float64
}

// Take makes this VM the holder of a slot, with what the former one left.
// Nothing new is minted for ForgetAfter, since loans of a former holder may
// still be started; what was left can be lent at once.
func (l *Ledger) Take(s Slot, epoch uint64, e HandoverState, now timer.Instant) {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.held && slot.epoch == epoch {
		return
	}
	slot.held = true
	slot.epoch = epoch
	slot.estate = e
	slot.from = now.Add(HolderLoanTTL)
	slot.buckets = make(map[string]*Bucket, len(e.Levels))
	for _, level := range e.Levels {
		slot.buckets[level.Team] = NewBucket(Limits{Cap: max(0, level.Tokens)}, level.Tokens, slot.from)
	}
}

// Drop ends minting for a slot at once and returns what it leaves.
func (l *Ledger) Drop(s Slot, now timer.Instant) HandoverState {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if !slot.held {
		return HandoverState{}
	}
	e := HandoverState{Full: slot.estate.Full, RefillDuration: max(0, now.Sub(slot.from)) + slot.estate.RefillDuration}
	for name, b := range slot.buckets {
		b.refill(now)
		e.Levels = append(e.Levels, Level{Team: name, Tokens: b.level})
	}
	slices.SortFunc(e.Levels, func(a, b Level) int { return strings.Compare(a.Team, b.Team) })
	slot.held = false
	slot.buckets = nil
	return e
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

// open makes the bucket of a team that none was kept for.
func (s *ledgerSlot) open(now timer.Instant, limits Limits) *Bucket {
	if s.estate.Full {
		return NewBucket(limits, limits.Cap, now)
	}
	return NewBucket(limits, limits.Rate*s.estate.RefillDuration.Seconds(), s.from)
}

// Lend lends to a borrower; one that wants nothing only learns the level. It
// reports false when this VM is not the holder.
func (l *Ledger) Lend(now timer.Instant, name string, limits Limits, id LoanID, want float64) (Grant, bool) {
	var g Grant
	held := l.with(now, name, limits, func(b *Bucket) {
		g.Tokens = b.Lend(now, id, want, false)
		g.Rate, g.Level = limits.Rate, b.Level()
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
