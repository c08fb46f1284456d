package team

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// Errors returned by Collector and Charge.
var (
	// ErrRate means that the reachable zones cannot lend enough tokens now.
	ErrRate = errors.New("team: rate exceeded")
	// ErrBurst means that waiting cannot help: the request needs more tokens
	// than the burst.
	ErrBurst = errors.New("team: burst too small for the request")
	// ErrLoanExpired means that a loan expired before the request started.
	ErrLoanExpired = errors.New("team: loan expired before the request started")
)

// Lender communicates with the holders of a team's buckets.
type Lender interface {
	// Zones returns the zones to ask, the local zone first.
	Zones(team string) []string
	// Lend asks the holder in a zone for up to want tokens.
	Lend(ctx context.Context, zone, team string, id LoanID, want float64) (Grant, error)
	// Report reports to the holder in a zone what happened to a loan. It does
	// not wait for a reply.
	Report(zone string, r Report)
}

// ShortfallError means that fewer tokens were available than a charge needs. It
// wraps ErrRate.
type ShortfallError struct {
	// Wait is the minimum time to wait before a retry.
	Wait time.Duration
	// UnreachableZones is the number of zones that could not be asked.
	UnreachableZones int
}

// Error implements error.
func (e *ShortfallError) Error() string {
	if e.UnreachableZones > 0 {
		return fmt.Sprintf("%v: %d zones not reached, only the reachable ones count", ErrRate, e.UnreachableZones)
	}
	return ErrRate.Error()
}

// Unwrap returns ErrRate.
func (e *ShortfallError) Unwrap() error { return ErrRate }

// Collector borrows the tokens that a request needs. It is safe for concurrent
// use.
type Collector struct {
	idPrefix string
	time     timer.Clock
	lender   Lender
	lastID   atomic.Uint64
}

// NewCollector returns a collector whose loan IDs begin with idPrefix, which must
// be unique to this run of the process.
func NewCollector(idPrefix string, time timer.Clock, lender Lender) *Collector {
	return &Collector{idPrefix: idPrefix, time: time, lender: lender}
}

// minRetryWait keeps a request that is short of tokens from retrying in a tight
// loop.
const minRetryWait = 20 * time.Millisecond

// unreachableZoneWait is the longest wait before a retry while a zone is
// unreachable.
const unreachableZoneWait = 100 * time.Millisecond

// chargeLoan is one of the loans that make up a charge.
type chargeLoan struct {
	zone   string
	id     LoanID
	amount float64
}

// Charge is the set of loans of one request. Exactly one of Start and Release
// must be called; Settle must be called after Start.
type Charge struct {
	collector *Collector
	team      string
	loans     []chargeLoan
	total     float64
	// expires is when the earliest of the loans expires.
	expires timer.Instant
}

// Total returns the number of tokens charged.
func (c *Charge) Total() float64 { return c.total }

// CheckBurst returns an error that wraps ErrBurst if want exceeds the burst, so
// that no wait can make enough tokens available.
func CheckBurst(burst, want float64) error {
	if want > burst {
		return fmt.Errorf("%w: needs %.0f tokens, burst is %.0f", ErrBurst, want, burst)
	}
	return nil
}

// Collect borrows want tokens, all or nothing, from the local zone first and then
// from the others. It returns an error that wraps ErrBurst, or a ShortfallError.
func (c *Collector) Collect(ctx context.Context, name string, burst, want float64) (*Charge, error) {
	if err := CheckBurst(burst, want); err != nil {
		return nil, err
	}
	charge := &Charge{collector: c, team: name, expires: c.time.Now().Add(LoanTTL)}
	var refill supply
	for _, zone := range c.lender.Zones(name) {
		id := c.newLoanID()
		grant, err := c.lender.Lend(ctx, zone, name, id, want-charge.total)
		if err != nil {
			refill.unreachable++
			c.lender.Report(zone, Report{ID: id, Team: name, Kind: ReportReturn})
			continue
		}
		if grant.Tokens > 0 {
			charge.loans = append(charge.loans, chargeLoan{zone: zone, id: id, amount: grant.Tokens})
			charge.total += grant.Tokens
		}
		if charge.total >= want {
			return charge, nil
		}
		refill.grants = append(refill.grants, grant)
	}
	charge.Release()
	return nil, refill.shortfall(want - charge.total)
}

// Probe checks whether Collect would succeed, without borrowing. It returns nil
// if the reachable zones together can lend want tokens now, and a ShortfallError
// otherwise.
func (c *Collector) Probe(ctx context.Context, name string, want float64) error {
	var refill supply
	for _, zone := range c.lender.Zones(name) {
		grant, err := c.lender.Lend(ctx, zone, name, c.newLoanID(), 0)
		if err != nil {
			refill.unreachable++
			continue
		}
		refill.grants = append(refill.grants, grant)
		want -= max(0, grant.Level)
		if want <= 0 {
			return nil
		}
	}
	return refill.shortfall(want)
}

func (c *Collector) newLoanID() LoanID {
	return LoanID(c.idPrefix + "/" + strconv.FormatUint(c.lastID.Add(1), 36))
}

// supply holds the replies of the zones that were asked for one team's tokens.
type supply struct {
	grants []Grant
	// unreachable is the number of zones that could not be asked.
	unreachable int
}

func (g Grant) debt() float64 { return max(0, -g.Level) }

// shortfall returns the error of a charge that lacks missing tokens.
func (s *supply) shortfall(missing float64) *ShortfallError {
	wait := s.wait(missing)
	if s.unreachable > 0 {
		wait = min(wait, unreachableZoneWait)
	}
	return &ShortfallError{Wait: max(wait, minRetryWait), UnreachableZones: s.unreachable}
}

// wait returns the time until the zones together can lend missing more tokens, or
// until the fastest of them alone can, whichever is sooner. It is at most
// LoanTTL.
func (s *supply) wait(missing float64) time.Duration {
	rate, debt := 0.0, 0.0
	seconds := math.Inf(1)
	for _, g := range s.grants {
		rate += g.Rate
		debt += g.debt()
		seconds = min(seconds, (missing+g.debt())/g.Rate)
	}
	seconds = min(seconds, (missing+debt)/rate)
	if math.IsNaN(seconds) || seconds > LoanTTL.Seconds() {
		return LoanTTL
	}
	return time.Duration(seconds * float64(time.Second))
}

// Start commits the charge to a request that is about to run. If the loans have
// expired it releases them and returns ErrLoanExpired.
func (c *Charge) Start() error {
	if c.collector.time.Now() >= c.expires {
		c.Release()
		return ErrLoanExpired
	}
	c.report(ReportStart)
	return nil
}

// Release returns all loans of a request that has not run.
func (c *Charge) Release() { c.report(ReportReturn) }

func (c *Charge) report(kind ReportKind) {
	for _, p := range c.loans {
		c.collector.lender.Report(p.zone, Report{ID: p.id, Team: c.team, Kind: kind})
	}
}

// Settle settles a started charge for the number of tokens that the engine
// counted, divided over the loans in proportion to their amounts.
func (c *Charge) Settle(used float64) {
	for _, p := range c.loans {
		part := used * p.amount / c.total
		c.collector.lender.Report(p.zone, Report{ID: p.id, Team: c.team, Kind: ReportSettle, Used: part})
	}
}
