package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

// addServers adds two servers to each service of newTestGateway.
func addServers(g *Gateway) {
	for _, id := range []string{"p3", "p4"} {
		g.table.Put(backend.Server{ID: id, Service: "plain", Address: id, Zone: "z1", Slots: 6})
	}
	for _, id := range []string{"e3", "e4"} {
		g.table.Put(backend.Server{ID: id, Service: "model", Address: id, Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
	}
}

func waitUntilCanceled(ctx context.Context) (*Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func TestCallThatIsTakenOverByItsLastAttemptIsAnswered(t *testing.T) {
	tests := []struct {
		name, path, want string
		first            func(ctx context.Context) (*Response, error)
		last             *Response
	}{
		{"stream", "/resumable/", eventStream("1", "2"), func(ctx context.Context) (*Response, error) { return pausingStream(ctx, time.Minute), nil },
			newResponse(http.StatusOK, eventStream("2"))},
		{"whole response", "/idempotent/", "ok", waitUntilCanceled, newResponse(http.StatusOK, "ok")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
				switch n {
				case 1:
					return tt.first(ctx)
				case maxAttempts:
					return tt.last, nil
				}
				return notRunResponse(http.StatusServiceUnavailable), nil
			})
			addServers(g)
			c := serveCall(t, g, tt.path, "isolated-key")
			require.Nil(t, c.refusal)
			require.False(t, c.aborted)
			require.Equal(t, tt.want, c.body.String())
			require.Len(t, a.sentAttempts(), maxAttempts)
		})
	}
}

func TestCallThatAnotherServerMayHaveRunIsNotRefusedAsNotRunAtItsDeadline(t *testing.T) {
	g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			<-ctx.Done()
			return notRunResponse(http.StatusServiceUnavailable), nil
		}
		<-ctx.Done()
		time.Sleep(50 * time.Millisecond)
		return nil, ctx.Err()
	})
	call := newCall("/idempotent/", "isolated-key")
	call.Timeout = minAttemptTimeout + acceptTimeout/2
	c := &responseRecorder{}
	g.Serve(context.Background(), call, c)
	require.Len(t, a.sentAttempts(), 2)
	require.NotNil(t, c.refusal)
	require.Equal(t, ReasonTimedOut, c.refusal.Reason)
}

func TestCallThatAnotherServerMayHaveRunIsNotRefusedAsNotRun(t *testing.T) {
	for _, path := range []string{"/resumable/", "/idempotent/"} {
		t.Run(path, func(t *testing.T) {
			var g *Gateway
			taken := make(chan struct{})
			g, _ = newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
				if n == 1 {
					select {
					case <-taken:
					case <-ctx.Done():
					}
					return notRunResponse(http.StatusServiceUnavailable), nil
				}
				withdrawKey(g, path)
				close(taken)
				time.Sleep(acceptTimeout / 2)
				return newResponse(http.StatusOK, eventStream("1")), ctx.Err()
			})
			c := serveCall(t, g, path, "isolated-key")
			require.Nil(t, c.refusal)
			require.Equal(t, eventStream("1"), c.body.String())
		})
	}
}

func TestSilentServerGivesWayToEachCompleteResponse(t *testing.T) {
	for _, status := range []int{http.StatusCreated, http.StatusNoContent, http.StatusFound, http.StatusNotFound} {
		for _, path := range []string{"/idempotent/", "/resumable/"} {
			if path == "/resumable/" && status < http.StatusBadRequest {
				continue
			}
			t.Run(path+http.StatusText(status), func(t *testing.T) {
				g, _ := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
					if n == 1 {
						return waitUntilCanceled(ctx)
					}
					return newResponse(status, "answer"), nil
				})
				c := serveCall(t, g, path, "isolated-key")
				require.Nil(t, c.refusal)
				require.Equal(t, status, c.status)
				require.Equal(t, "answer", c.body.String())
			})
		}
	}
}

func TestBegunStreamOfSilentEngineIsTakenOverAlthoughItsKeyWasWithdrawn(t *testing.T) {
	var g *Gateway
	g, _ = newTestGateway(t, func(ctx context.Context, n int, a *Attempt) (*Response, error) {
		if n == 1 {
			time.AfterFunc(minSilenceTimeout/2, func() { withdrawKey(g, "/resumable/") })
			return pausingStream(ctx, time.Minute), nil
		}
		if !a.Permit() {
			return nil, upstream.ErrUnsent
		}
		return newResponse(http.StatusOK, eventStream("2")), nil
	})
	c := serveCall(t, g, "/resumable/", "isolated-key")
	require.False(t, c.aborted)
	require.Equal(t, eventStream("1", "2"), c.body.String())
}

type slowCaller struct {
	responseRecorder
	delay time.Duration
}

func (c *slowCaller) Write(p []byte) error {
	time.Sleep(c.delay)
	return c.responseRecorder.Write(p)
}

func TestSlowCallerDoesNotMakeAnEngineSilent(t *testing.T) {
	g, a := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) {
		return newResponse(http.StatusOK, eventStream("1", "2")), nil
	})
	c := &slowCaller{delay: 2 * minSilenceTimeout}
	g.Serve(context.Background(), newCall("/resumable/", "isolated-key"), c)
	require.False(t, c.aborted)
	require.Equal(t, eventStream("1", "2"), c.body.String())
	require.Len(t, a.sentAttempts(), 1)
}

func TestPrefillOfEngineThatTakesOverIsMeasuredFromItsStart(t *testing.T) {
	g, _ := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			return waitUntilCanceled(ctx)
		}
		time.Sleep(acceptTimeout / 2)
		return newResponse(http.StatusOK, eventStream("1")), nil
	})
	before := g.table.Statuses("model", g.now())[0].TokensPerMilli
	call := newCall("/resumable/", "isolated-key")
	call.Prompt.InputTokens, call.Prompt.Parts[1].Tokens = 3000, 2800
	c := &responseRecorder{}
	g.Serve(context.Background(), call, c)
	require.Equal(t, eventStream("1"), c.body.String())
	require.Less(t, g.table.Statuses("model", g.now())[0].TokensPerMilli, before)
}

func TestBegunStreamOfSilentEngineUsesTheLastShareOfTheRetryBudget(t *testing.T) {
	var g *Gateway
	g, _ = newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n > 1 {
			return newResponse(http.StatusOK, eventStream("2")), nil
		}
		for g.retries.Take("model", g.now(), startReserve) {
		}
		return pausingStream(ctx, time.Minute), nil
	})
	c := serveCall(t, g, "/resumable/", "isolated-key")
	require.False(t, c.aborted)
	require.Equal(t, eventStream("1", "2"), c.body.String())
}

func TestPausedEngineKeepsItsStreamWhileNoOtherEngineAnswers(t *testing.T) {
	g, _ := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			return pausingStream(ctx, 2*minSilenceTimeout), nil
		}
		return waitUntilCanceled(ctx)
	})
	c := serveCall(t, g, "/resumable/", "isolated-key")
	require.False(t, c.aborted)
	require.Equal(t, eventStream("1", "2"), c.body.String())
}
