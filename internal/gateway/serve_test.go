package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

var errConnReset = errors.New("connection reset")

func respondWith(responses ...any) func(context.Context, int, *Attempt) (*Response, error) {
	return func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		switch v := responses[min(n, len(responses))-1].(type) {
		case error:
			return nil, v
		case func() *Response:
			return v(), nil
		case *Response:
			return v, nil
		}
		panic("unexpected response type")
	}
}

// The kind of the route determines which calls are retried, and a refusal that states
// that a call did not run must be true.
func TestRetriesByRouteKind(t *testing.T) {
	tests := []struct {
		name      string
		path      string
		responses []any
		status    int
		refusal   Reason
		attempts  int
	}{
		{"at most once, response", "/once/", []any{newResponse(200, "ok")}, 200, "", 1},
		{"at most once, connection reset", "/once/", []any{errConnReset}, 0, ReasonBackendFailed, 1},
		{"at most once, truncated response", "/once/", []any{truncatedResponse("par")}, 0, ReasonBackendFailed, 1},
		{"at most once, not sent", "/once/", []any{upstream.ErrUnsent, newResponse(200, "ok")}, 200, "", 2},
		{"at most once, not run", "/once/", []any{notRunResponse(503), newResponse(200, "ok")}, 200, "", 2},
		{"at most once, status 500", "/once/", []any{newResponse(500, "no")}, 500, "", 1},
		{"at most once, not run by any server", "/once/", []any{func() *Response { return notRunResponse(503) }}, 0, ReasonUnavailable, maxAttempts},
		{"idempotent, connection reset", "/idempotent/", []any{errConnReset, newResponse(200, "ok")}, 200, "", 2},
		{"idempotent, truncated response", "/idempotent/", []any{truncatedResponse("par"), newResponse(200, "ok")}, 200, "", 2},
		{"idempotent, status 500", "/idempotent/", []any{newResponse(500, "no"), newResponse(200, "ok")}, 200, "", 2},
		{"idempotent, status 500 twice", "/idempotent/", []any{newResponse(500, "no"), newResponse(500, "no")}, 500, "", 2},
		{"idempotent, status 500, then connection reset", "/idempotent/", []any{newResponse(500, "no"), errConnReset}, 500, "", 2},
		{"resumable stream, status 500, then connection reset", "/resumable/", []any{newResponse(500, "no"), errConnReset}, 500, "", 2},
		{"idempotent, connection reset twice", "/idempotent/", []any{errConnReset, errConnReset, newResponse(200, "ok")}, 0, ReasonBackendFailed, 2},
		{"stream, connection reset", "/stream/", []any{errConnReset}, 0, ReasonBackendFailed, 1},
		{"stream, not run", "/stream/", []any{notRunResponse(503), newResponse(200, "id: 1\ndata: x\n\n")}, 200, "", 2},
		{"resumable stream, connection reset", "/resumable/", []any{errConnReset, newResponse(200, "id: 1\ndata: x\n\n")}, 200, "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(tt.responses...))
			c := serveCall(t, g, tt.path, "key")
			require.Len(t, a.sentAttempts(), tt.attempts)
			require.Equal(t, tt.status, c.status)
			if tt.refusal == "" {
				require.Nil(t, c.refusal)
				return
			}
			require.NotNil(t, c.refusal)
			require.Equal(t, tt.refusal, c.refusal.Reason)
		})
	}
}

func TestAdmission(t *testing.T) {
	tests := []struct {
		name, path, key string
		prepare         func(*Gateway)
		want            Reason
	}{
		{"known key", "/idempotent/", "key", nil, ""},
		{"unknown key", "/idempotent/", "other", nil, ReasonUnknownKey},
		{"no key", "/idempotent/", "", nil, ReasonUnknownKey},
		{"no key on a public route", "/public/", "", nil, ""},
		{"no route", "/none/", "key", nil, ReasonNoRoute},
		{"stale proof", "/idempotent/", "key", func(g *Gateway) { expireProof(g) }, ReasonUnavailable},
		{"stale proof on a public route", "/public/", "", func(g *Gateway) { expireProof(g) }, ""},
		{"no catalog", "/idempotent/", "key", func(g *Gateway) { g.catalog = catalog.NewTracker() }, ReasonUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newTestGateway(t, respondWith(func() *Response { return newResponse(200, "ok") }))
			if tt.prepare != nil {
				tt.prepare(g)
			}
			c := serveCall(t, g, tt.path, tt.key)
			if tt.want == "" {
				require.Equal(t, 200, c.status)
				return
			}
			require.NotNil(t, c.refusal)
			require.Equal(t, tt.want, c.refusal.Reason)
		})
	}
}

// expireProof replaces the proof of the catalog by one that is too old.
func expireProof(g *Gateway) {
	old := catalog.NewTracker()
	old.Put(g.catalog.Current())
	old.RecordProof(g.now() - g.maxProofAge() - time.Millisecond)
	g.catalog = old
}

func TestAttemptCarriesTeam(t *testing.T) {
	g, a := newTestGateway(t, respondWith(newResponse(200, "ok")))
	serveCall(t, g, "/idempotent/", "key")
	require.Equal(t, "team", a.sentAttempts()[0].Team)
}

func TestChargeRefundedIfCallDidNotRun(t *testing.T) {
	g, _ := newTestGateway(t, respondWith(func() *Response { return notRunResponse(503) }))
	for range 3 {
		require.Equal(t, ReasonUnavailable, serveCall(t, g, "/stream/", "key").refusal.Reason)
	}
	for team, total := range g.quota.Totals(g.now()) {
		require.Zero(t, total, team)
	}
}

func TestChargeStandsIfCallMayHaveRun(t *testing.T) {
	tests := []struct {
		path   string
		status int
		reason Reason
	}{{"/stream/", 0, ReasonBackendFailed}, {"/resumable/", 503, ""}}
	for _, tt := range tests {
		g, _ := newTestGateway(t, respondWith(func() *Response {
			resp := newResponse(503, "")
			resp.ReadAsNotRun = true
			return resp
		}))
		c := serveCall(t, g, tt.path, "key")
		require.Equal(t, tt.status, c.status)
		if tt.reason != "" {
			require.Equal(t, tt.reason, c.refusal.Reason)
		}
		require.NotEmpty(t, g.quota.Totals(g.now()), tt.path)
	}
}

func TestCallsOverRateAreRefused(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, "id: 1\n\n") }))
	refused := 0
	for range 5 {
		if c := serveCall(t, g, "/stream/", "key"); c.refusal != nil {
			require.Equal(t, ReasonOverRate, c.refusal.Reason)
			require.Positive(t, c.refusal.RetryAfter)
			refused++
		}
	}
	// Each call takes 310 tokens of a burst of 1,000.
	require.Equal(t, 2, refused)
	require.Len(t, a.sentAttempts(), 3)
}

func TestRetriesAfterResponseFromWrongServer(t *testing.T) {
	g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			resp := newResponse(421, "")
			resp.WrongServer = true
			return resp, nil
		}
		return newResponse(200, "ok"), nil
	})
	require.Equal(t, 200, serveCall(t, g, "/once/", "key").status)
	require.NotEqual(t, a.sentAttempts()[0].Server.ID, a.sentAttempts()[1].Server.ID)
}

func TestDrainingServersGetNoCalls(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, "ok") }))
	g.table.Put(backend.Server{ID: "p1", Service: "plain", Address: "p1", Zone: "z1", Slots: 6, Draining: true})
	for range 10 {
		serveCall(t, g, "/idempotent/", "key")
	}
	for _, s := range a.sentAttempts() {
		require.Equal(t, "p2", s.Server.ID)
	}
}

// A server that says in an answer that it leaves must get no further calls, though the
// list of servers does not say so.
func TestServersThatSayThatTheyLeaveGetNoCalls(t *testing.T) {
	leaving := func(resp *Response) *Response { resp.Leaving = true; return resp }
	wrongServer := func() *Response {
		resp := notRunResponse(421)
		resp.WrongServer = true
		return resp
	}
	tests := []struct {
		name, path string
		first      func() *Response
		left       bool
	}{
		{"an answer", "/idempotent/", func() *Response { return leaving(newResponse(200, "ok")) }, true},
		{"a failure", "/idempotent/", func() *Response { return leaving(newResponse(500, "")) }, true},
		{"a refusal", "/once/", func() *Response { return leaving(notRunResponse(503)) }, true},
		{"a stream", "/stream/", func() *Response { return leaving(newResponse(200, eventStream("1"))) }, true},
		{"a truncated stream", "/resumable/", func() *Response { return leaving(truncatedResponse(eventStream("1"))) }, true},
		{"an answer of another server", "/idempotent/", func() *Response { return leaving(wrongServer()) }, false},
		{"an answer that says nothing", "/idempotent/", func() *Response { return newResponse(200, "ok") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
				if n == 1 {
					return tt.first(), nil
				}
				return newResponse(200, eventStream("2")), nil
			})
			serveCall(t, g, tt.path, "isolated-key")
			first := a.sentAttempts()[0].Server
			s, _ := g.table.Get(first.ID, g.now())
			require.Equal(t, tt.left, s.Draining)
			s = first
			s.Draining = false
			g.table.Put(s)
			for range 10 {
				require.Equal(t, 200, serveCall(t, g, tt.path, "isolated-key").status)
			}
			for i, sent := range a.sentAttempts() {
				require.False(t, tt.left && i > 0 && sent.Server.ID == first.ID, "attempt %d", i)
			}
		})
	}
}

// A poll for the server list that is lost on a dead connection must time out while
// the servers that left in the meantime may still get new calls.
func TestLostServerListPollTimesOutInTime(t *testing.T) {
	for _, leave := range []time.Duration{2 * time.Second, 3 * time.Second} {
		wait, delay := serverPollTimes(leave)
		require.Less(t, wait+delay+feed.LongPollGrace, leave)
	}
}

func TestRefusedAtTimeout(t *testing.T) {
	tests := []struct {
		path string
		wait time.Duration
		want time.Duration
	}{
		{"/once/", 0, time.Second},
		{"/once/", 200 * time.Millisecond, 200 * time.Millisecond},
		{"/stream/", 300 * time.Millisecond, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.path, tt.wait), func(t *testing.T) {
			g, _ := newTestGateway(t, func(ctx context.Context, _ int, _ *Attempt) (*Response, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
			call := newCall(tt.path, "key")
			call.Timeout = tt.wait
			c := &responseRecorder{}
			began := now()
			g.Serve(context.Background(), call, c)
			require.InDelta(t, tt.want.Seconds(), (now() - began).Seconds(), 0.2)
			require.NotNil(t, c.refusal)
			require.Equal(t, ReasonTimedOut, c.refusal.Reason)
		})
	}
}

// A silent server must not use up the whole timeout of a call that may be retried.
func TestRetriesAfterAttemptTimeout(t *testing.T) {
	g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return newResponse(200, "ok"), nil
	})
	began := now()
	require.Equal(t, 200, serveCall(t, g, "/idempotent/", "key").status)
	require.Less(t, now()-began, 500*time.Millisecond)
	require.Len(t, a.sentAttempts(), 2)
}

func TestNoRetryAfterCallerLeft(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	g, a := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) {
		cancel()
		return nil, errConnReset
	})
	g.Serve(ctx, newCall("/idempotent/", "key"), &responseRecorder{})
	require.Len(t, a.sentAttempts(), 1)
}

func TestPromptsAreDistributedOverKVStores(t *testing.T) {
	stores := []*catalog.KVCacheStore{{Address: "1"}, {Address: "2"}, {Address: "3"}}
	prompt := func(i int) parts.Prompt {
		return parts.Prompt{Parts: []parts.Part{{ID: "top"}, {ID: fmt.Sprint(i)}, {ID: "own"}}}
	}
	count := map[string]int{}
	reassigned := 0
	for i := range 300 {
		s := kvStoreFor(stores, prompt(i))
		require.Same(t, s, kvStoreFor(stores, prompt(i)))
		count[s.Address]++
		if s != stores[2] && kvStoreFor(stores[:2], prompt(i)) != s {
			reassigned++
		}
	}
	require.Len(t, count, 3)
	for _, n := range count {
		require.Greater(t, n, 60)
	}
	require.Zero(t, reassigned, "removing a store must reassign only its own prompts")
	require.Nil(t, kvStoreFor(stores, parts.Prompt{Parts: []parts.Part{{ID: "own"}}}))
	require.Nil(t, kvStoreFor(nil, prompt(1)))
}

func TestRetriesStayWithinBudget(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return notRunResponse(http.StatusServiceUnavailable) }))
	for range 200 {
		serveCall(t, g, "/once/", "key")
	}
	retries := len(a.sentAttempts()) - 200
	require.LessOrEqual(t, float64(retries), (0.2*200+50)*retryBudgetShare+1)
}

// A process that is held up while it looks for a server has not waited for one yet: it
// must look again, or it refuses a call that servers can take.
func TestHeldUpCallLooksForAServerAgain(t *testing.T) {
	g, _ := newTestGateway(t, respondWith(func() *Response { return newResponse(200, "") }))
	f := &forwardedCall{
		call: newCall("/once/", "key"), service: "plain", excluded: map[string]bool{"p1": true, "p2": true},
		// The look alone takes longer than half the goal.
		route: &catalog.Route{LatencyGoal: time.Nanosecond},
	}
	_, err := g.nextServer(t.Context(), f)
	require.NoError(t, err)
}
