package gateway

import (
	"context"
	"net/http"
	"time"
)

const (
	// maxResponseBytes bounds a response that is buffered until it is complete.
	maxResponseBytes = 8 << 20
	// minAttemptTimeout is the minimum timeout of an attempt that another one may
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
	g.refuseUnserved(ctx, f)
}

// tryWhole makes one attempt. It reports whether the caller got a response.
func (g *Gateway) tryWhole(ctx context.Context, f *forwardedCall, c serverChoice) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer g.watchBeginning(f, cancel)()
	ctx, stop := g.attemptContext(ctx, f)
	defer stop()
	g.table.Begin(c.server.ID, 0)
	defer g.table.End(c.server.ID)
	resp, err := g.send(ctx, f, c, "")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.NotRun || resp.WrongServer {
		return false
	}
	body := &buffer{budget: g.buffers, limit: maxResponseBytes}
	defer body.release()
	if err := body.readAll(resp.Body); err != nil {
		g.recordAttempt(ctx, f, c, nil, err)
		return false
	}
	g.recordSuccess(c.server)
	if resp.Status == http.StatusOK && !resp.EndsWithConn {
		g.recordProgress(f, true)
	}
	if resp.Status >= http.StatusInternalServerError && f.canRetry() {
		f.excluded[c.server.ID] = true
		if next, ok := g.chooseServer(f, f.service); ok && next.server.ID != "" && g.hasTimeForAttempt(f) {
			return false
		}
	}
	g.sendResponse(f, resp, body.bytes)
	return true
}

// hasTimeForAttempt reports whether enough time is left for another attempt.
func (g *Gateway) hasTimeForAttempt(f *forwardedCall) bool {
	return f.deadline-g.now() > minAttemptTimeout
}

// attemptContext limits an attempt that another one may follow, so that a silent
// server does not use up the whole timeout of the call.
func (g *Gateway) attemptContext(ctx context.Context, f *forwardedCall) (context.Context, context.CancelFunc) {
	left := f.deadline - g.now()
	if !f.route.Repeatable() || f.possibleRuns+1 >= max(1, f.route.MaxAttempts) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, max(minAttemptTimeout, min(f.route.LatencyGoal, left/2)), errServerSilent)
}

// sendResponse passes a complete response on to the caller.
func (g *Gateway) sendResponse(f *forwardedCall, resp *Response, body []byte) {
	f.status, f.firstByteAt, f.outcome = resp.Status, g.now(), outcomeAnswered
	if err := f.writer.WriteHeader(resp.Status, resp.Header, int64(len(body))); err != nil {
		f.outcome = "caller left"
		return
	}
	if len(body) > 0 {
		if err := f.writer.Write(body); err != nil {
			f.outcome = "caller left"
		}
	}
}
