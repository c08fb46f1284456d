package team

import (
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// LoanTTL is how long after requesting a loan a borrower may start it, by the
// borrower's own clock.
const LoanTTL = time.Second

// HolderLoanTTL is how long a holder counts a loan as possibly unstarted when
// it has received no report of it. It exceeds LoanTTL by a margin for clocks that
// run at different rates.
const HolderLoanTTL = 2 * LoanTTL

// MaxUnsettledLoans bounds the unsettled loans that a bucket keeps. A loan beyond
// it is granted but cannot be refunded.
const MaxUnsettledLoans = 4096

// SettleTimeout is how long after its grant a started loan can still be settled.
const SettleTimeout = 15 * time.Minute

// LoanID uniquely identifies a loan. The borrower generates it.
type LoanID string

// Limits are a bucket's part of a team's rate, in tokens per second, and of its
// burst, in tokens.
type Limits struct {
	Rate float64
	Cap  float64
}

// loan is a debited amount that has not been settled yet.
type loan struct {
	amount  float64
	granted timer.Instant
	started bool
	// minHeadroom is the smallest headroom below the cap since the grant,
	// not counting this loan. A refund may not exceed it.
	minHeadroom float64
}

// Bucket is one zone's part of a team's token bucket. It is not safe for
// concurrent use.
type Bucket struct {
	limits Limits
	// level is the number of tokens that can be lent now. It is negative while
	// the bucket is in debt.
	level float64
	// lent is the sum of the unstarted loans.
	lent float64
	// refilledAt is the instant up to which the bucket has been refilled. It
	// may lie in the future; refilling starts then.
	refilledAt timer.Instant
	loans      map[LoanID]*loan
}

// NewBucket returns a bucket with the given level, at most the cap, that is
// refilled from the given instant on.
func NewBucket(limits Limits, level float64, from timer.Instant) *Bucket {
	return &Bucket{
		limits:     limits,
		level:      min(level, limits.Cap),
		refilledAt: from,
		loans:      make(map[LoanID]*loan),
	}
}

// Level returns the number of tokens that could be lent at the last operation.
func (b *Bucket) Level() float64 { return b.level }

// Lent returns the sum of the loans that may not have been started.
func (b *Bucket) Lent() float64 { return b.lent }

// UnsettledLoans returns the number of unsettled loans.
func (b *Bucket) UnsettledLoans() int { return len(b.loans) }

// SetLimits changes the rate and the cap from now on.
func (b *Bucket) SetLimits(now timer.Instant, limits Limits) {
	if limits == b.limits {
		return
	}
	b.refill(now)
	if cut := b.limits.Cap - limits.Cap; cut > 0 {
		b.reduceHeadroom(cut)
	}
	b.limits = limits
	b.level = min(b.level, limits.Cap-b.lent)
}

// refill adds the tokens for the time since the last operation and removes
// expired loans.
func (b *Bucket) refill(now timer.Instant) {
	if now > b.refilledAt {
		refilled := b.limits.Rate * now.Sub(b.refilledAt).Seconds()
		b.level = max(b.level, min(b.level+refilled, b.limits.Cap-b.lent))
		b.refilledAt = now
	}
	headroom := b.limits.Cap - b.level - b.lent
	for id, l := range b.loans {
		l.minHeadroom = min(l.minHeadroom, headroom+l.unstarted())
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

// reduceHeadroom subtracts amount from the headroom of every unsettled loan.
func (b *Bucket) reduceHeadroom(amount float64) {
	for _, l := range b.loans {
		l.minHeadroom = max(0, l.minHeadroom-amount)
	}
}

// Lend debits up to want tokens under id and returns the amount granted. If
// whole is set it grants either all of want or nothing. Lend is idempotent: a
// repeated call with the id of an unstarted loan returns the amount of that loan.
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
	b.loans[id] = &loan{amount: grant, granted: now, minHeadroom: b.limits.Cap - b.level - b.lent + grant}
	return grant
}

// Start records that the borrower has started the request that the loan is for.
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

// Return returns to the bucket a loan whose request was not started.
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

// Settle closes a started loan, given the tokens used of it. Unused tokens are
// refunded, but only as far as the bucket would have refilled to the same level
// had the smaller amount been charged from the start. Tokens used beyond the loan
// become debt.
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
	credit := min(l.amount-used, l.minHeadroom, b.limits.Cap-b.level-b.lent)
	if credit <= 0 {
		return
	}
	b.level += credit
	b.reduceHeadroom(credit)
}
