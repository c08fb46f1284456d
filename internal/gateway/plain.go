package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	// maxResponseBytes bounds a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// minAttemptTimeout is the minimum time that an attempt gets before another one may
	// follow.
	minAttemptTimeout = 150 * time.Millisecond
)

// serveWhole serves a call whose response is passed on once it is complete.
func (g *Gateway) serveWhole(ctx context.Context, f *forwardedCall) {
	for ctx.Err() == nil {
		c, err := g.nextServer(ctx, f)
		if err != nil {
			f.detail = err.Error()
			break
		}
		if g.tryWhole(ctx, f, c) {
			return
		}
		if !g.mayContinue(f) {
			break
		}
	}
	f.dropTakeover()
	g.refuseUnserved(ctx, f)
}

// tryWhole makes one attempt. It reports whether the caller got a response.
func (g *Gateway) tryWhole(callCtx context.Context, f *forwardedCall, c serverChoice) (answered bool) {
	ctx, cancel := f.attemptContext(callCtx)
	defer cancel(nil)
	defer g.watchBeginning(f, cancel)()
	if f.route.Repeatable() && f.possibleRuns+1 < f.route.MaxAttempts {
		timeout := max(minAttemptTimeout, min(f.route.LatencyGoal, (f.deadline-g.now())/2))
		running := g.newRunningAttempt(callCtx, cancel, f, c, "", timeout, timeout)
		defer func() { running.finish(f, answered) }()
	}
	paceSample := g.beginSample(f, c)
	defer paceSample.End()
	g.table.Begin(c.server.ID, 0)
	defer g.endLoad(f, c.server.ID)
	defer g.holdMemory(f, c)()
	sample := g.sampleAttempt(f, c)
	resp, err := g.send(ctx, f, c, "")
	if err != nil {
		sample.broken(ctx, err, g.now())
		return false
	}
	if resp.Status < http.StatusInternalServerError && !resp.NotRun && !resp.WrongServer {
		paceSample.Responded(g.now())
	}
	defer resp.close()
	if resp.NotRun || resp.WrongServer {
		sample.refused()
		return false
	}
	sample.firstByte(g.now())
	body, err := resp.takeWhole(g.buffers)
	if err != nil {
		sample.broken(ctx, err, g.now())
		g.recordAttempt(ctx, f, c, nil, err)
		return false
	}
	defer f.releaseUnlessKept(body)
	sample.answered(resp.Status >= http.StatusInternalServerError, g.now())
	g.recordSuccess(c.server)
	if resp.Status == http.StatusOK && !resp.EndsWithConn {
		g.recordProgress(f, true)
	}
	if resp.Status >= http.StatusInternalServerError && f.canRetry() {
		f.excluded[c.server.ID] = true
		if next, ok := g.chooseServer(f, f.service); ok && next.server.ID != "" && g.hasTimeForAttempt(f) {
			f.keepFailure(resp, body)
			return false
		}
	}
	g.sendResponse(f, resp, body.Bytes())
	return true
}

// hasTimeForAttempt reports whether enough time is left for another attempt.
func (g *Gateway) hasTimeForAttempt(f *forwardedCall) bool {
	return f.deadline-g.now() > minAttemptTimeout
}

// sendResponse passes a complete response on to the caller, unless the caller would read
// from it that a call did not run which must not run twice and may have run.
func (g *Gateway) sendResponse(f *forwardedCall, resp *Response, body []byte) {
	if resp.ReadAsNotRun && !f.route.Repeatable() {
		g.refuse(f, Refusal{Reason: ReasonBackendFailed})
		return
	}
	f.status, f.firstByteAt, f.outcome = resp.Status, g.now(), outcomeAnswered
	if err := f.writer.WriteHeader(resp.Status, resp.Header, int64(len(body))); err != nil {
		f.outcome = outcomeCallerLeft
		return
	}
	if len(body) > 0 {
		if err := f.writer.Write(body); err != nil {
			f.outcome = outcomeCallerLeft
		}
	}
}
