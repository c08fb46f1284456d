package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endingWithConn returns a response without a length or chunks.
func endingWithConn(body string) *Response {
	resp := newResponse(http.StatusOK, body)
	resp.ContentLength, resp.EndsWithConn = -1, true
	return resp
}

// pausingBeforeEnd returns a stream without a length or chunks whose server sends the text,
// and then nothing for a while before it ends the connection with err.
func pausingBeforeEnd(ctx context.Context, text string, pause time.Duration, err error) *Response {
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, text)
		select {
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
		case <-time.After(pause):
			_ = w.CloseWithError(err)
		}
	}()
	return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, EndsWithConn: true, Body: r}
}

// A server that has nothing to add to a stream, and one that fails after the head of its
// response, both end the connection without an event. The server before must not be left for
// such a one: only it can end the stream.
func TestStreamStaysWithItsServerIfTheNextOneSendsNoFurtherEvent(t *testing.T) {
	tests := []struct {
		name, path string
		// reload makes the stream leave its server, which is not silent.
		reload bool
		sent   string
		next   func(ctx context.Context) *Response
	}{
		{"silent at the end of the stream", "/resumable/", false, eventStream("1", "2"), func(context.Context) *Response { return endingWithConn("") }},
		{"silent before the first event", "/resumable/", false, "", func(context.Context) *Response { return endingWithConn("") }},
		{"the next one repeats events", "/resumable/", false, eventStream("1", "2"), func(context.Context) *Response { return endingWithConn(eventStream("1", "2")) }},
		{"the next one sends comments", "/resumable/", false, eventStream("1", "2"), func(context.Context) *Response { return endingWithConn(": c\n\n: d\n\n") }},
		{"the next one fails after the head", "/resumable/", false, eventStream("1", "2"), func(context.Context) *Response { return truncatedResponse("") }},
		{"the next one fails inside an event", "/resumable/", false, eventStream("1", "2"), func(context.Context) *Response { return endingWithConn("id: 3\nda") }},
		{"the next one is silent after the head", "/resumable/", false, eventStream("1", "2"),
			func(ctx context.Context) *Response { return pausingBeforeEnd(ctx, "", time.Minute, nil) }},
		{"moved before a reload", "/long-goals/", true, eventStream("1", "2"), func(context.Context) *Response { return endingWithConn("") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g *Gateway
			g, a := newTestGateway(t, func(ctx context.Context, n int, a *Attempt) (*Response, error) {
				if n > 1 {
					return tt.next(ctx), nil
				}
				if tt.reload {
					g.beginReload(a.Server.ID, 0, "m", 2)
				}
				if tt.sent == "" {
					time.Sleep(2 * minSilenceTimeout)
					return endingWithConn(eventStream("1", "2")), nil
				}
				return pausingBeforeEnd(ctx, tt.sent, 2*minSilenceTimeout, nil), nil
			})
			c := serveCall(t, g, tt.path, "isolated-key")
			require.Nil(t, c.refusal)
			require.False(t, c.aborted)
			require.Equal(t, eventStream("1", "2"), c.body.String())
			require.Len(t, a.sentAttempts(), 2)
		})
	}
}

// A server that fails after the head of its response must not take a call over.
func TestCallStaysWithItsServerUntilTheNextOneHasAnswered(t *testing.T) {
	for _, path := range []string{"/idempotent/", "/resumable/"} {
		for _, status := range []int{http.StatusOK, http.StatusNotFound} {
			g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
				if n == 1 {
					time.Sleep(minSilenceTimeout + 200*time.Millisecond)
					return newResponse(http.StatusOK, eventStream("1")), nil
				}
				resp := truncatedResponse("id: 1\nda")
				resp.Status = status
				return resp, nil
			})
			c := serveCall(t, g, path, "isolated-key")
			require.Nil(t, c.refusal)
			require.Equal(t, http.StatusOK, c.status)
			require.Equal(t, eventStream("1"), c.body.String())
			require.Len(t, a.sentAttempts(), 2)
		}
	}
}

// What the next server sends before its first new event must not be lost.
func TestStreamIsTakenOverWithItsFirstNewEvent(t *testing.T) {
	const others = "retry: 5\n\n: comment\n\n"
	g, _ := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			return pausingBeforeEnd(ctx, eventStream("1"), time.Minute, nil), nil
		}
		return endingWithConn(eventStream("1") + others + eventStream("2", "3")), nil
	})
	c := serveCall(t, g, "/resumable/", "isolated-key")
	require.False(t, c.aborted)
	require.Equal(t, eventStream("1")+others+eventStream("2", "3"), c.body.String())
}

// A stream that ends without an event after the last one is complete if a second server ends
// it there, too. Otherwise the server may have failed.
func TestEndOfStreamWithoutNewEventIsConfirmedByAnotherServer(t *testing.T) {
	tests := []struct {
		name, lastEventID string
		responses         []*Response
		complete          bool
		want              string
		attempts          int
	}{
		{"the caller resumes at the end", "2", []*Response{endingWithConn(""), endingWithConn("")}, true, "", 2},
		{"the first server failed", "2", []*Response{endingWithConn(""), endingWithConn(eventStream("3"))}, true, eventStream("3"), 2},
		{"the end has a frame", "2", []*Response{newResponse(http.StatusOK, "")}, true, "", 1},
		{"no server confirms it", "2", []*Response{endingWithConn(""), truncatedResponse("")}, false, "", 2},
		{"only one server continues", "", []*Response{truncatedResponse(eventStream("1")), endingWithConn("")}, false, eventStream("1"), 2},
		{"a stream without events", "", []*Response{endingWithConn(""), endingWithConn("")}, false, "", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) { return tt.responses[n-1], nil })
			call, c := newCall("/resumable/", "isolated-key"), &responseRecorder{}
			call.LastEventID = tt.lastEventID
			g.Serve(context.Background(), call, c)
			require.Equal(t, tt.complete, c.refusal == nil && !c.aborted)
			require.Equal(t, tt.want, c.body.String())
			require.Len(t, a.sentAttempts(), tt.attempts)
		})
	}
}

// A sound server must not be taken for a failed one because it had nothing to add.
func TestServerWithNothingToAddHasNotFailed(t *testing.T) {
	g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n > 1 {
			return endingWithConn(""), nil
		}
		return pausingBeforeEnd(ctx, eventStream("1"), 2*minSilenceTimeout, nil), nil
	})
	require.False(t, serveCall(t, g, "/resumable/", "isolated-key").aborted)
	next := a.sentAttempts()[1].Server
	for _, s := range g.table.Statuses("model", g.now()) {
		require.False(t, s.Server.ID == next.ID && s.InBackoff)
	}
	require.False(t, g.quarantine.HasEvidence())
}
