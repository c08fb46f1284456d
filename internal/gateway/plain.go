package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// answerLimit bounds a plain answer that is held until it is whole, in bytes.
	answerLimit = 8 << 20
	// attemptLeast is the shortest time that an attempt is given where another
	// one may follow.
	attemptLeast = 150 * time.Millisecond
)

// plain serves a call whose answer is passed on once it is whole.
func (g *Gateway) plain(ctx context.Context, f *flight) {
	for ctx.Err() == nil {
		c, err := g.next(ctx, f)
		if err != nil {
			f.why = err.Error()
			break
		}
		if g.plainAttempt(ctx, f, c) {
			return
		}
		if f.runs > 0 && !f.mayRepeat() {
			break
		}
	}
	g.giveUp(ctx, f)
}

// plainAttempt reports whether the caller was answered.
func (g *Gateway) plainAttempt(ctx context.Context, f *flight, c choice) bool {
	ctx, cancel := g.attemptTime(ctx, f)
	defer cancel()
	g.table.Begin(c.server.ID, 0)
	defer g.table.End(c.server.ID)
	ans, err := g.send(ctx, f, c, "")
	if err != nil {
		return false
	}
	defer func() { _ = ans.Body.Close() }()
	if ans.NotRun || ans.WrongServer {
		return false
	}
	body, err := io.ReadAll(io.LimitReader(ans.Body, answerLimit+1))
	if err == nil && len(body) > answerLimit {
		err = errors.New("answer is too long")
	}
	if err != nil {
		g.learn(ctx, f, c, nil, err)
		return false
	}
	g.succeeded(c.server)
	if ans.Status >= http.StatusInternalServerError && f.mayRepeat() {
		f.tried[c.server.ID] = true
		if next, ok := g.choose(f, f.service); ok && next.server.ID != "" && g.ahead(f) {
			return false
		}
	}
	g.pass(f, ans, body)
	return true
}

// ahead reports whether another attempt still makes sense in the call's time.
func (g *Gateway) ahead(f *flight) bool { return f.ends-g.now() > attemptLeast }

// attemptTime bounds an attempt where another one may follow, so that a silent
// server does not take the whole time of a call.
func (g *Gateway) attemptTime(ctx context.Context, f *flight) (context.Context, context.CancelFunc) {
	left := f.ends - g.now()
	if !f.route.Repeatable() || f.runs+1 >= max(1, f.route.MaxAttempts) {
		return context.WithCancel(ctx)
	}
	return context.WithTimeoutCause(ctx, max(attemptLeast, min(f.route.LatencyGoal, left/2)), errSilent)
}

// pass sends a whole answer to the caller.
func (g *Gateway) pass(f *flight, ans *Response, body []byte) {
	f.status, f.first, f.outcome = ans.Status, g.now(), outcomeAnswered
	if err := f.sink.WriteHeader(ans.Status, ans.Header, int64(len(body))); err != nil {
		f.outcome = "caller left"
		return
	}
	if len(body) > 0 {
		if err := f.sink.Write(body); err != nil {
			f.outcome = "caller left"
		}
	}
}
