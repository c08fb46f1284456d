package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/stretchr/testify/require"
)

// fillEngines puts as many calls on all engines as may wait there. The returned function
// ends one of them.
func fillEngines(g *Gateway) (endOne func()) {
	for _, id := range []string{"e1", "e2"} {
		for range 16 {
			g.table.Begin(id, 0)
		}
	}
	return func() {
		g.endLoad(&forwardedCall{service: "model", engine: g.catalog.Current().Service("model").Engine}, "e1")
	}
}

// serveInBackground makes a call and returns its response once it has ended.
func serveInBackground(ctx context.Context, g *Gateway, path string) <-chan *responseRecorder {
	out := make(chan *responseRecorder, 1)
	go func() {
		c := &responseRecorder{}
		g.Serve(ctx, newCall(path, "isolated-key"), c)
		out <- c
	}()
	return out
}

func requireWaiting(t *testing.T, g *Gateway, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return g.queues.count() == n }, 2*time.Second, time.Millisecond)
}

// An engine that refuses calls while it loads weights must not cost further calls a
// retry, and must not count as failed, here or on other VMs.
func TestEnginesThatRefuseAreAvoided(t *testing.T) {
	g, a := newTestGateway(t, func(_ context.Context, _ int, a *Attempt) (*Response, error) {
		if a.Server.ID == "e1" {
			return notRunResponse(503), nil
		}
		return newResponse(200, eventStream("1")), nil
	})
	g.table.Begin("e2", 0)
	g.table.Begin("e2", 0)
	for range 10 {
		require.Equal(t, 200, serveCall(t, g, "/stream/", "isolated-key").status)
	}
	refused := 0
	for _, sent := range a.sentAttempts() {
		if sent.Server.ID == "e1" {
			refused++
		}
	}
	require.Equal(t, 1, refused)
	require.Empty(t, g.outbox.takeOwnZone().Failed)
}

// A call that an engine refused without running it must wait for a retry while its
// latency goal can be met, and be refused as not run, with a Retry-After, after that.
func TestRefusedCallWaitsForARetry(t *testing.T) {
	for _, refills := range []bool{true, false} {
		g, a := newTestGateway(t, respondWith(notRunResponse(503), newResponse(200, eventStream("1"))))
		for g.retries.Take("model", g.now(), startReserve) {
		}
		done := serveInBackground(t.Context(), g, "/long-goals/")
		requireWaiting(t, g, 1)
		if refills {
			for range 40 {
				g.retries.RecordCall("model", g.now())
			}
		}
		c := <-done
		if refills {
			require.Equal(t, 200, c.status)
			require.Len(t, a.sentAttempts(), 2)
			continue
		}
		require.Equal(t, ReasonUnavailable, c.refusal.Reason)
		require.GreaterOrEqual(t, c.refusal.RetryAfter, defaultRetryAfter)
		require.Len(t, a.sentAttempts(), 1)
	}
}

// Waiting calls must leave the queue when an engine has room, when the caller leaves, at
// the deadline and when the process stops; the last two must say that they did not run.
func TestWaitingCallsLeaveTheQueue(t *testing.T) {
	tests := []struct {
		name   string
		act    func(g *Gateway, endOne, leave func())
		status int
		reason Reason
		within time.Duration
	}{
		{"an engine has room", func(_ *Gateway, endOne, _ func()) { endOne() }, 200, "", 500 * time.Millisecond},
		{"a server is listed", func(g *Gateway, _, _ func()) {
			g.table.Put(backend.Server{ID: "e3", Service: "model", Address: "e3", Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
		}, 200, "", 500 * time.Millisecond},
		{"the caller leaves", func(_ *Gateway, _, leave func()) { leave() }, 0, ReasonUnavailable, 500 * time.Millisecond},
		{"the time is over", func(*Gateway, func(), func()) {}, 0, ReasonUnavailable, 3 * time.Second},
		{"the process ends before the deadline", func(g *Gateway, _, _ func()) { g.ServeFor(time.Second) }, 0, ReasonUnavailable, 500 * time.Millisecond},
		{"the process stops", func(g *Gateway, _, _ func()) { g.queues.close() }, 0, ReasonUnavailable, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(newResponse(200, eventStream("1"))))
			endOne := fillEngines(g)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := serveInBackground(ctx, g, "/long-goals/")
			requireWaiting(t, g, 1)
			began := now()
			tt.act(g, endOne, cancel)
			c := <-done
			require.Less(t, now()-began, tt.within)
			require.Equal(t, tt.status, c.status)
			requireWaiting(t, g, 0)
			if tt.reason != "" {
				require.Equal(t, tt.reason, c.refusal.Reason)
				require.Empty(t, a.sentAttempts())
			}
		})
	}
}

// An engine whose memory is full, by what this VM and others know, must get no calls
// while another has room, and an engine that is replaced has all of its memory.
func TestEnginesOverTheirMemoryAreAvoided(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	g.handleMessage(&gossip.Message{
		VM: "b", Zone: "z1", Loads: map[string]gossip.Load{"e1": {Calls: 2}, "e2": {Calls: 4}}, HeldTokens: map[string]int{"e1": 9950},
	}, false)
	for range 5 {
		require.Equal(t, 200, serveCall(t, g, "/stream/", "isolated-key").status)
	}
	for _, sent := range a.sentAttempts() {
		require.Equal(t, "e2", sent.Server.ID)
	}
	g.table.Put(backend.Server{ID: "e1", Born: 2, Service: "model", Address: "e1", Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
	for _, s := range g.table.Statuses("model", g.now()) {
		require.Zero(t, s.HeldTokens)
	}
}

// Calls that wait for a retry must not keep those that wait for an engine from looking
// for one.
func TestCallsThatNeedARetryDoNotBlockOthers(t *testing.T) {
	var accepting atomic.Bool
	g, _ := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) {
		if !accepting.Load() {
			return notRunResponse(503), nil
		}
		return newResponse(200, eventStream("1")), nil
	})
	for g.retries.Take("model", g.now(), 0) {
	}
	for i := range 2 * looksPerWake {
		g.table.RecordAccepted("e1", g.now())
		g.table.RecordAccepted("e2", g.now())
		serveInBackground(t.Context(), g, "/long-goals/")
		requireWaiting(t, g, i+1)
	}
	accepting.Store(true)
	endOne := fillEngines(g)
	g.table.RecordAccepted("e1", g.now())
	done := serveInBackground(t.Context(), g, "/long-goals/")
	requireWaiting(t, g, 2*looksPerWake+1)
	began := now()
	endOne()
	require.Equal(t, 200, (<-done).status)
	require.Less(t, now()-began, 400*time.Millisecond)
}
