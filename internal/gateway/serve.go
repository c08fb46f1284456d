package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/catalog"
)

// comeBack is when a caller is told to come back where nothing better is known.
const comeBack = 150 * time.Millisecond

// flight is a call on its way.
type flight struct {
	call    *Call
	sink    ResponseWriter
	route   *catalog.Route
	team    *catalog.Team
	engine  *catalog.Engine
	shelf   *catalog.KVCacheStore
	service string
	// began is when the call came in; ends is when its time is over.
	began time.Duration
	ends  time.Duration
	// tried are the servers not to be chosen again.
	tried map[string]bool
	sent  int
	// begun is set once the head of an answer was passed on.
	begun bool
	// prepaid is set where the next attempt was taken from the budget already.
	prepaid bool
	// runs counts the servers at which the call may have run.
	runs int
	// charged are the tokens that the team was charged.
	charged float64
	outcome string
	// why is what kept the call from being served, in a few words.
	why string
	// generation is that of the catalog that decided, and proof how old its
	// proof was.
	generation int64
	proof      time.Duration
	// last is the choice of the last attempt.
	last   choice
	status int
	first  time.Duration
}

// Serve answers a call. It returns when the answer is complete or the caller
// has left.
func (g *Gateway) Serve(ctx context.Context, call *Call, sink ResponseWriter) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	f := &flight{call: call, sink: sink, began: g.now(), tried: make(map[string]bool)}
	if r := g.admit(f); r != nil {
		g.refuse(f, *r)
		g.ended(f)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.ends-g.now())
	defer cancel()
	if f.route.Kind == catalog.Stream {
		g.stream(ctx, f)
	} else {
		g.plain(ctx, f)
	}
	if f.charged > 0 && f.runs == 0 {
		g.quota.Refund(f.team.Name, f.charged)
	}
	g.ended(f)
}

// refuse answers a call by the router itself.
func (g *Gateway) refuse(f *flight, r Refusal) {
	f.outcome = string(r.Reason)
	if err := f.sink.Refuse(r); err != nil {
		f.outcome = "caller left"
	}
}

// giveUp answers a call that no attempt served.
func (g *Gateway) giveUp(ctx context.Context, f *flight) {
	switch {
	case f.runs == 0:
		g.refuse(f, Refusal{Reason: ReasonUnavailable, RetryAfter: comeBack})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.refuse(f, Refusal{Reason: ReasonTimedOut})
	default:
		g.refuse(f, Refusal{Reason: ReasonBackendFailed})
	}
}
