package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

// Causes for which an attempt is canceled so that another server continues the call.
var (
	// errServerSilent means that the server sends nothing.
	errServerSilent = errors.New("server sent nothing in time")
	// errStreamMoved means that a sound server is to be left. The causes that wrap it say
	// why.
	errStreamMoved = errors.New("stream moved")
	errReloading   = fmt.Errorf("%w: engine is about to load weights", errStreamMoved)
	errReplaced    = fmt.Errorf("%w: a rollout replaces the server", errStreamMoved)
)

// acceptTimeout is how long a sound server waits, with what it has sent not passed on,
// until another one accepts the call. It is shorter than two servers may generate for one
// call at the same time.
const acceptTimeout = 250 * time.Millisecond

// takeover is an attempt that is made while another one of the same call is running.
type takeover struct {
	choice serverChoice
	// sentAt is when the attempt was made.
	sentAt time.Duration
	// ctx is that of the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// cause is why the other attempt is to be left.
	cause error
	// resp, err and bodyErr are set before done is closed. Until then, awaitAnswer waits for
	// the body.
	done chan struct{}
	resp *Response
	err  error
	// bodyErr is why the body of resp does not answer the call.
	bodyErr error
	// releaseMemory ends what Gateway.holdMemory counted for the attempt.
	releaseMemory func()
	// decided is closed once the attempt is either rejected or continues the call.
	decided chan struct{}
}

// accepted reports whether the server has begun to answer. A response that is no failure
// is an answer too, unless a stream is to continue or leaves a sound server.
func (t *takeover) accepted(headerSent bool) bool {
	if t.err != nil || t.bodyErr != nil || t.resp.NotRun || t.resp.WrongServer {
		return false
	}
	if headerSent || errors.Is(t.cause, errStreamMoved) {
		return t.resp.Status == http.StatusOK
	}
	return t.resp.Status < http.StatusInternalServerError
}

// mayHaveRun reports whether the call may have run on the server. That is unknown, and
// true, until the attempt is done.
func (t *takeover) mayHaveRun() bool {
	select {
	case <-t.done:
	default:
		return true
	}
	if t.err != nil {
		return !errors.Is(t.err, upstream.ErrUnsent)
	}
	return !t.resp.NotRun && !t.resp.WrongServer
}

// drop cancels the attempt and closes its response.
func (t *takeover) drop() {
	t.cancel(nil)
	go func() {
		<-t.done
		if t.resp != nil {
			t.resp.close()
		}
	}()
}

// awaitAnswer waits for the first event of a stream that the caller lacks, or for the whole
// body of another response: until then, the server that is to be left may be the only one
// that can answer the call. It must be called before done is closed.
func (t *takeover) awaitAnswer(isStream bool, lastEventID string, budget *buffer.Budget) {
	switch {
	case t.err != nil || t.resp.NotRun || t.resp.WrongServer:
	case isStream && t.resp.Status == http.StatusOK:
		t.bodyErr = t.resp.awaitEvent(lastEventID, budget)
	default:
		t.bodyErr = t.resp.awaitWhole(budget)
	}
}

// runningAttempt is an attempt from which another server may take the call over. It is
// safe for concurrent use. A nil runningAttempt stays with its server.
type runningAttempt struct {
	gateway *Gateway
	server  string
	// callCtx outlives the attempt.
	callCtx context.Context
	cancel  context.CancelCauseFunc
	silence *silenceTimer

	mu sync.Mutex // guards the fields below
	// call is a copy of the call's state, as if the attempt and those that were made to
	// take the call over had run. It excludes their servers.
	call *forwardedCall
	// runs is call.possibleRuns before any attempt to take the call over.
	runs        int
	lastEventID string
	// unnumbered is set if an event with data but no ID was passed on after it.
	unnumbered bool
	// passingOn is set while an event is being written to the caller. Nothing is read from
	// the server meanwhile.
	passingOn bool
	// next is the attempt to take the call over that is being made, or nil.
	next  *takeover
	ended bool
}

// newRunningAttempt returns the attempt at a server that is about to be made. It is
// handed over if the server sends nothing for firstTimeout, or for timeout after
// something that it has sent. The caller must call finish.
func (g *Gateway) newRunningAttempt(callCtx context.Context, cancel context.CancelCauseFunc, f *forwardedCall, c serverChoice, lastEventID string, firstTimeout, timeout time.Duration) *runningAttempt {
	call := *f
	call.emptyEnds = 0
	call.excluded, call.sentTo = maps.Clone(f.excluded), maps.Clone(f.sentTo)
	call.excluded[c.server.ID], call.sentTo[c.server.ID] = true, true
	call.possibleRuns++
	if f.takeover == nil {
		call.attempts++
	}
	r := &runningAttempt{gateway: g, server: c.server.ID, callCtx: callCtx, cancel: cancel, call: &call, runs: call.possibleRuns, lastEventID: lastEventID}
	r.silence = newSilenceTimer(r, firstTimeout, timeout)
	return r
}

// passOn reports whether an event of the server may be passed on. If it must not, the
// attempt has ended. While a sound server is about to be left, it waits for the decision:
// the next one resumes after the last event that was passed on.
func (r *runningAttempt) passOn(e streamEvent) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.next; t != nil && errors.Is(t.cause, errStreamMoved) {
		r.mu.Unlock()
		<-t.decided
		r.mu.Lock()
	}
	if r.ended {
		return false
	}
	if e.hasData {
		if r.next != nil {
			r.reject(r.next)
		}
		r.call.emptyEnds = 0
		r.silence.reset()
		r.unnumbered = e.id == ""
	}
	if e.id != "" {
		r.lastEventID, r.unnumbered = e.id, false
	}
	r.call.headerSent, r.passingOn = true, true
	return true
}

// passedOn records that the caller has taken the event. The server's silence begins
// then.
func (r *runningAttempt) passedOn(e streamEvent) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passingOn = false
	if e.hasData {
		r.silence.reset()
	}
}

// emptyEnds returns the number of attempts to take the call over that ended with
// errNoNewEvent after the last event.
func (r *runningAttempt) emptyEnds() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.call.emptyEnds
}

// handOver makes an attempt at another server, and cancels this one once that server has
// accepted the call. A sound server is left only within acceptTimeout, a silent one only
// while it is silent. Nothing changes if no sound server can take the call, or if too
// little of the retry budget would be left. It reports whether this attempt has ended.
func (r *runningAttempt) handOver(cause error) bool {
	t, ended := r.startTakeover(cause)
	if t == nil {
		return ended
	}
	defer close(t.decided)
	var timeout <-chan time.Time
	if !errors.Is(cause, errServerSilent) {
		timer := time.NewTimer(acceptTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	responded := false
	select {
	case <-t.done:
		responded = true
	case <-timeout:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended || r.next != t {
		return r.ended
	}
	if !responded || !t.accepted(r.call.headerSent) {
		r.reject(t)
		return false
	}
	r.ended = true
	r.cancel(cause)
	return true
}

// startTakeover makes an attempt at another server. It returns nil if none is made, and
// then reports whether the running attempt has ended. A trial, which may crash its engine,
// stays there.
func (r *runningAttempt) startTakeover(cause error) (t *takeover, ended bool) {
	g := r.gateway
	r.mu.Lock()
	defer r.mu.Unlock()
	stays := r.unnumbered || r.call.trial || r.passingOn && errors.Is(cause, errServerSilent)
	if r.ended || r.next != nil || stays || !r.call.canRetry() {
		return nil, r.ended
	}
	reserve := r.call.retryReserve()
	switch {
	case errors.Is(cause, errReplaced):
		// The stream is lost if it does not leave its server in time.
		reserve = startReserve
	case errors.Is(cause, errStreamMoved):
		reserve = moveReserve
	}
	c, ok := g.chooseServer(r.call, r.call.service)
	if ok && errors.Is(cause, errReplaced) {
		ok = g.rollouts.isTarget(c.server.Service, c.server.Release)
	}
	if !ok || c.LastResort || !g.retries.Take(r.call.service, g.now(), reserve) {
		return nil, false
	}
	t = &takeover{choice: c, sentAt: g.now(), cause: cause, done: make(chan struct{}), decided: make(chan struct{})}
	t.ctx, t.cancel = context.WithCancelCause(r.callCtx)
	a := g.newAttempt(r.call, c, r.lastEventID)
	g.table.Begin(c.server.ID, c.UncachedTokens)
	t.releaseMemory = g.holdMemory(r.call, c)
	r.next = t
	isStream, lastEventID := r.call.route.Kind == catalog.Stream, r.lastEventID
	go func() {
		defer close(t.done)
		t.resp, t.err = g.sendAttempt(t.ctx, a)
		t.awaitAnswer(isStream, lastEventID, g.buffers)
	}()
	return t, false
}

// reject gives up an attempt that was made to take the call over.
func (r *runningAttempt) reject(t *takeover) {
	g := r.gateway
	r.next = nil
	r.call.excluded[t.choice.server.ID] = true
	mayHaveRun := t.mayHaveRun()
	select {
	case <-t.done:
		r.call.progress.head = t.bodyErr != nil
		if errors.Is(t.bodyErr, errNoNewEvent) {
			r.call.emptyEnds++
		}
		g.recordAttempt(t.ctx, r.call, t.choice, t.resp, cmp.Or(t.err, t.bodyErr))
	default:
	}
	if mayHaveRun {
		r.call.possibleRuns++
	} else {
		g.removeParts(r.call, t.choice)
	}
	event.HandoverFailed.Log(g.log, t.cause, log.Fields{
		"request": r.call.call.ID, "server": r.server, "next": t.choice.server.ID, "last": r.lastEventID, "runs": r.call.possibleRuns,
	})
	g.endTakeover(t)
	t.drop()
}

// endTakeover removes the load of an attempt that was made to take a call over.
func (g *Gateway) endTakeover(t *takeover) {
	g.table.PromptRead(t.choice.server.ID, t.choice.UncachedTokens)
	g.table.End(t.choice.server.ID)
	t.releaseMemory()
}

// finish ends the attempt and adds to f what was done to take the call over. Unless the
// call has ended, an attempt that was made becomes its next one.
func (r *runningAttempt) finish(f *forwardedCall, callEnded bool) {
	r.silence.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	f.attempts = r.call.attempts
	f.possibleRuns += r.call.possibleRuns - r.runs
	if f.brokenOffBy.ID == "" {
		f.brokenOffBy = r.call.brokenOffBy
	}
	maps.Copy(f.sentTo, r.call.sentTo)
	maps.Copy(f.excluded, r.call.excluded)
	f.emptyEnds += r.call.emptyEnds
	t := r.next
	if t == nil {
		return
	}
	r.next = nil
	r.gateway.endTakeover(t)
	if callEnded {
		t.drop()
		return
	}
	f.takeover = t
}
