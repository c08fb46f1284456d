package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/placement"
	"github.com/stretchr/testify/require"
)

func eventStream(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x" + id + "\n\n")
	}
	return b.String()
}

func TestTruncatedStreamResumesAfterLastCompleteEvent(t *testing.T) {
	g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			return truncatedResponse(eventStream("1", "2") + "id: 3\nda"), nil
		}
		// An engine may repeat events that the caller has.
		return newResponse(200, eventStream("2", "3", "4")), nil
	})
	c := serveCall(t, g, "/resumable/", "key")
	require.False(t, c.aborted)
	require.Equal(t, eventStream("1", "2", "3", "4"), c.body.String())
	require.Equal(t, "2", a.sentAttempts()[1].LastEventID)
}

func TestByteOrderMarkDoesNotRepeatEvents(t *testing.T) {
	for _, next := range []string{eventStream("1", "2"), eventStream("2")} {
		g, a := newTestGateway(t, respondWith(truncatedResponse("\ufeff"+eventStream("1")), newResponse(200, "\ufeff"+next)))
		c := serveCall(t, g, "/resumable/", "key")
		require.False(t, c.aborted)
		require.Equal(t, "\ufeff"+eventStream("1", "2"), c.body.String())
		require.Equal(t, "1", a.sentAttempts()[1].LastEventID)
	}
}

func TestEventsWithoutIDAreNotRepeated(t *testing.T) {
	const unnumbered = "data: x\n\n"
	tests := []struct {
		name, first, next string
		// want is what the caller gets before the response is cut.
		want     string
		attempts int
	}{
		{"no event has an id", unnumbered + unnumbered, unnumbered + unnumbered + unnumbered, unnumbered + unnumbered, 1},
		{"the last event has no id", eventStream("1") + unnumbered, eventStream("2"), eventStream("1") + unnumbered, 1},
		{"the next engine sends none", eventStream("1"), "data: x1\n\n" + eventStream("2"), eventStream("1"), 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(truncatedResponse(tt.first), newResponse(200, tt.next)))
			c := serveCall(t, g, "/resumable/", "key")
			require.True(t, c.aborted)
			require.Equal(t, tt.want, c.body.String())
			require.Len(t, a.sentAttempts(), tt.attempts)
		})
	}
}

func TestStreamThatCannotResumeStaysOnASilentEngine(t *testing.T) {
	for _, reload := range []bool{false, true} {
		var g *Gateway
		g, a := newTestGateway(t, func(ctx context.Context, _ int, a *Attempt) (*Response, error) {
			r, w := io.Pipe()
			context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
			go func() {
				_, _ = io.WriteString(w, "data: x\n\n")
				if reload {
					g.beginReload(a.Server.ID, 0, "m", 2)
				}
				time.Sleep(minSilenceTimeout + 200*time.Millisecond)
				_, _ = io.WriteString(w, "data: y\n\n")
				_ = w.Close()
			}()
			return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
		})
		c := serveCall(t, g, "/resumable/", "isolated-key")
		require.False(t, c.aborted)
		require.Equal(t, "data: x\n\ndata: y\n\n", c.body.String())
		require.Len(t, a.sentAttempts(), 1)
	}
}

func TestRepeatedEventIsSkipped(t *testing.T) {
	tests := []struct{ name, first, next, want string }{
		{"numbers", eventStream("1", "2"), eventStream("1", "2", "3"), eventStream("1", "2", "3")},
		{"numbers of several digits", eventStream("9", "10"), eventStream("10", "11"), eventStream("9", "10", "11")},
		{"no numbers", eventStream("a", "b"), eventStream("b", "c"), eventStream("a", "b", "c")},
		{"carriage returns", "id: 1\r\ndata: x\r\n\r\n", "id: 1\r\ndata: x\r\n\r\n" + eventStream("2"), "id: 1\r\ndata: x\r\n\r\n" + eventStream("2")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newTestGateway(t, respondWith(truncatedResponse(tt.first), newResponse(200, tt.next)))
			c := serveCall(t, g, "/resumable/", "key")
			require.False(t, c.aborted)
			require.Equal(t, tt.want, c.body.String())
		})
	}
}

func TestTruncatedStreamIsAborted(t *testing.T) {
	g, a := newTestGateway(t, respondWith(truncatedResponse(eventStream("1"))))
	c := serveCall(t, g, "/stream/", "key")
	require.True(t, c.aborted)
	require.Equal(t, eventStream("1"), c.body.String())
	require.Len(t, a.sentAttempts(), 1)
}

// A stream without a length or chunks ends with its connection, also if its engine
// crashes: one that ends before its first event must not look complete.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	tests := []struct {
		name, path, body string
		complete         bool
		attempts         int
	}{
		{"before its first event", "/stream/", "", false, 1},
		{"before its first event, may be resumed", "/resumable/", "", true, 2},
		{"after a comment", "/stream/", ": comment\n\n", false, 1},
		{"inside its first event", "/stream/", "id: 1\nda", false, 1},
		{"after an event", "/stream/", eventStream("1"), true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
				if n > 1 {
					return newResponse(200, eventStream("1")), nil
				}
				resp := newResponse(200, tt.body)
				resp.ContentLength, resp.EndsWithConn = -1, true
				return resp, nil
			})
			c := serveCall(t, g, tt.path, "key")
			require.Len(t, a.sentAttempts(), tt.attempts)
			require.Equal(t, tt.complete, c.refusal == nil && !c.aborted)
			if tt.complete {
				require.Equal(t, eventStream("1"), c.body.String())
			}
		})
	}
}

func TestResumableStreamLeavesSilentEngine(t *testing.T) {
	g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			r, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, eventStream("1"))
				<-ctx.Done()
				_ = w.CloseWithError(ctx.Err())
			}()
			return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
		}
		return newResponse(200, eventStream("2")), nil
	})
	began := now()
	c := serveCall(t, g, "/resumable/", "key")
	require.Equal(t, eventStream("1", "2"), c.body.String())
	require.Less(t, now()-began, minSilenceTimeout+500*time.Millisecond)
	require.Len(t, a.sentAttempts(), 2)
}

// A server that sends nothing before an attempt times out is put into backoff. If the
// caller leaves first, the server is not at fault.
func TestSilentServersAreInBackoff(t *testing.T) {
	respond := func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return newResponse(200, eventStream("1")), nil
	}
	for _, path := range []string{"/resumable/", "/idempotent/"} {
		g, a := newTestGateway(t, respond)
		require.Equal(t, 200, serveCall(t, g, path, "key").status, path)
		first := a.sentAttempts()[0].Server
		for _, s := range g.table.Statuses(first.Service, g.now()) {
			require.Equal(t, s.Server.ID == first.ID, s.InBackoff, path)
		}
	}
	g, _ := newTestGateway(t, respond)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	g.Serve(ctx, newCall("/resumable/", "key"), &responseRecorder{})
	for _, s := range g.table.Statuses("model", g.now()) {
		require.False(t, s.InBackoff)
	}
}

// groupWithoutIsolated is the cache group of all teams but the one named "isolated". It
// is the same on all VMs.
const groupWithoutIsolated = "+fe8c29cc50ff8a82"

func TestCacheSalt(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	serveCall(t, g, "/stream/", "key")
	serveCall(t, g, "/stream/", "isolated-key")
	require.Equal(t, "m@1"+groupWithoutIsolated, a.sentAttempts()[0].CacheSalt)
	require.Equal(t, "m@1/isolated", a.sentAttempts()[1].CacheSalt)
	require.Equal(t, int64(1), a.sentAttempts()[0].Version)
}

// isolateTeam declares a configuration in which the team named "team" is isolated, too.
func isolateTeam(g *Gateway) {
	old := g.catalog.Current()
	var services []*catalog.Service
	for _, s := range old.Services() {
		services = append(services, s)
	}
	g.catalog.Put(catalog.New(old.Version()+1, []*catalog.Route{old.Match("h", "/stream/"), old.Match("h", "/resumable/")}, services, []*catalog.Team{
		{Name: "team", Keys: []string{"key"}, Isolated: true},
		{Name: "isolated", Keys: []string{"isolated-key"}, Isolated: true},
		{Name: "other", Keys: []string{"other-key"}},
	}))
}

// What a team cached before it became isolated must not serve other teams.
func TestPartsOfATeamThatBecomesIsolatedAreNotShared(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	require.Equal(t, 200, serveCall(t, g, "/stream/", "key").status)
	isolateTeam(g)
	require.Equal(t, 200, serveCall(t, g, "/stream/", "other-key").status)
	require.Equal(t, 200, serveCall(t, g, "/stream/", "key").status)
	sent := a.sentAttempts()
	require.NotEqual(t, sent[0].CacheSalt, sent[1].CacheSalt)
	require.Equal(t, "m@1/team", sent[2].CacheSalt)
}

// A call that was admitted before its team became isolated must not go on in the cache of
// the others.
func TestACallFollowsTheIsolationOfItsTeam(t *testing.T) {
	var g *Gateway
	g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			isolateTeam(g)
			return notRunResponse(503), nil
		}
		return newResponse(200, eventStream("1")), nil
	})
	require.Equal(t, 200, serveCall(t, g, "/resumable/", "key").status)
	sent := a.sentAttempts()
	require.Equal(t, "m@1"+groupWithoutIsolated, sent[0].CacheSalt)
	require.Equal(t, "m@1/team", sent[1].CacheSalt)
}

func TestSharedPartsAreFetchedAndSavedOnce(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	serveCall(t, g, "/stream/", "key")
	first := a.sentAttempts()[0]
	require.Equal(t, "9.9.9.9:9", first.SaveTo)
	require.Equal(t, "9.9.9.9:9", first.FetchFrom, "the KV cache store may hold more than this VM knows")
	// The engine that has the part cached is busy, so another one fetches it.
	for range 40 {
		g.table.Begin(first.Server.ID, 0)
	}
	serveCall(t, g, "/stream/", "key")
	second := a.sentAttempts()[1]
	require.NotEqual(t, first.Server.ID, second.Server.ID)
	require.NotEmpty(t, second.FetchFrom)
	require.Empty(t, second.SaveTo)
}

// Saving a call saves its own part, too, which takes the room of shared ones.
func TestCallsAreSavedOnlyIfTheStoreGains(t *testing.T) {
	tests := []struct {
		name        string
		shared, own int
		saved       bool
	}{{"more shared than own", 300, 100, true}, {"as much", 200, 200, true}, {"less", 100, 300, false}, {"nothing shared", 0, 300, false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
			call := newCall("/stream/", "isolated-key")
			call.Prompt.InputTokens = tt.shared + tt.own
			call.Prompt.Parts = []parts.Part{{ID: "a", Tokens: tt.shared}, {ID: "own", Tokens: tt.own}}
			g.Serve(context.Background(), call, &responseRecorder{})
			require.Equal(t, tt.saved, a.sentAttempts()[0].SaveTo != "")
		})
	}
}

func TestOutdatedEnginesGetNoCalls(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	g.catalog.MergeTargetVersion("m", 2, g.now()-time.Duration(testBounds.OutdatedVersion))
	c := serveCall(t, g, "/stream/", "key")
	require.NotNil(t, c.refusal)
	require.Equal(t, ReasonUnavailable, c.refusal.Reason)
	require.Empty(t, a.sentAttempts())

	g.table.RaiseVersion("e2", 0, "m", 2)
	require.Equal(t, 200, serveCall(t, g, "/stream/", "key").status)
	require.Equal(t, "m@2"+groupWithoutIsolated, a.sentAttempts()[0].CacheSalt)
}

// A call must not go to an engine where it would wait until the weights are too old.
func TestQueueDelayCountsTowardVersionAge(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	g.catalog.MergeTargetVersion("m", 2, g.now()-time.Duration(testBounds.OutdatedVersion)+placement.OutdatedVersionMargin+time.Second)
	require.Equal(t, 200, serveCall(t, g, "/stream/", "isolated-key").status)
	for _, id := range []string{"e1", "e2"} {
		for range 8 + int(time.Second.Milliseconds()/placement.QueuedCallCostMillis) {
			g.table.Begin(id, 0)
		}
	}
	require.Equal(t, ReasonUnavailable, serveCall(t, g, "/stream/", "isolated-key").refusal.Reason)
	require.Len(t, a.sentAttempts(), 1)
}

func TestReloadingEnginesAreAvoided(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	g.table.BeginReload("e1", 0, "m", 2, g.now())
	for range 10 {
		serveCall(t, g, "/stream/", "isolated-key")
	}
	for _, s := range a.sentAttempts() {
		require.Equal(t, "e2", s.Server.ID)
	}
}

// A long stream must not keep an engine from loading weights; it is resumed elsewhere.
func TestResumableStreamLeavesReloadingEngine(t *testing.T) {
	require.Less(t, streamMoveDelay, minSilenceTimeout, "the silence timer would fire first")
	var g *Gateway
	respond := func(ctx context.Context, n int, a *Attempt) (*Response, error) {
		if n > 1 {
			return newResponse(200, eventStream("2")), nil
		}
		g.beginReload(a.Server.ID, 0, "m", 2)
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, eventStream("1"))
			<-ctx.Done()
			_ = w.CloseWithError(ctx.Err())
		}()
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
	}
	g, a := newTestGateway(t, respond)
	c := serveCall(t, g, "/resumable/", "isolated-key")
	require.Equal(t, eventStream("1", "2"), c.body.String())
	require.Len(t, a.sentAttempts(), 2)
	for _, s := range g.table.Statuses("model", g.now()) {
		require.False(t, s.InBackoff, "the engine has not failed")
	}
	require.Empty(t, g.movableStreams.engines)
}

// A stream must not be moved if the retry budget could not cover a refusal by the next
// engine: the caller would lose the stream without need.
func TestStreamIsMovedOnlyWithinReserve(t *testing.T) {
	var g *Gateway
	respond := func(ctx context.Context, n int, a *Attempt) (*Response, error) {
		if n > 1 {
			return notRunResponse(http.StatusServiceUnavailable), nil
		}
		g.beginReload(a.Server.ID, 0, "m", 2)
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, eventStream("1"))
			select {
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())
			case <-time.After(2 * streamMoveDelay):
				_, _ = io.WriteString(w, eventStream("2"))
				_ = w.Close()
			}
		}()
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
	}
	g, a := newTestGateway(t, respond)
	for range int(testBounds.RetryAllowance*retryBudgetShare) - 1 {
		require.True(t, g.retries.Take("model", g.now(), 0))
	}
	// The latency goals of this route are too long for the silence timer to fire.
	c := serveCall(t, g, "/long-goals/", "isolated-key")
	require.False(t, c.aborted)
	require.Equal(t, eventStream("1", "2"), c.body.String())
	require.Len(t, a.sentAttempts(), 1)
}

// A refusal that states another version than expected updates the engine's version.
func TestVersionLearnedFromRefusal(t *testing.T) {
	g, _ := newTestGateway(t, func(_ context.Context, _ int, a *Attempt) (*Response, error) {
		if a.Version != 2 {
			resp := notRunResponse(421)
			resp.Version = 2
			return resp, nil
		}
		return newResponse(200, eventStream("1")), nil
	})
	g.catalog.SetTargetVersion("m", 2, g.now())
	require.Equal(t, 200, serveCall(t, g, "/stream/", "isolated-key").status)
	versions := g.table.Version("e1", "m") + g.table.Version("e2", "m")
	require.GreaterOrEqual(t, versions, int64(3))
}

func TestNewIncarnationHoldsNoParts(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	serveCall(t, g, "/stream/", "isolated-key")
	id := a.sentAttempts()[0].Server.ID
	g.table.Put(backend.Server{ID: id, Born: 9, Service: "model", Address: id, Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
	s, _ := g.table.Get(id, g.now())
	require.Zero(t, g.parts.HeldTokens(engineHolder(s), "m@1/isolated", newCall("/stream/", "isolated-key").Prompt.SharedParts(), parts.NoAgeLimit))
}
