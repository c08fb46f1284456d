package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausingStream returns a stream that pauses between its two events.
func pausingStream(ctx context.Context, pause time.Duration) *Response {
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, eventStream("1"))
		select {
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
		case <-time.After(pause):
			_, _ = io.WriteString(w, eventStream("2"))
			_ = w.Close()
		}
	}()
	return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}
}

func TestSilentEngineKeepsStreamThatNoOtherEngineCanTake(t *testing.T) {
	tests := []struct {
		name    string
		prevent func(g *Gateway, other string)
	}{
		{"retry budget exhausted", func(g *Gateway, _ string) {
			for g.retries.Take("model", g.now(), 0) {
			}
		}},
		{"other engine refuses", func(*Gateway, string) {}},
		{"no other engine", func(g *Gateway, other string) { g.removeServer(other) }},
		{"other engine failed", func(g *Gateway, other string) { g.table.RecordPeerFailure(other, 0, 3, time.Minute, g.now()) }},
		{"other engine loads weights", func(g *Gateway, other string) { g.table.BeginReload(other, 0, "m", 2, g.now()) }},
		{"other engine leaves", func(g *Gateway, other string) {
			s, _ := g.table.Get(other, g.now())
			s.Draining = true
			g.table.Put(s)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g *Gateway
			g, a := newTestGateway(t, func(ctx context.Context, n int, a *Attempt) (*Response, error) {
				if n > 1 {
					return notRunResponse(http.StatusServiceUnavailable), nil
				}
				for _, s := range g.table.Statuses("model", g.now()) {
					if s.Server.ID != a.Server.ID {
						tt.prevent(g, s.Server.ID)
					}
				}
				return pausingStream(ctx, 2*minSilenceTimeout), nil
			})
			c := serveCall(t, g, "/resumable/", "isolated-key")
			require.False(t, c.aborted)
			require.Equal(t, eventStream("1", "2"), c.body.String())
			require.LessOrEqual(t, len(a.sentAttempts()), maxAttempts)
		})
	}
}

func TestSilentServerKeepsCallThatNoOtherServerCanTake(t *testing.T) {
	var g *Gateway
	g, a := newTestGateway(t, func(ctx context.Context, n int, a *Attempt) (*Response, error) {
		if n == 1 {
			for _, s := range g.table.Statuses("plain", g.now()) {
				if s.Server.ID != a.Server.ID {
					g.removeServer(s.Server.ID)
				}
			}
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(2 * minAttemptTimeout):
			}
		}
		return newResponse(http.StatusOK, "ok"), nil
	})
	c := serveCall(t, g, "/idempotent/", "isolated-key")
	require.Nil(t, c.refusal)
	require.Equal(t, http.StatusOK, c.status)
	require.Len(t, a.sentAttempts(), 1)
}

func TestStreamIsNotMovedUnlessAnotherEngineTakesIt(t *testing.T) {
	silent := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	tests := []struct {
		name     string
		remove   bool
		answer   func(ctx context.Context) (*Response, error)
		attempts int
	}{
		{"no other engine", true, silent, 1},
		{"other engine refuses", false, func(context.Context) (*Response, error) { return notRunResponse(http.StatusServiceUnavailable), nil }, 2},
		{"other engine fails", false, func(context.Context) (*Response, error) { return nil, errConnReset }, 2},
		{"other engine has an error", false, func(context.Context) (*Response, error) {
			return newResponse(http.StatusInternalServerError, "no"), nil
		}, 2},
		{"other engine is silent", false, silent, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g *Gateway
			g, a := newTestGateway(t, func(ctx context.Context, n int, a *Attempt) (*Response, error) {
				if n > 1 {
					return tt.answer(ctx)
				}
				for _, s := range g.table.Statuses("model", g.now()) {
					if tt.remove && s.Server.ID != a.Server.ID {
						g.removeServer(s.Server.ID)
					}
				}
				g.beginReload(a.Server.ID, 0, "m", 2)
				return pausingStream(ctx, streamMoveDelay+2*acceptTimeout), nil
			})
			// The latency goals of this route are too long for the silence timer to fire.
			c := serveCall(t, g, "/long-goals/", "isolated-key")
			require.False(t, c.aborted)
			require.Equal(t, eventStream("1", "2"), c.body.String())
			require.Len(t, a.sentAttempts(), tt.attempts)
			for _, s := range g.table.Statuses("model", g.now()) {
				require.Zero(t, s.Load)
				require.Zero(t, s.Pending)
			}
		})
	}
}

func TestStreamIsResumedAfterTheLastEventThatWasPassedOn(t *testing.T) {
	var g *Gateway
	g, a := newTestGateway(t, func(ctx context.Context, n int, a *Attempt) (*Response, error) {
		if n > 1 {
			time.Sleep(acceptTimeout / 2)
			after, err := strconv.Atoi(a.LastEventID)
			if err != nil {
				return nil, err
			}
			return newResponse(http.StatusOK, "id: "+strconv.Itoa(after+1)+"\ndata: second\n\n"), nil
		}
		g.beginReload(a.Server.ID, 0, "m", 2)
		r, w := io.Pipe()
		go func() {
			for i := 1; ctx.Err() == nil; i++ {
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: first\n\n")
				time.Sleep(10 * time.Millisecond)
			}
			_ = w.CloseWithError(ctx.Err())
		}()
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
	})
	c := serveCall(t, g, "/long-goals/", "isolated-key")
	require.False(t, c.aborted)
	require.Len(t, a.sentAttempts(), 2)
	last, err := strconv.Atoi(a.sentAttempts()[1].LastEventID)
	require.NoError(t, err)
	var want strings.Builder
	for i := 1; i <= last; i++ {
		want.WriteString("id: " + strconv.Itoa(i) + "\ndata: first\n\n")
	}
	want.WriteString("id: " + strconv.Itoa(last+1) + "\ndata: second\n\n")
	require.Equal(t, want.String(), c.body.String())
}

func TestProcessThatWasHeldUpDoesNotTakeItsServersForSilent(t *testing.T) {
	tests := []struct {
		name     string
		heldUp   time.Duration
		attempts int
	}{{"timer in time", 0, 1}, {"process held up", time.Second, 0}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
			call := newCall("/resumable/", "isolated-key")
			f := &forwardedCall{call: call, startedAt: g.now(), excluded: make(map[string]bool), sentTo: make(map[string]bool)}
			require.Nil(t, g.admit(f))
			c, ok := g.chooseServer(f, f.service)
			require.True(t, ok)
			ctx, cancel := context.WithCancelCause(context.Background())
			r := g.newRunningAttempt(ctx, cancel, f, c, "", time.Minute, time.Minute)
			defer r.finish(f, true)
			due := time.Now().Add(-tt.heldUp)
			r.silence.expiresAt, r.silence.dueAt = due, due
			r.silence.run()
			require.Len(t, a.sentAttempts(), tt.attempts)
		})
	}
}
