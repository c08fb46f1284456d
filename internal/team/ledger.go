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

// Slot is a partition of the teams. One VM in each zone holds it.
type Slot int

// SlotOf returns the slot that a team hashes to.
func SlotOf(name string) Slot { return Slot(xxhash.Sum64String(name) % SlotCount) }

// Ledger keeps the buckets of the slots that this VM holds. Each slot has its own
// lock; no two are locked at the same time.
type Ledger struct {
	slots [SlotCount]ledgerSlot
}

type ledgerSlot struct {
	mu sync.Mutex // guards the fields below
	// held reports whether this VM may refill the slot's buckets and lend from
	// them.
	held  bool
	epoch uint64
	// handover is the state left by the previous holder. Buckets that it does
	// not list are created as if they had been refilling since refillFrom.
	handover   HandoverState
	refillFrom timer.Instant
	buckets    map[string]*Bucket
}

// Level is the number of tokens in a team's bucket. It is negative while the
// bucket is in debt.
type Level struct {
	Team   string  `json:"team"`
	Tokens float64 `json:"tokens"`
}

// HandoverState is what one holder of a slot passes to the next. The zero value
// carries no information: the next holder must start every bucket empty, once all
// loans of the previous holder have ended.
type HandoverState struct {
	// Full means that buckets not listed in Levels are full.
	Full bool `json:"full,omitempty"`
	// RefillDuration is how long buckets not listed in Levels have been
	// refilling, starting from empty.
	RefillDuration time.Duration `json:"minted,omitempty"`
	Levels         []Level       `json:"levels,omitempty"`
}

// Grant is a holder's reply to a borrower.
type Grant struct {
	// Tokens is the amount lent; it may be zero.
	Tokens float64
	// Rate is the rate at which the holder refills the bucket, in tokens per
	// second, and Level is what remains to be lent. Level is negative while the
	// bucket is in debt.
	Rate  float64
	Level float64
}

// Take makes this VM the holder of a slot, given the state left by the previous
// holder. Buckets are not refilled for HolderLoanTTL, since loans of the previous
// holder may still be started; tokens that were handed over can be lent at once.
func (l *Ledger) Take(s Slot, epoch uint64, e HandoverState, now timer.Instant) {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if slot.held && slot.epoch == epoch {
		return
	}
	slot.held = true
	slot.epoch = epoch
	slot.handover = e
	slot.refillFrom = now.Add(HolderLoanTTL)
	slot.buckets = make(map[string]*Bucket, len(e.Levels))
	for _, level := range e.Levels {
		slot.buckets[level.Team] = NewBucket(Limits{Cap: max(0, level.Tokens)}, level.Tokens, slot.refillFrom)
	}
}

// Drop stops holding a slot at once and returns the state to hand over.
func (l *Ledger) Drop(s Slot, now timer.Instant) HandoverState {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if !slot.held {
		return HandoverState{}
	}
	e := HandoverState{Full: slot.handover.Full, RefillDuration: max(0, now.Sub(slot.refillFrom)) + slot.handover.RefillDuration}
	for name, b := range slot.buckets {
		b.refill(now)
		e.Levels = append(e.Levels, Level{Team: name, Tokens: b.level})
	}
	slices.SortFunc(e.Levels, func(a, b Level) int { return strings.Compare(a.Team, b.Team) })
	slot.held = false
	slot.buckets = nil
	return e
}

// Held reports whether this VM holds a slot, and under which epoch.
func (l *Ledger) Held(s Slot) (epoch uint64, held bool) {
	slot := &l.slots[s]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	return slot.epoch, slot.held
}

// withBucket calls f with a team's bucket. It reports false, without calling f,
// if this VM does not hold the team's slot.
func (l *Ledger) withBucket(now timer.Instant, name string, limits Limits, f func(*Bucket)) bool {
	slot := &l.slots[SlotOf(name)]
	slot.mu.Lock()
	defer slot.mu.Unlock()
	if !slot.held {
		return false
	}
	b, ok := slot.buckets[name]
	if !ok {
		b = slot.newBucket(now, limits)
		slot.buckets[name] = b
	}
	b.SetLimits(now, limits)
	f(b)
	return true
}

// newBucket creates the bucket of a team that the slot has no bucket for.
func (s *ledgerSlot) newBucket(now timer.Instant, limits Limits) *Bucket {
	if s.handover.Full {
		return NewBucket(limits, limits.Cap, now)
	}
	return NewBucket(limits, limits.Rate*s.handover.RefillDuration.Seconds(), s.refillFrom)
}

// Lend lends up to want tokens to a borrower. If want is zero it only returns the
// level. It reports false if this VM is not the holder.
func (l *Ledger) Lend(now timer.Instant, name string, limits Limits, id LoanID, want float64) (Grant, bool) {
	var g Grant
	held := l.withBucket(now, name, limits, func(b *Bucket) {
		g.Tokens = b.Lend(now, id, want, false)
		g.Rate, g.Level = limits.Rate, b.Level()
	})
	return g, held
}

// Report is a borrower's report on one loan.
type Report struct {
	ID   LoanID
	Team string
	Kind ReportKind
	// Used is the number of tokens used, for ReportSettle.
	Used float64
}

// ReportKind says what happened to a loan.
type ReportKind uint8

// The kinds of report.
const (
	ReportStart ReportKind = iota + 1
	ReportReturn
	ReportSettle
)

// Report applies a borrower's report. It reports false if this VM is not the
// holder.
func (l *Ledger) Report(now timer.Instant, limits Limits, r Report) bool {
	return l.withBucket(now, r.Team, limits, func(b *Bucket) {
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

// BucketState is the state of one bucket in a state dump.
type BucketState struct {
	Team  string  `json:"team"`
	Level float64 `json:"level"`
	Lent  float64 `json:"lent"`
	Open  int     `json:"open"`
}

// SlotState is the state of one held slot in a state dump.
type SlotState struct {
	Slot    Slot          `json:"slot"`
	Epoch   uint64        `json:"epoch"`
	Buckets []BucketState `json:"buckets"`
}

// State returns the state of every held slot.
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
