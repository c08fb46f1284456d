package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func endlessResponse(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(&endlessReader{text: text})}
}

// A response without end must neither be passed on as whole nor be read for long.
func TestResponsesWithoutEnd(t *testing.T) {
	tests := []struct {
		name, path, text string
		status           int
		aborted          bool
		reason           Reason
	}{
		{"plain, at most once", "/once/", "x", 200, false, ReasonBackendFailed},
		{"event, at most once", "/stream/", "data: x\n", 200, false, ReasonBackendFailed},
		{"error of an engine", "/stream/", "x", 500, false, ReasonBackendFailed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) {
				return endlessResponse(tt.status, tt.text), nil
			})
			c := serveCall(t, g, tt.path, "key")
			require.Equal(t, tt.aborted, c.aborted)
			require.NotNil(t, c.refusal)
			require.Equal(t, tt.reason, c.refusal.Reason)
			require.Len(t, a.sentAttempts(), 1)
			failed := 0
			for _, s := range g.table.Statuses("", g.now()) {
				failed += s.Failures
			}
			require.Equal(t, 1, failed, "the server counts as failing")
			require.Zero(t, g.buffers.Used())
		})
	}
}

// Calls that may be repeated go on elsewhere.
func TestRepeatableCallsLeaveAResponseWithoutEnd(t *testing.T) {
	for _, path := range []string{"/idempotent/", "/resumable/"} {
		g, a := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
			if n == 1 {
				return endlessResponse(200, "x"), nil
			}
			return newResponse(200, eventStream("1")), nil
		})
		c := serveCall(t, g, path, "key")
		require.Equal(t, 200, c.status, path)
		require.Equal(t, eventStream("1"), c.body.String())
		require.Len(t, a.sentAttempts(), 2)
	}
}

// maxHeapOfEndlessAnswers is what 50 responses without end may take on a VM of 112 MB.
const maxHeapOfEndlessAnswers = 64 << 20

func TestMemoryOfResponsesWithoutEnd(t *testing.T) {
	const calls, memoryMB = 50, 112
	texts := []string{"x", "data: x\n", ": x\n"}
	g, _ := newTestGateway(t, func(_ context.Context, n int, _ *Attempt) (*Response, error) {
		return endlessResponse(200, texts[n%len(texts)]), nil
	})
	g.buffers = newBufferBudget(memoryMB)
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	var served sync.WaitGroup
	for i := range calls {
		served.Go(func() {
			call := newCall([]string{"/once/", "/stream/"}[i%2], "isolated-key")
			call.ID = fmt.Sprint("endless-", i)
			g.Serve(context.Background(), call, &responseRecorder{})
		})
	}
	done := make(chan struct{})
	go func() { served.Wait(); close(done) }()
	peak := uint64(0)
	for finished := false; !finished; {
		select {
		case <-done:
			finished = true
		case <-time.After(time.Millisecond):
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
	}
	t.Logf("heap in use: %d KB before, %d KB at its peak", before.HeapInuse>>10, peak>>10)
	require.Less(t, peak, uint64(maxHeapOfEndlessAnswers))
	require.Zero(t, g.buffers.Used())
}

// stallingReader is an endless reader that stops after a number of bytes until it is
// released.
type stallingReader struct {
	endlessReader
	limit   int
	stalled *atomic.Int64
	release <-chan struct{}
}

func (r *stallingReader) Read(p []byte) (int, error) {
	if r.read >= r.limit {
		r.stalled.Add(1)
		<-r.release
		return 0, io.ErrUnexpectedEOF
	}
	return r.endlessReader.Read(p[:min(len(p), r.limit-r.read)])
}

// What calls hold of their responses must stay within the budget, whatever the number of
// processors: the heap is measured while all responses stand still.
func TestMemoryHeldByResponses(t *testing.T) {
	const (
		calls, memoryMB = 100, 112
		bodyBytes       = 4 << 20
		eventBytes      = 200 << 10
		// maxUncountedBytes is what a call may hold besides its part of the budget.
		maxUncountedBytes = 64 << 10
	)
	for _, processors := range []int{1, 4, 16} {
		t.Run(fmt.Sprint(processors, " processors"), func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
			var stalled, ended atomic.Int64
			release := make(chan struct{})
			g, _ := newTestGateway(t, func(_ context.Context, _ int, a *Attempt) (*Response, error) {
				body := &stallingReader{endlessReader: endlessReader{text: "data: x\n"}, limit: bodyBytes, stalled: &stalled, release: release}
				if a.Call.Prompt.Model != "" {
					body.limit = eventBytes
				}
				return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: io.NopCloser(body)}, nil
			})
			g.buffers = newBufferBudget(memoryMB)
			heap := func() uint64 {
				runtime.GC()
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heap()
			var served sync.WaitGroup
			for i := range calls {
				served.Go(func() {
					defer ended.Add(1)
					call := newCall([]string{"/once/", "/stream/"}[i%2], "isolated-key")
					call.ID = fmt.Sprint("held-", i)
					g.Serve(context.Background(), call, &responseRecorder{})
				})
			}
			require.Eventually(t, func() bool { return stalled.Load()+ended.Load() == calls }, 10*time.Second, time.Millisecond)
			held, counted := heap()-before, g.buffers.Used()
			t.Logf("%d calls hold %d KB, of which %d KB are counted", stalled.Load(), held>>10, counted>>10)
			require.LessOrEqual(t, counted, g.buffers.Limit())
			require.Greater(t, counted, g.buffers.Limit()/2, "too few calls to come near the budget")
			require.Less(t, held, uint64(g.buffers.Limit())+calls*maxUncountedBytes)
			close(release)
			served.Wait()
			require.Zero(t, g.buffers.Used())
		})
	}
}

// Comments and repeated events show no progress, so a resumable stream leaves an engine
// that sends nothing else.
func TestCommentsAreNoProgress(t *testing.T) {
	for _, filler := range []string{": wait\n\n", "id: 1\ndata: x1\n\n", "i"} {
		g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
			if n > 1 {
				return newResponse(200, eventStream("2")), nil
			}
			r, w := io.Pipe()
			go func() {
				_, _ = io.WriteString(w, eventStream("1"))
				for ctx.Err() == nil {
					_, _ = io.WriteString(w, filler)
					time.Sleep(50 * time.Millisecond)
				}
				_ = w.CloseWithError(ctx.Err())
			}()
			return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
		})
		began := now()
		c := serveCall(t, g, "/resumable/", "key")
		require.Less(t, now()-began, 2*time.Second, filler)
		require.Len(t, a.sentAttempts(), 2)
		require.False(t, c.aborted)
		require.Contains(t, c.body.String(), eventStream("2"))
	}
}

// A slow stream is sound: its events come within the call's timeout, each before the
// engine counts as silent, or the call must not be repeated.
func TestSlowStreamsAreNotCut(t *testing.T) {
	tests := []struct {
		path  string
		pause time.Duration
	}{{"/stream/", 400 * time.Millisecond}, {"/resumable/", minSilenceTimeout * 2 / 3}}
	for _, tt := range tests {
		g, a := newTestGateway(t, func(_ context.Context, _ int, _ *Attempt) (*Response, error) {
			r, w := io.Pipe()
			go func() {
				for i := range 4 {
					time.Sleep(tt.pause)
					_, _ = io.WriteString(w, eventStream(fmt.Sprint(i+1)))
				}
				_ = w.Close()
			}()
			return &Response{Status: http.StatusOK, Header: http.Header{}, ContentLength: -1, Body: r}, nil
		})
		c := serveCall(t, g, tt.path, "key")
		require.False(t, c.aborted, tt.path)
		require.Equal(t, eventStream("1", "2", "3", "4"), c.body.String())
		require.Len(t, a.sentAttempts(), 1)
	}
}
