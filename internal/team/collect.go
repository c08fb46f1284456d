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

// Errors of Collector.Collect.
var (
	// ErrRate means that the reachable zones cannot lend enough now.
	ErrRate = errors.New("team: rate exceeded")
	// ErrBurst means that no wait can help: the burst is too small.
	ErrBurst = errors.New("team: burst too small for the request")
	// ErrLapsed means that the loans lapsed before the start.
	ErrLapsed = errors.New("team: loans lapsed before the start")
)

// Lender reaches the holders of a team's buckets.
type Lender interface {
	// Zones returns the zones to ask, the own one first.
	Zones(team string) []string
	// Lend asks the holder in a zone for up to want tokens.
	Lend(ctx context.Context, zone, team string, id LoanID, want float64) (Grant, error)
	// Report tells the holder in a zone what became of a loan. It does not
	// wait for an answer.
	Report(zone string, r Report)
}

// ShortfallError tells how far a charge fell short. It wraps ErrRate.
type ShortfallError struct {
	// Wait is the least time after which trying again makes sense.
	Wait time.Duration
	// Unreached counts the zones whose part could not be asked.
	Unreached int
}

// Error implements error.
func (e *ShortfallError) Error() string {
	if e.Unreached > 0 {
		return fmt.Sprintf("%v: %d zones not reached, only the reachable ones count", ErrRate, e.Unreached)
	}
	return ErrRate.Error()
}

// Unwrap makes errors.Is(err, ErrRate) hold.
func (e *ShortfallError) Unwrap() error { return ErrRate }

// Collector gathers the loans that a request needs. It is safe for
// concurrent use.
type Collector struct {
	name   string
	time   timer.Clock
	lender Lender
	serial atomic.Uint64
}

// NewCollector returns a collector whose loan ids begin with name, which must
// be unique to this run of the process.
func NewCollector(name string, time timer.Clock, lender Lender) *Collector {
	return &Collector{name: name, time: time, lender: lender}
}

// minimumWait keeps a refused request from asking again at once.
const minimumWait = 20 * time.Millisecond

// unreachedWait is when to try again a zone that could not be asked.
const unreachedWait = 100 * time.Millisecond

// piece is one loan of a charge.
type piece struct {
	zone   string
	id     LoanID
	amount float64
}

// Charge is the gathered loans of one request: exactly one of Start and
// Release must be called, and Settle after Start.
type Charge struct {
	collector *Collector
	team      string
	pieces    []piece
	total     float64
	// expires is the earliest end of any piece.
	expires timer.Instant
}

// Total returns the tokens charged.
func (c *Charge) Total() float64 { return c.total }

// CheckBurst returns ErrBurst, wrapped, when no wait can bring want tokens
// together.
func CheckBurst(burst, want float64) error {
	if want > burst {
		return fmt.Errorf("%w: needs %.0f tokens, burst is %.0f", ErrBurst, want, burst)
	}
	return nil
}

// Collect gathers want tokens, all or nothing, from the own zone first. It
// returns ErrBurst or a ShortfallError.
func (c *Collector) Collect(ctx context.Context, name string, burst, want float64) (*Charge, error) {
	if err := CheckBurst(burst, want); err != nil {
		return nil, err
	}
	charge := &Charge{collector: c, team: name, expires: c.time.Now().Add(LoanLife)}
	var refill supply
	for _, zone := range c.lender.Zones(name) {
		id := c.newID()
		grant, err := c.lender.Lend(ctx, zone, name, id, want-charge.total)
		if err != nil {
			refill.unreached++
			c.lender.Report(zone, Report{ID: id, Team: name, Kind: ReportReturn})
			continue
		}
		if grant.Tokens > 0 {
			charge.pieces = append(charge.pieces, piece{zone: zone, id: id, amount: grant.Tokens})
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

// Probe asks what Collect would find, without borrowing. It returns nil when
// the reachable zones together can lend want tokens now, or a ShortfallError.
func (c *Collector) Probe(ctx context.Context, name string, want float64) error {
	var refill supply
	for _, zone := range c.lender.Zones(name) {
		grant, err := c.lender.Lend(ctx, zone, name, c.newID(), 0)
		if err != nil {
			refill.unreached++
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

func (c *Collector) newID() LoanID {
	return LoanID(c.name + "/" + strconv.FormatUint(c.serial.Add(1), 36))
}

// supply is what several zones together mint for a team.
type supply struct {
	grants []Grant
	// unreached counts the zones that could not be asked.
	unreached int
}

func (g Grant) debt() float64 { return max(0, -g.Level) }

// shortfall returns the error of a charge for which tokens are missing.
func (s *supply) shortfall(missing float64) *ShortfallError {
	wait := s.wait(missing)
	if s.unreached > 0 {
		wait = min(wait, unreachedWait)
	}
	return &ShortfallError{Wait: max(wait, minimumWait), Unreached: s.unreached}
}

// wait returns the time until the zones together could lend missing more
// tokens, or the quickest of them alone if that is sooner.
func (s *supply) wait(missing float64) time.Duration {
	rate, debt := 0.0, 0.0
	least := math.Inf(1)
	for _, g := range s.grants {
		rate += g.Rate
		debt += g.debt()
		least = min(least, (missing+g.debt())/g.Rate)
	}
	least = min(least, (missing+debt)/rate)
	if math.IsNaN(least) || least > LoanLife.Seconds() {
		return LoanLife
	}
	return time.Duration(least * float64(time.Second))
}

// Start commits the charge to a request that is about to run. It fails with
// ErrLapsed, and releases the loans, when their time is over.
func (c *Charge) Start() error {
	if c.collector.time.Now() >= c.expires {
		c.Release()
		return ErrLapsed
	}
	c.report(ReportStart)
	return nil
}

// Release gives everything back; the request has not run.
func (c *Charge) Release() { c.report(ReportReturn) }

func (c *Charge) report(kind ReportKind) {
	for _, p := range c.pieces {
		c.collector.lender.Report(p.zone, Report{ID: p.id, Team: c.team, Kind: kind})
	}
}

// Settle ends a started charge with the tokens that the engine counted,
// divided over the pieces in proportion.
func (c *Charge) Settle(used float64) {
	for _, p := range c.pieces {
		part := used * p.amount / c.total
		c.collector.lender.Report(p.zone, Report{ID: p.id, Team: c.team, Kind: ReportSettle, Used: part})
	}
}
