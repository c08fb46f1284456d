package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

// Bounds of the attempts of a call.
const (
	// maxAttempts bounds the attempts of a call when servers state that they did not
	// run it.
	maxAttempts = 4
	// noServerRetryDelay is the delay before servers are considered again if none can
	// take the call.
	noServerRetryDelay = 25 * time.Millisecond
)

// Errors that end the attempts of a call.
var (
	errNoServer    = errors.New("no server can take the call")
	errRetryBudget = errors.New("retry budget exhausted")
)

// nextServer returns the server of the next attempt. If none can take the call, the call
// waits in the queue of its service or, if the service has none, for up to half the
// latency goal.
func (g *Gateway) nextServer(ctx context.Context, f *forwardedCall) (serverChoice, error) {
	if f.takeover == nil && g.allBackOff(f) {
		return serverChoice{}, errBackoff
	}
	if f.takeover != nil {
		return f.takeover.choice, nil
	}
	if f.queued() {
		return g.nextQueuedServer(ctx, f)
	}
	waitUntil := g.now() + f.route.LatencyGoal/2
	for waited := false; ; waited = true {
		if c, ok := g.chooseServer(f, f.service); ok {
			if !g.takeRetry(f) {
				return serverChoice{}, errRetryBudget
			}
			return c, nil
		}
		// If the process is held up, the time may be over before the call has waited.
		if f.attempts >= maxAttempts || waited && g.now() > waitUntil {
			return serverChoice{}, errNoServer
		}
		if !timer.Sleep(ctx, noServerRetryDelay) {
			return serverChoice{}, ctx.Err()
		}
		clear(f.excluded)
	}
}

// takeRetry takes an attempt other than the first from the retry budget.
func (g *Gateway) takeRetry(f *forwardedCall) bool {
	if f.attempts == 0 {
		return true
	}
	return g.retries.Take(f.service, g.now(), f.retryReserve())
}

// retryReserve returns the share of the retry budget that an attempt must leave.
func (f *forwardedCall) retryReserve() float64 {
	if f.headerSent {
		return 0
	}
	return startReserve
}

// attemptContext returns the context of the next attempt, which may have been made.
func (f *forwardedCall) attemptContext(callCtx context.Context) (context.Context, context.CancelCauseFunc) {
	if f.takeover != nil {
		return f.takeover.ctx, f.takeover.cancel
	}
	return context.WithCancelCause(callCtx)
}

// send makes one attempt, or waits for the response if it has been made. It counts it in
// possibleRuns if the call may have run.
func (g *Gateway) send(ctx context.Context, f *forwardedCall, c serverChoice, lastEventID string) (*Response, error) {
	var resp *Response
	var err error
	sentAt := g.now()
	if t := f.takeover; t != nil {
		sentAt = t.sentAt
		f.takeover, f.lastChoice, f.progress = nil, c, attemptProgress{}
		<-t.done
		resp, err = t.resp, t.err
	} else {
		resp, err = g.sendAttempt(ctx, g.newAttempt(f, c, lastEventID))
	}
	switch {
	case errors.Is(err, upstream.ErrUnsent):
	case err != nil:
		f.possibleRuns++
	case resp.NotRun || resp.WrongServer:
		if !f.route.Repeatable() {
			g.refused.add(f.call.ID)
		}
	default:
		f.possibleRuns++
		g.table.RecordAccepted(c.server.ID, sentAt)
		f.progress.setHead(resp.Status == http.StatusOK, g.now())
	}
	if err == nil && !resp.WrongServer {
		g.recordAnswer(f, c.server)
	}
	g.recordAttempt(ctx, f, c, resp, err)
	return resp, err
}

// sendAttempt sends an attempt. A server that says in its response that it leaves gets no
// further calls, whatever the list of servers says.
func (g *Gateway) sendAttempt(ctx context.Context, a *Attempt) (*Response, error) {
	resp, err := g.serverClient.Send(ctx, a)
	if err == nil && !resp.WrongServer {
		g.recordBackoff(a, resp)
	}
	if err == nil && resp.Leaving && !resp.WrongServer && g.table.MarkLeaving(a.Server.ID, a.Server.Born) {
		event.ServerLeaving.Log(g.log, nil, log.Fields{"request": a.Call.ID, "server": a.Server.ID, "status": resp.Status})
	}
	return resp, err
}

// newAttempt returns an attempt that is about to be made, and counts it.
func (g *Gateway) newAttempt(f *forwardedCall, c serverChoice, lastEventID string) *Attempt {
	a := &Attempt{
		Call: f.call, Server: c.server, TimeLeft: f.deadline - g.now(), Version: c.version, CacheSalt: c.cacheSalt,
		FetchFrom: c.FetchFrom, Priority: f.priority(), LastEventID: lastEventID, Permit: g.permit(f, c, g.now()),
	}
	if f.team != nil {
		a.Team = f.team.Name
	}
	if !f.route.Repeatable() {
		a.MaxConnIdle = atMostOnceMaxConnIdle
	}
	a.NewConn = f.sentTo[c.server.ID] || f.refusedBefore
	f.sentTo[c.server.ID] = true
	g.table.BeginProbe(c.server.ID, g.now())
	if c.StoreReachable && c.cacheSalt != "" && g.needsSaving(f, c.cacheSalt) {
		a.SaveTo = f.kvStore.Address
	}
	if f.attempts == 0 {
		g.retries.RecordCall(f.service, g.now())
	}
	f.attempts++
	f.lastChoice = c
	f.progress = attemptProgress{}
	g.recordPrefill(f, c, a.SaveTo != "")
	return a
}

// maxDecisionAge is the age beyond which the choice of a server and a retry taken from
// the budget are void. It covers the opening of a connection.
const maxDecisionAge = 700 * time.Millisecond

// permit returns a function that reports whether an attempt that was decided at a time
// may still be written: the process has not been paused for long since, the key has not
// been withdrawn, its proof is young enough, no part of its prompt is in quarantine,
// time is left, the server has neither left nor asked for no requests, and no rollout keeps
// calls from it.
func (g *Gateway) permit(f *forwardedCall, c serverChoice, decidedAt time.Duration) func() bool {
	decided := *f
	f = &decided
	countSent := g.rollouts.sentCounter(f, c.server)
	return func() bool {
		now := g.now()
		if now-decidedAt > maxDecisionAge || now >= f.deadline {
			return false
		}
		if g.quarantineRefusal(f) != nil {
			return false
		}
		if s, listed := g.table.Get(c.server.ID, now); !listed || s.Draining || s.Born != c.server.Born {
			return false
		}
		if !g.rollouts.mayRun(c.server.Service, c.server.Release, c.targetOnly, now) {
			return false
		}
		if _, backingOff := g.table.BackoffEnd(c.server.ID, c.server.Born, now); backingOff {
			return false
		}
		ok, _ := g.stillAuthorized(f)
		if ok {
			countSent()
		}
		return ok
	}
}

// atMostOnceMaxConnIdle bounds how long a reused connection may have been idle
// before a call that must not run twice: if the server closes the connection at that
// moment, it is unknown whether the call ran.
const atMostOnceMaxConnIdle = time.Second

// recordAttempt updates the state of a server after an attempt.
func (g *Gateway) recordAttempt(ctx context.Context, f *forwardedCall, c serverChoice, resp *Response, err error) {
	s := c.server
	callEnded := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errServerSilent)
	switch {
	case err != nil && callEnded:
		// The call timed out or its caller left, which is no failure of the server.
	case errors.Is(err, buffer.ErrFull), errors.Is(err, upstream.ErrNotPermitted):
		// The cause lies with this VM.
	case errors.Is(err, errNoNewEvent):
		// The server may have had nothing to add.
	case err != nil:
		g.recordBreak(ctx, f, c, err)
		g.recordFailure(s, ctx.Err() != nil || errors.Is(err, upstream.ErrUnsent))
	case resp.WrongServer:
		g.table.RecordReplaced(s.ID, g.now())
	case resp.NotRun && f.queued():
		if n, backoff := g.table.RecordRefusal(s.ID, g.now()); n > 0 {
			g.metrics.incrementCounter("engine_refusals")
			g.queues.with(f.service, func(s *serviceQueue) { s.RecordRefusal(g.now()) })
			event.EngineRefused.Log(g.log, nil, log.Fields{"server": s.ID, "refusals": n, "ms": backoff.Milliseconds(), "request": f.call.ID})
		}
		g.noteVersion(f, c, resp)
	default:
		g.noteVersion(f, c, resp)
	}
	if err != nil || resp.NotRun || resp.WrongServer {
		f.excluded[s.ID] = true
		fields := log.Fields{"request": f.call.ID, "server": s.ID, "sent": f.attempts, "version": c.version}
		if resp != nil {
			fields["status"], fields["notrun"], fields["other"], fields["runs"] = resp.Status, resp.NotRun, resp.WrongServer, resp.Version
		}
		if cause := context.Cause(ctx); cause != nil {
			fields["cause"] = cause.Error()
		}
		event.AttemptFailed.Log(g.log, err, fields)
	}
}

// noteVersion records the version that an engine states if it is not the expected one.
func (g *Gateway) noteVersion(f *forwardedCall, c serverChoice, resp *Response) {
	s, model := c.server, f.call.Prompt.Model
	if resp.Version > 0 && model != "" && resp.Version != c.version {
		g.table.SetVersion(s.ID, s.Born, model, resp.Version)
		g.announceVersion(s, model, resp.Version)
	}
}

// recordPrefill records that an engine is about to process the parts of a prompt.
func (g *Gateway) recordPrefill(f *forwardedCall, c serverChoice, save bool) {
	if c.cacheSalt == "" || f.engine == nil {
		return
	}
	now := g.now()
	g.promptThroughput.Add(c.UncachedTokens+c.FetchedTokens, now)
	readyAt := now + time.Duration(prefillTimeFactor*float64(c.UncachedTokens+c.pendingTokens)/c.tokensPerMilli*float64(time.Millisecond))
	shared := len(f.call.Prompt.SharedBlocks())
	for i, p := range parts.Blocks(f.call.Prompt.Parts) {
		announce := g.parts.Add(engineHolder(c.server), f.engine.CapacityTokens, c.cacheSalt, p, now, readyAt)
		if announce && i < shared {
			g.announcePart(engineHolder(c.server), c.cacheSalt, p, readyAt-now)
		}
		if save && i < shared && g.parts.Add(kvStoreHolder(f.kvStore.Address), f.kvStore.CapacityTokens, c.cacheSalt, p, now, readyAt+partSaveTime) {
			g.announcePart(kvStoreHolder(f.kvStore.Address), c.cacheSalt, p, readyAt+partSaveTime-now)
		}
	}
}

const (
	// prefillTimeFactor is how many times as long as expected the
	// processing of a prompt may take, since the engine serves other calls too.
	prefillTimeFactor = 2.0
	// partSaveTime is how long a processed part takes to reach the KV cache store.
	partSaveTime = 50 * time.Millisecond
)

// markPartsReady records that an engine has processed the shared parts of a prompt.
func (g *Gateway) markPartsReady(f *forwardedCall, c serverChoice) {
	if c.cacheSalt != "" {
		g.parts.MarkReady(engineHolder(c.server), c.cacheSalt, f.call.Prompt.SharedBlocks(), g.now())
	}
}

// needsSaving reports whether a call is worth saving to the KV cache store: the store is
// not known to hold all its shared parts, and those that it lacks outweigh the call's
// own part, which is saved with them and takes their room.
func (g *Gateway) needsSaving(f *forwardedCall, salt string) bool {
	shared := f.call.Prompt.SharedBlocks()
	total := 0
	for _, p := range shared {
		total += p.Tokens
	}
	held := g.parts.HeldTokens(kvStoreHolder(f.kvStore.Address), salt, shared, parts.NoAgeLimit)
	return total > held && total-held >= f.call.Prompt.InputTokens-total
}

// canRetry reports whether a call that may have run may be sent to another server.
func (f *forwardedCall) canRetry() bool {
	return f.route.Repeatable() && f.possibleRuns < max(1, f.route.MaxAttempts) && f.attempts < maxAttempts
}
