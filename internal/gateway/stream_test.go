package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/stretchr/testify/require"
)

func events(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString("id: " + id + "\ndata: x" + id + "\n\n")
	}
	return b.String()
}

func TestABrokenStreamGoesOnAfterItsLastWholeEvent(t *testing.T) {
	g, a := open(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			return cut(events("1", "2") + "id: 3\nda"), nil
		}
		// An engine may repeat what the caller has.
		return text(200, events("2", "3", "4")), nil
	})
	c := ask(t, g, "/resumable/", "key")
	require.False(t, c.broken)
	require.Equal(t, events("1", "2", "3", "4"), c.body.String())
	require.Equal(t, "2", a.sent()[1].LastEventID)
}

func TestABrokenStreamThatMayNotGoOnShowsAsCut(t *testing.T) {
	g, a := open(t, answerWith(cut(events("1"))))
	c := ask(t, g, "/stream/", "key")
	require.True(t, c.broken)
	require.Equal(t, events("1"), c.body.String())
	require.Len(t, a.sent(), 1)
}

func TestASilentEngineIsLeftByAStreamThatMayGoOn(t *testing.T) {
	g, a := open(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			r, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, events("1"))
				<-ctx.Done()
				_ = w.CloseWithError(ctx.Err())
			}()
			return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
		}
		return text(200, events("2")), nil
	})
	began := now()
	c := ask(t, g, "/resumable/", "key")
	require.Equal(t, events("1", "2"), c.body.String())
	require.Less(t, now()-began, leastSilence+500*time.Millisecond)
	require.Len(t, a.sent(), 2)
}

// A server that says nothing within the time of an attempt rests, and a call
// whose caller leaves says nothing of its server.
func TestSilentServersRest(t *testing.T) {
	silent := func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return text(200, events("1")), nil
	}
	for _, path := range []string{"/resumable/", "/safe/"} {
		g, a := open(t, silent)
		require.Equal(t, 200, ask(t, g, path, "key").status, path)
		first := a.sent()[0].Server
		for _, s := range g.table.Statuses(first.Service, g.now()) {
			require.Equal(t, s.Server.ID == first.ID, s.InBackoff, path)
		}
	}
	g, _ := open(t, silent)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	g.Serve(ctx, newCall("/resumable/", "key"), &caller{})
	for _, s := range g.table.Statuses("model", g.now()) {
		require.False(t, s.InBackoff)
	}
}

func TestTheSaltNamesWeightsAndWall(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, events("1")) }))
	ask(t, g, "/stream/", "key")
	ask(t, g, "/stream/", "wall")
	require.Equal(t, "m@1", a.sent()[0].CacheSalt)
	require.Equal(t, "m@1/walled", a.sent()[1].CacheSalt)
	require.Equal(t, int64(1), a.sent()[0].Version)
}

func TestSharedPartsAreFetchedAndSavedOnce(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, events("1")) }))
	ask(t, g, "/stream/", "key")
	first := a.sent()[0]
	require.Equal(t, "9.9.9.9:9", first.SaveTo)
	require.Equal(t, "9.9.9.9:9", first.FetchFrom, "the shelf may hold more than this VM has heard of")
	// The engine that has the part is busy: another one fetches it.
	for range 40 {
		g.table.Begin(first.Server.ID, 0)
	}
	ask(t, g, "/stream/", "key")
	second := a.sent()[1]
	require.NotEqual(t, first.Server.ID, second.Server.ID)
	require.NotEmpty(t, second.FetchFrom)
	require.Empty(t, second.SaveTo)
}

func TestEnginesOnOlderWeightsAreLeftInTime(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, events("1")) }))
	g.catalog.MergeTargetVersion("m", 2, g.now()-time.Duration(bounds.OutdatedVersion))
	c := ask(t, g, "/stream/", "key")
	require.NotNil(t, c.refusal)
	require.Equal(t, ReasonUnavailable, c.refusal.Reason)
	require.Empty(t, a.sent())

	g.table.RaiseVersion("e2", 0, "m", 2)
	require.Equal(t, 200, ask(t, g, "/stream/", "key").status)
	require.Equal(t, "m@2", a.sent()[0].CacheSalt)
}

// A call that would wait at its engine until its weights are too old does not
// go there.
func TestAQueueCountsTowardTheAgeOfWeights(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, events("1")) }))
	g.catalog.MergeTargetVersion("m", 2, g.now()-time.Duration(bounds.OutdatedVersion)+versionMargin+time.Second)
	require.Equal(t, 200, ask(t, g, "/stream/", "wall").status)
	for _, id := range []string{"e1", "e2"} {
		for range 8 + int(time.Second.Milliseconds()/queueCost) {
			g.table.Begin(id, 0)
		}
	}
	require.Equal(t, ReasonUnavailable, ask(t, g, "/stream/", "wall").refusal.Reason)
	require.Len(t, a.sent(), 1)
}

func TestEnginesThatLoadAreAvoided(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, events("1")) }))
	g.table.BeginReload("e1", 0, "m", 2, g.now())
	for range 10 {
		ask(t, g, "/stream/", "wall")
	}
	for _, s := range a.sent() {
		require.Equal(t, "e2", s.Server.ID)
	}
}

// A long stream does not keep an engine from loading: it goes on elsewhere.
func TestAStreamThatMayGoOnLeavesAnEngineThatLoads(t *testing.T) {
	require.Less(t, moveAfter, leastSilence, "silence would be a reason too")
	var g *Gateway
	endless := func(ctx context.Context, n int, a *Attempt) (*Response, error) {
		if n > 1 {
			return text(200, events("2")), nil
		}
		g.reloads(a.Server.ID, 0, "m", 2)
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, events("1"))
			<-ctx.Done()
			_ = w.CloseWithError(ctx.Err())
		}()
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
	}
	g, a := open(t, endless)
	c := ask(t, g, "/resumable/", "wall")
	require.Equal(t, events("1", "2"), c.body.String())
	require.Len(t, a.sent(), 2)
	for _, s := range g.table.Statuses("model", g.now()) {
		require.False(t, s.InBackoff, "no fault of the engine")
	}
	require.Empty(t, g.moves.engines)
}

// A stream is not moved where the budget would not bear a refusal by the next
// engine: the caller would lose what it had without need.
func TestAStreamIsMovedOnlyWithBudgetToSpare(t *testing.T) {
	var g *Gateway
	answer := func(ctx context.Context, n int, a *Attempt) (*Response, error) {
		if n > 1 {
			return notRun(http.StatusServiceUnavailable), nil
		}
		g.reloads(a.Server.ID, 0, "m", 2)
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, events("1"))
			select {
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())
			case <-time.After(2 * moveAfter):
				_, _ = io.WriteString(w, events("2"))
				_ = w.Close()
			}
		}()
		return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
	}
	g, a := open(t, answer)
	for range int(bounds.RetryAllowance*repeatPart) - 1 {
		require.True(t, g.retries.Take("model", g.now(), 0))
	}
	// The engine's silence is no reason to leave it in this test.
	c := ask(t, g, "/patient/", "wall")
	require.False(t, c.broken)
	require.Equal(t, events("1", "2"), c.body.String())
	require.Len(t, a.sent(), 1)
}

// An engine that runs other weights than thought is known better afterwards.
func TestARefusalTeachesTheVersion(t *testing.T) {
	g, _ := open(t, func(_ context.Context, _ int, a *Attempt) (*Response, error) {
		if a.Version != 2 {
			ans := notRun(421)
			ans.Version = 2
			return ans, nil
		}
		return text(200, events("1")), nil
	})
	g.catalog.SetTargetVersion("m", 2, g.now())
	require.Equal(t, 200, ask(t, g, "/stream/", "wall").status)
	versions := g.table.Version("e1", "m") + g.table.Version("e2", "m")
	require.GreaterOrEqual(t, versions, int64(3))
}

func TestANewIncarnationHoldsNoParts(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, events("1")) }))
	ask(t, g, "/stream/", "wall")
	id := a.sent()[0].Server.ID
	g.table.Put(backend.Server{ID: id, Born: 9, Service: "model", Address: id, Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
	s, _ := g.table.Get(id)
	require.Zero(t, g.parts.HeldTokens(holderOf(s), "m@1/walled", newCall("/stream/", "wall").Prompt.SharedParts(), parts.NoAgeLimit))
}

func TestReadEvent(t *testing.T) {
	tests := []struct {
		name, in, raw, id string
		err               error
	}{
		{"whole", "id: 7\ndata: x\n\nid: 8", "id: 7\ndata: x\n\n", "7", nil},
		{"carriage returns", "id: 7\r\n\r\n", "id: 7\r\n\r\n", "7", nil},
		{"no id", "data: x\n\n", "data: x\n\n", "", nil},
		{"end", "", "", "", io.EOF},
		{"cut", "id: 7\nda", "id: 7\nda", "7", io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			raw, id, err := readEvent(bufio.NewReader(strings.NewReader(tt.in)))
			require.Equal(t, tt.raw, string(raw))
			require.Equal(t, tt.id, id)
			require.Equal(t, tt.err, err)
		})
	}
}
