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

var errBroken = errors.New("connection reset")

func answerWith(answers ...any) func(context.Context, int, *Attempt) (*Response, error) {
	return func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		switch v := answers[min(n, len(answers))-1].(type) {
		case error:
			return nil, v
		case func() *Response:
			return v(), nil
		case *Response:
			return v, nil
		}
		panic("unknown step")
	}
}

// What may be repeated follows from the kind of route, and a refusal that says
// "not run" is true.
func TestRepeatsByKind(t *testing.T) {
	tests := []struct {
		name    string
		path    string
		answers []any
		status  int
		refusal Reason
		sent    int
	}{
		{"once, answered", "/once/", []any{text(200, "ok")}, 200, "", 1},
		{"once, perhaps run", "/once/", []any{errBroken}, 0, ReasonBackendFailed, 1},
		{"once, cut answer", "/once/", []any{cut("par")}, 0, ReasonBackendFailed, 1},
		{"once, not sent", "/once/", []any{upstream.ErrUnsent, text(200, "ok")}, 200, "", 2},
		{"once, not run", "/once/", []any{notRun(503), text(200, "ok")}, 200, "", 2},
		{"once, failed", "/once/", []any{text(500, "no")}, 500, "", 1},
		{"once, not run by all", "/once/", []any{func() *Response { return notRun(503) }}, 0, ReasonUnavailable, sends},
		{"safe, perhaps run", "/safe/", []any{errBroken, text(200, "ok")}, 200, "", 2},
		{"safe, cut answer", "/safe/", []any{cut("par"), text(200, "ok")}, 200, "", 2},
		{"safe, failed", "/safe/", []any{text(500, "no"), text(200, "ok")}, 200, "", 2},
		{"safe, failed twice", "/safe/", []any{text(500, "no"), text(500, "no")}, 500, "", 2},
		{"safe, broken twice", "/safe/", []any{errBroken, errBroken, text(200, "ok")}, 0, ReasonBackendFailed, 2},
		{"stream, perhaps run", "/stream/", []any{errBroken}, 0, ReasonBackendFailed, 1},
		{"stream, not run", "/stream/", []any{notRun(503), text(200, "id: 1\ndata: x\n\n")}, 200, "", 2},
		{"resumable, perhaps run", "/resumable/", []any{errBroken, text(200, "id: 1\ndata: x\n\n")}, 200, "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := open(t, answerWith(tt.answers...))
			c := ask(t, g, tt.path, "key")
			require.Len(t, a.sent(), tt.sent)
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
		{"known key", "/safe/", "key", nil, ""},
		{"unknown key", "/safe/", "other", nil, ReasonUnknownKey},
		{"no key", "/safe/", "", nil, ReasonUnknownKey},
		{"no key on an open route", "/open/", "", nil, ""},
		{"no route", "/none/", "key", nil, ReasonNoRoute},
		{"stale proof", "/safe/", "key", func(g *Gateway) { makeStale(g) }, ReasonUnavailable},
		{"stale proof on an open route", "/open/", "", func(g *Gateway) { makeStale(g) }, ""},
		{"no catalog", "/safe/", "key", func(g *Gateway) { g.catalog = catalog.NewTracker() }, ReasonUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := open(t, answerWith(func() *Response { return text(200, "ok") }))
			if tt.prepare != nil {
				tt.prepare(g)
			}
			c := ask(t, g, tt.path, tt.key)
			if tt.want == "" {
				require.Equal(t, 200, c.status)
				return
			}
			require.NotNil(t, c.refusal)
			require.Equal(t, tt.want, c.refusal.Reason)
		})
	}
}

// makeStale replaces the proof of the catalog by one that is too old.
func makeStale(g *Gateway) {
	old := catalog.NewTracker()
	old.Put(g.catalog.Current())
	old.RecordProof(g.now() - g.stale() - time.Millisecond)
	g.catalog = old
}

func TestTheTeamNotTheKeyIsPassedOn(t *testing.T) {
	g, a := open(t, answerWith(text(200, "ok")))
	ask(t, g, "/safe/", "key")
	require.Equal(t, "team", a.sent()[0].Team)
}

func TestChargesAreGivenBackWhereNothingRan(t *testing.T) {
	g, _ := open(t, answerWith(func() *Response { return notRun(503) }))
	for range 3 {
		require.Equal(t, ReasonUnavailable, ask(t, g, "/stream/", "key").refusal.Reason)
	}
	require.Empty(t, g.quota.Totals())
}

func TestCallsBeyondTheRateAreRefused(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, "id: 1\n\n") }))
	refused := 0
	for range 5 {
		if c := ask(t, g, "/stream/", "key"); c.refusal != nil {
			require.Equal(t, ReasonOverRate, c.refusal.Reason)
			require.Positive(t, c.refusal.RetryAfter)
			refused++
		}
	}
	// 310 tokens each, from a burst of 1,000.
	require.Equal(t, 2, refused)
	require.Len(t, a.sent(), 3)
}

func TestAnotherServerAtTheAddressIsLeft(t *testing.T) {
	g, a := open(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			ans := text(421, "")
			ans.WrongServer = true
			return ans, nil
		}
		return text(200, "ok"), nil
	})
	require.Equal(t, 200, ask(t, g, "/once/", "key").status)
	require.NotEqual(t, a.sent()[0].Server.ID, a.sent()[1].Server.ID)
}

func TestDrainingServersGetNothing(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, "ok") }))
	g.table.Put(backend.Server{ID: "p1", Service: "plain", Address: "p1", Zone: "z1", Slots: 6, Draining: true})
	for range 10 {
		ask(t, g, "/safe/", "key")
	}
	for _, s := range a.sent() {
		require.Equal(t, "p2", s.Server.ID)
	}
}

// A call for the list that a dead connection swallows must not hide a leaving
// server for longer than it may get new work.
func TestALostCallForTheListIsNoticedInTime(t *testing.T) {
	for _, leave := range []time.Duration{2 * time.Second, 3 * time.Second} {
		wait, rest := listTimes(leave)
		require.Less(t, wait+rest+feed.LongPollGrace, leave)
	}
}

func TestFinalAnswerAtTheTimeout(t *testing.T) {
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
			g, _ := open(t, func(ctx context.Context, _ int, _ *Attempt) (*Response, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
			call := newCall(tt.path, "key")
			call.Timeout = tt.wait
			c := &caller{}
			began := now()
			g.Serve(context.Background(), call, c)
			require.InDelta(t, tt.want.Seconds(), (now() - began).Seconds(), 0.2)
			require.NotNil(t, c.refusal)
			require.Equal(t, ReasonTimedOut, c.refusal.Reason)
		})
	}
}

// A silent server takes only a part of the time of a call that may be repeated.
func TestSilentServerIsLeftInTime(t *testing.T) {
	g, a := open(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return text(200, "ok"), nil
	})
	began := now()
	require.Equal(t, 200, ask(t, g, "/safe/", "key").status)
	require.Less(t, now()-began, 500*time.Millisecond)
	require.Len(t, a.sent(), 2)
}

func TestNothingIsSentOnceTheCallerHasLeft(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	g, a := open(t, func(context.Context, int, *Attempt) (*Response, error) {
		cancel()
		return nil, errBroken
	})
	g.Serve(ctx, newCall("/safe/", "key"), &caller{})
	require.Len(t, a.sent(), 1)
}

func TestPromptsAreDividedBetweenShelves(t *testing.T) {
	shelves := []*catalog.KVCacheStore{{Address: "1"}, {Address: "2"}, {Address: "3"}}
	prompt := func(i int) parts.Prompt {
		return parts.Prompt{Parts: []parts.Part{{ID: "top"}, {ID: fmt.Sprint(i)}, {ID: "own"}}}
	}
	count := map[string]int{}
	moved := 0
	for i := range 300 {
		s := shelfOf(shelves, prompt(i))
		require.Same(t, s, shelfOf(shelves, prompt(i)))
		count[s.Address]++
		if s != shelves[2] && shelfOf(shelves[:2], prompt(i)) != s {
			moved++
		}
	}
	require.Len(t, count, 3)
	for _, n := range count {
		require.Greater(t, n, 60)
	}
	require.Zero(t, moved, "a shelf that goes takes only its own prompts along")
	require.Nil(t, shelfOf(shelves, parts.Prompt{Parts: []parts.Part{{ID: "own"}}}))
	require.Nil(t, shelfOf(nil, prompt(1)))
}

func TestRepeatsKeepToTheBudget(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return notRun(http.StatusServiceUnavailable) }))
	for range 200 {
		ask(t, g, "/once/", "key")
	}
	repeats := len(a.sent()) - 200
	require.LessOrEqual(t, float64(repeats), (0.2*200+50)*repeatPart+1)
}
