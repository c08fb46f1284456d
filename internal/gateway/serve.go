package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/quarantine"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
)

// defaultRetryAfter is the Retry-After of a refusal that has no better estimate.
const defaultRetryAfter = 150 * time.Millisecond

// forwardedCall is the state of a call that the gateway forwards.
type forwardedCall struct {
	call    *Call
	writer  ResponseWriter
	route   *catalog.Route
	team    *catalog.Team
	engine  *catalog.Engine
	kvStore *catalog.KVCacheStore
	service string
	// startedAt is when the call arrived; the call times out at deadline.
	startedAt time.Duration
	deadline  time.Duration
	// side is that of the servers of a rollout that the call is sent to, chosen under the
	// order of sideRevision.
	side         rollout.Side
	sideRevision int64
	// excluded holds the IDs of the servers that must not be selected again.
	excluded map[string]bool
	// sentTo holds the IDs of the servers that have had an attempt.
	sentTo   map[string]bool
	attempts int
	// refusedBefore is set if an earlier call with the same ID was refused by a server,
	// which may write that refusal again.
	refusedBefore bool
	// headerSent is set once the header of a response has been passed on.
	headerSent bool
	// failure is a complete response that reports a failure, kept while another server is
	// tried, or nil.
	failure *failureResponse
	// takeover is the next attempt if it has already been made, or nil.
	takeover *takeover
	// sharedParts holds the parts of the prompt that may be put in quarantine, and
	// quarantinedPart the one for which the call was refused last. trial is set while the
	// call may be sent although it has such a part; trialBegunAt is when that began.
	sharedParts     []string
	quarantinedPart string
	trial           bool
	trialBegunAt    time.Duration
	// progress is that of the last attempt at an engine, brokenOffBy the engine that
	// last broke off an attempt before it generated anything.
	progress    attemptProgress
	beginning   *beginningCall
	brokenOffBy quarantine.Engine
	// emptyEnds counts the servers that ended a stream with errNoNewEvent after its last
	// event.
	emptyEnds int
	// possibleRuns counts the servers on which the call may have run.
	possibleRuns int
	// chargedTokens is what the team was charged.
	chargedTokens float64
	outcome       string
	// detail says briefly why the call was not served.
	detail string
	// generation is that of the catalog that was applied, and proofAge the age of
	// its proof.
	generation int64
	proofAge   time.Duration
	// mayQueue is set if calls may wait for engines, queue is the name of the queue in which
	// the call waited last.
	mayQueue bool
	queue    string
	// returned is set if the call counts as one that was refused before, and retryAfter
	// when a call that is refused may return.
	returned   bool
	retryAfter time.Duration
	// lastChoice is the server of the last attempt.
	lastChoice  serverChoice
	status      int
	firstByteAt time.Duration
	// lastEventAt is when the last event of a stream came.
	lastEventAt time.Duration
}

// Serve serves a call. It returns when the response is complete or the caller has
// left.
func (g *Gateway) Serve(ctx context.Context, call *Call, writer ResponseWriter) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	f := &forwardedCall{call: call, writer: writer, startedAt: g.now(), mayQueue: g.settings.QueueCalls, excluded: make(map[string]bool), sentTo: make(map[string]bool)}
	defer g.releaseTrial(f)
	if r := g.admit(f); r != nil {
		g.refuse(f, *r)
		g.recordOutcome(f)
		return
	}
	f.refusedBefore = g.refused.contains(call.ID)
	ctx, cancel := context.WithTimeout(ctx, f.deadline-g.now())
	defer cancel()
	defer f.dropFailure()
	if f.route.Kind == catalog.Stream {
		g.serveStream(ctx, f)
	} else {
		g.serveWhole(ctx, f)
	}
	if f.outcome != outcomeAnswered && f.detail == "" && ctx.Err() != nil {
		f.detail = ctx.Err().Error()
	}
	if f.chargedTokens > 0 && f.possibleRuns == 0 {
		g.quota.Refund(f.team.Name, f.chargedTokens)
	}
	g.recordOutcome(f)
}

// dropTakeover cancels an attempt that has been made, if the call ends without it. It
// counts the attempt in possibleRuns if the call may have run.
func (f *forwardedCall) dropTakeover() {
	if f.takeover == nil {
		return
	}
	if f.takeover.mayHaveRun() {
		f.possibleRuns++
	}
	f.takeover.drop()
	f.takeover = nil
}

// failureResponse is a complete response that reports a failure of the call.
type failureResponse struct {
	*Response
	body *buffer.Buffer
}

// keepFailure keeps a response for the case that no other server answers.
func (f *forwardedCall) keepFailure(resp *Response, body *buffer.Buffer) {
	f.dropFailure()
	f.failure = &failureResponse{Response: resp, body: body}
}

// releaseUnlessKept releases a buffer that does not hold the failure that is kept.
func (f *forwardedCall) releaseUnlessKept(b *buffer.Buffer) {
	if f.failure == nil || f.failure.body != b {
		b.Release()
	}
}

func (f *forwardedCall) dropFailure() {
	if f.failure != nil {
		f.failure.body.Release()
		f.failure = nil
	}
}

// mayContinue reports whether another attempt of a call may follow a failed one. One that
// has been made is given up only for a part in quarantine.
func (g *Gateway) mayContinue(f *forwardedCall) bool {
	if f.takeover != nil {
		return g.quarantineRefusal(f) == nil
	}
	if f.possibleRuns > 0 && !f.canRetry() {
		return false
	}
	if ok, _ := g.stillAuthorized(f); !ok {
		return false
	}
	return g.quarantineRefusal(f) == nil && !g.mayCrashEngines(f)
}

// refuse ends a call with a refusal of the gateway itself.
func (g *Gateway) refuse(f *forwardedCall, r Refusal) {
	f.outcome = string(r.Reason)
	if err := f.writer.Refuse(r); err != nil {
		f.outcome = outcomeCallerLeft
	}
}

// outcomeCallerLeft is the outcome of a call whose caller left before its response was
// complete.
const outcomeCallerLeft = "caller left"

// endedBy returns the outcome of a call that was not answered: outcomeCallerLeft if its
// caller left, otherwise the given one.
func endedBy(ctx context.Context, otherwise string) string {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcomeCallerLeft
	}
	return otherwise
}

// refuseUnserved ends a call that no attempt served: with the failure that a server
// reported, or else with a refusal.
func (g *Gateway) refuseUnserved(ctx context.Context, f *forwardedCall) {
	f.dropTakeover()
	if f.failure != nil {
		g.sendResponse(f, f.failure.Response, f.failure.body.Bytes())
		return
	}
	_, withdrawn := g.stillAuthorized(f)
	quarantined := g.quarantineRefusal(f)
	switch {
	case f.possibleRuns == 0 && withdrawn != nil:
		g.refuse(f, *withdrawn)
	case f.possibleRuns == 0 && quarantined != nil:
		g.recordPartRefusal(f, quarantined)
		g.refuse(f, *quarantined)
	case f.possibleRuns == 0:
		g.refuse(f, Refusal{Reason: ReasonUnavailable, RetryAfter: max(defaultRetryAfter, f.retryAfter)})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.refuse(f, Refusal{Reason: ReasonTimedOut})
	default:
		g.refuse(f, Refusal{Reason: ReasonBackendFailed})
	}
	f.outcome = endedBy(ctx, f.outcome)
}
