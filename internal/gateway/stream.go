package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/event"
)

const (
	// latencyGoalFactor and eventGapGoalFactor are the multiples of the goals for the
	// first event and for the gap between events after which a resumable stream
	// leaves a silent engine. minSilenceTimeout is the minimum of both times.
	latencyGoalFactor  = 2
	eventGapGoalFactor = 3
	minSilenceTimeout  = 600 * time.Millisecond
)

// streamState is the state of a stream across attempts.
type streamState struct {
	*forwardedCall
	// lastEventID is the ID of the last event passed on.
	lastEventID string
	// running is the attempt that is being made if another server may take the stream
	// over, or nil.
	running *runningAttempt
	// unnumbered is set if an event with data but no ID was passed on after it: the
	// stream cannot be resumed without repeating that event.
	unnumbered bool
	// firstHeader is the header of the response that has been passed on, or nil.
	firstHeader http.Header
}

// serveStream serves a call whose response is a stream of events.
func (g *Gateway) serveStream(ctx context.Context, f *forwardedCall) {
	st := &streamState{forwardedCall: f, lastEventID: f.call.LastEventID}
	for ctx.Err() == nil {
		c, err := g.nextServer(ctx, f)
		if err != nil {
			f.detail = err.Error()
			break
		}
		if g.tryStream(ctx, st, c) {
			return
		}
		if st.unnumbered && f.takeover == nil || !g.mayContinue(f) {
			break
		}
	}
	f.dropTakeover()
	if st.headerSent {
		f.outcome = endedBy(ctx, "broken")
		f.writer.Abort()
		return
	}
	g.refuseUnserved(ctx, f)
}

// tryStream makes one attempt. It reports whether the caller got a response or has
// left.
func (g *Gateway) tryStream(callCtx context.Context, st *streamState, c serverChoice) (ended bool) {
	f := st.forwardedCall
	ctx, cancel := f.attemptContext(callCtx)
	defer cancel(nil)
	defer g.watchBeginning(f, cancel)()
	pendingTokens := c.UncachedTokens
	g.table.Begin(c.server.ID, pendingTokens)
	defer g.endLoad(f, c.server.ID)
	defer g.holdMemory(f, c)()
	promptRead := func() { g.table.PromptRead(c.server.ID, pendingTokens); pendingTokens = 0 }
	defer promptRead()
	sentAt := g.now()
	if f.takeover != nil {
		sentAt = f.takeover.sentAt
	}

	paceSample := g.beginSample(f, c)
	defer paceSample.End()
	st.running = nil
	if f.canRetry() && f.possibleRuns+1 < f.route.MaxAttempts {
		running := g.newRunningAttempt(callCtx, cancel, f, c, st.lastEventID,
			max(minSilenceTimeout, latencyGoalFactor*f.route.LatencyGoal), max(minSilenceTimeout, eventGapGoalFactor*f.route.EventGapGoal))
		defer func() { running.finish(f, ended) }()
		defer g.movableStreams.add(c.server.ID, running)()
		st.running = running
	}
	sample := g.sampleAttempt(f, c)
	resp, err := g.send(ctx, f, c, st.lastEventID)
	if err != nil {
		sample.broken(ctx, err, g.now())
		g.removeParts(f, c)
		return false
	}
	defer resp.close()
	if resp.NotRun || resp.WrongServer {
		sample.refused()
		g.removeParts(f, c)
		return false
	}
	if resp.Status != http.StatusOK {
		sample.answered(resp.Status >= http.StatusInternalServerError, g.now())
		return g.handleNonStream(ctx, st, c, resp)
	}
	err = st.copyEvents(resp, g.buffers, func() { g.recordProgress(f, false); g.recordAnswer(f, c.server) }, func() {
		if pendingTokens > 0 {
			g.table.RecordPrefill(c.server.Service, c.UncachedTokens+c.pendingTokens, g.now()-sentAt)
		}
		promptRead()
		sample.firstByte(g.now())
		paceSample.Responded(g.now())
		if f.firstByteAt == 0 {
			f.firstByteAt = g.now()
			g.markPartsReady(f, c)
		}
		f.lastEventAt = g.now()
	})
	switch {
	case errors.Is(err, errCallerLeft):
		f.outcome = outcomeCallerLeft
		return true
	case err != nil && errors.Is(context.Cause(ctx), errStreamMoved):
		f.excluded[c.server.ID] = true
		moved := event.StreamMoved
		if errors.Is(context.Cause(ctx), errReplaced) {
			moved = event.RolloutStreamMoved
		}
		moved.Log(g.log, nil, log.Fields{"request": f.call.ID, "server": c.server.ID, "last": st.lastEventID})
		return false
	case errors.Is(err, errNoNewEvent) && f.emptyEnds+st.running.emptyEnds()+1 >= minEmptyEnds:
		if err := st.writeHeader(resp); err != nil {
			f.outcome = outcomeCallerLeft
			return true
		}
	case err != nil:
		if errors.Is(err, errNoNewEvent) {
			f.emptyEnds++
			sample.answered(false, g.now())
		}
		sample.broken(ctx, err, g.now())
		g.recordAttempt(ctx, f, c, nil, err)
		// The connection must not be used again, even if the response was read to its end.
		cancel(err)
		return false
	}
	sample.answered(false, g.now())
	g.recordSuccess(c.server)
	if f.progress.events > 0 && !resp.EndsWithConn {
		g.recordProgress(f, true)
	}
	f.status, f.outcome = resp.Status, outcomeAnswered
	return true
}

// handleNonStream handles a response of an engine that is not a stream.
func (g *Gateway) handleNonStream(ctx context.Context, st *streamState, c serverChoice, resp *Response) bool {
	body, err := resp.takeWhole(g.buffers)
	if err != nil {
		g.recordAttempt(ctx, st.forwardedCall, c, nil, err)
		return false
	}
	defer st.releaseUnlessKept(body)
	if st.headerSent {
		st.excluded[c.server.ID] = true
		return false
	}
	if resp.Status >= http.StatusInternalServerError && st.canRetry() {
		st.excluded[c.server.ID] = true
		st.keepFailure(resp, body)
		return false
	}
	g.sendResponse(st.forwardedCall, resp, body.Bytes())
	return true
}

// removeParts undoes recordPrefill for an engine that did not process a prompt.
func (g *Gateway) removeParts(f *forwardedCall, c serverChoice) {
	for _, p := range f.call.Prompt.SharedBlocks() {
		g.parts.RemovePart(c.server.ID, c.cacheSalt, p.ID)
	}
}

// Errors of streamState.copyEvents.
var (
	// errCallerLeft means that the caller has left.
	errCallerLeft = errors.New("caller left")
	// errHandedOver means that another server continues the stream.
	errHandedOver = errors.New("another server continues the stream")
	// errNoNewEvent means that a server that was to continue a stream ended its connection
	// without a further event: there may be none, or the server may have failed.
	errNoNewEvent = errors.New("stream ended with its connection and without a further event")
)

// minEmptyEnds is the number of servers that must have ended a stream with errNoNewEvent,
// after the same event, for it to be complete.
const minEmptyEnds = 2

// errNoContinuation means that a response does not continue the one that the caller has.
var errNoContinuation = errors.New("response does not continue the stream")

// isContinuation reports whether a response has the content type and encoding of the one
// that has been passed on.
func (st *streamState) isContinuation(resp *Response) bool {
	if resp.Header.Get("Content-Encoding") != st.firstHeader.Get("Content-Encoding") {
		return false
	}
	first, _, _ := strings.Cut(st.firstHeader.Get("Content-Type"), ";")
	next, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(first), strings.TrimSpace(next))
}

// copyEvents passes on the complete events of a response. It skips events that the
// caller has from an earlier attempt. It calls onData for each event with data and
// onProgress for each new one; comments and repeated events show no progress of the call.
func (st *streamState) copyEvents(resp *Response, budget *buffer.Budget, onData, onProgress func()) error {
	if resp.events == nil {
		resp.events = newEventReader(resp.Body, budget)
	}
	events := resp.events
	if st.headerSent && !st.isContinuation(resp) {
		return fmt.Errorf("%w: content type %q, encoding %q", errNoContinuation, resp.Header.Get("Content-Type"), resp.Header.Get("Content-Encoding"))
	}
	continued, progressed := st.headerSent, false
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) && !progressed {
			if err := resp.checkEmptyEnd(st.lastEventID); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			if !st.headerSent {
				return st.writeHeader(resp)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if e.hasData {
			onData()
		}
		if !e.follows(st.lastEventID) {
			continue
		}
		if !st.running.passOn(e) {
			return errHandedOver
		}
		if e.hasData {
			if continued && e.id == "" {
				return fmt.Errorf("%w: event without ID", errNoContinuation)
			}
			progressed, st.unnumbered, st.emptyEnds = true, e.id == "", 0
			onProgress()
		}
		if st.headerSent {
			e.raw = bytes.TrimPrefix(e.raw, byteOrderMark)
		}
		if err := st.writeHeader(resp); err != nil {
			return err
		}
		if err := st.writer.Write(e.raw); err != nil {
			return errCallerLeft
		}
		st.running.passedOn(e)
		if e.id != "" {
			st.lastEventID, st.unnumbered = e.id, false
		}
	}
}

func (st *streamState) writeHeader(resp *Response) error {
	if st.headerSent {
		return nil
	}
	st.headerSent, st.firstHeader = true, resp.Header
	length := resp.ContentLength
	if st.route.Resumable {
		// The length of the response changes if the stream is resumed.
		length = -1
	}
	if err := st.writer.WriteHeader(resp.Status, resp.Header, length); err != nil {
		return errCallerLeft
	}
	return nil
}
