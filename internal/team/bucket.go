package team

import (
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// LoanTTL is how long a borrower may start a loan, counted by its own clock
// from the moment it asked.
const LoanTTL = time.Second

// HolderLoanTTL is how long a holder counts a loan that it has not heard of as
// possibly unstarted. It exceeds LoanLife by a margin for clock rates.
const HolderLoanTTL = 2 * LoanTTL

// MaxUnsettledLoans bounds the unsettled loans that one bucket keeps. A loan beyond
// it is granted but can get no refund.
const MaxUnsettledLoans = 4096

// SettleTimeout is how long a started loan may wait for its refund.
const SettleTimeout = 15 * time.Minute

// LoanID tells a loan from all others; the borrower makes it.
type LoanID string

// Limits are a bucket's part of a team's rate and burst, in tokens.
type Limits struct {
	Rate float64
	Cap  float64
}

// loan is a debited amount that is not settled yet.
type loan struct {
	amount  float64
	granted timer.Instant
	started bool
	// room is the least headroom below the cap since the grant, not
	// counting this loan; credits may not exceed it.
	room float64
}

// Bucket mints one zone's part of a team's tokens. It is not safe for
// concurrent use.
type Bucket struct {
	limits Limits
	// level is what can be lent now; it is negative while in debt.
	level float64
	// lent is the sum of the unstarted loans.
	lent float64
	// at is the instant up to which the bucket was refilled. Minting
	// starts no earlier than at.
	at    timer.Instant
	loans map[LoanID]*loan
}

// NewBucket returns a bucket with a level that starts minting at an instant.
func NewBucket(limits Limits, level float64, from timer.Instant) *Bucket {
	return &Bucket{
		limits: limits,
		level:  min(level, limits.Cap),
		at:     from,
		loans:  make(map[LoanID]*loan),
	}
}

// Level returns what could be lent at the last operation.
func (b *Bucket) Level() float64 { return b.level }

// Lent returns the tokens in loans that may not have been started.
func (b *Bucket) Lent() float64 { return b.lent }

// UnsettledLoans returns the number of unsettled loans.
func (b *Bucket) UnsettledLoans() int { return len(b.loans) }

// SetLimits changes rate and cap from now on.
func (b *Bucket) SetLimits(now timer.Instant, limits Limits) {
	if limits == b.limits {
		return
	}
	b.refill(now)
	if cut := b.limits.Cap - limits.Cap; cut > 0 {
		b.narrow(cut)
	}
	b.limits = limits
	b.level = min(b.level, limits.Cap-b.lent)
}

// refill mints for the time since the last operation and forgets old loans.
func (b *Bucket) refill(now timer.Instant) {
	if now > b.at {
		minted := b.limits.Rate * now.Sub(b.at).Seconds()
		b.level = max(b.level, min(b.level+minted, b.limits.Cap-b.lent))
		b.at = now
	}
	head := b.limits.Cap - b.level - b.lent
	for id, l := range b.loans {
		l.room = min(l.room, head+l.unstarted())
		if b.expired(l, now) {
			b.lent -= l.unstarted()
			delete(b.loans, id)
		}
	}
}

func (l *loan) unstarted() float64 {
	if l.started {
		return 0
	}
	return l.amount
}

func (b *Bucket) expired(l *loan, now timer.Instant) bool {
	if l.started {
		return now.Sub(l.granted) > SettleTimeout
	}
	return now.Sub(l.granted) > HolderLoanTTL
}

// narrow takes amount off the room of every unsettled loan.
func (b *Bucket) narrow(amount float64) {
	for _, l := range b.loans {
		l.room = max(0, l.room-amount)
	}
}

// Lend debits up to want tokens under id and returns what was granted. With
// whole set it grants all or nothing. Asking again with the same id returns
// the first grant.
func (b *Bucket) Lend(now timer.Instant, id LoanID, want float64, whole bool) float64 {
	b.refill(now)
	if l, ok := b.loans[id]; ok {
		return l.unstarted()
	}
	grant := min(want, b.level)
	if grant <= 0 || (whole && grant < want) {
		return 0
	}
	b.level -= grant
	b.lent += grant
	b.loans[id] = &loan{amount: grant, granted: now, room: b.limits.Cap - b.level - b.lent + grant}
	return grant
}

// Start records that the borrower has started the request that a loan was for.
func (b *Bucket) Start(now timer.Instant, id LoanID) {
	b.refill(now)
	l, ok := b.loans[id]
	if !ok || l.started {
		return
	}
	l.started = true
	b.lent -= l.amount
	if len(b.loans) > MaxUnsettledLoans {
		delete(b.loans, id)
	}
}

// Return gives back a loan whose request was not started.
func (b *Bucket) Return(now timer.Instant, id LoanID) {
	b.refill(now)
	l, ok := b.loans[id]
	if !ok || l.started {
		return
	}
	b.lent -= l.amount
	b.level += l.amount
	delete(b.loans, id)
}

// Settle ends a started loan with what was used of it. What was not used is
// credited as far as the bucket would have minted the same with the smaller
// charge from the start; what was used beyond the loan becomes debt.
func (b *Bucket) Settle(now timer.Instant, id LoanID, used float64) {
	b.Start(now, id)
	l, ok := b.loans[id]
	if !ok {
		return
	}
	delete(b.loans, id)
	if used >= l.amount {
		b.level -= used - l.amount
		return
	}
	credit := min(l.amount-used, l.room, b.limits.Cap-b.level-b.lent)
	if credit <= 0 {
		return
	}
	b.level += credit
	b.narrow(credit)
}
