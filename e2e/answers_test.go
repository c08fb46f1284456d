package e2e

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

func (f *fleet) setEngineFaults(faults standin.EngineFaults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}

// TestStreamsAreCompleteAndInOrder injects every kind of stream fault into the
// engines and compares each response with the text that its request generates.
func TestStreamsAreCompleteAndInOrder(t *testing.T) {
	tests := []struct {
		give   string
		faults standin.EngineFaults
		// wantAllComplete means that every response must be complete despite the faults.
		wantAllComplete bool
	}{
		{give: "no fault", wantAllComplete: true},
		{give: "chunks of other requests", faults: standin.EngineFaults{ForeignEventFraction: 0.5}, wantAllComplete: true},
		{give: "repeated chunks", faults: standin.EngineFaults{RepeatFraction: 0.5}, wantAllComplete: true},
		{give: "missing chunks", faults: standin.EngineFaults{SkipFraction: 0.1}},
		{give: "interrupted streams, resumed", faults: standin.EngineFaults{CutFraction: 0.1}},
		{give: "interrupted streams, continued on another engine", faults: standin.EngineFaults{CutFraction: 0.05, RefuseResume: true}},
		{give: "empty responses", faults: standin.EngineFaults{EmptyFraction: 0.1}},
		{give: "failures", faults: standin.EngineFaults{FailFraction: 0.1}},
		{give: "all faults", faults: standin.EngineFaults{ForeignEventFraction: 0.1, RepeatFraction: 0.1, SkipFraction: 0.05, CutFraction: 0.1, EmptyFraction: 0.05, FailFraction: 0.05}},
	}
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 3, engineOptions: standin.EngineOptions{DecodePerToken: 200 * time.Microsecond, Slots: 32}})
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f.setEngineFaults(tt.faults)
			defer f.setEngineFaults(standin.EngineFaults{})
			var complete, incomplete atomic.Int64
			parallel(12, func(i int) {
				r := rand.New(rand.NewPCG(*faultSeed, uint64(i)))
				for n := range 25 {
					parts := []string{"common", fmt.Sprintf("caller %d ask %d", i, n)}
					tokens := 20 + r.IntN(40)
					reply, err := f.requestModel(randomVM(f, r), teamLarge, trial.ModelRequest{Messages: parts, MaxTokens: tokens, NonStreaming: r.IntN(5) == 0})
					if !requireValidReply(t, reply, err, parts, tokens) {
						incomplete.Add(1)
						continue
					}
					complete.Add(1)
				}
			})
			t.Logf("%d complete, %d ended with a reported error", complete.Load(), incomplete.Load())
			if tt.wantAllComplete {
				require.Zero(t, incomplete.Load())
			}
			require.Greater(t, complete.Load(), 10*incomplete.Load(), "fewer than 10 in 11 responses are complete")
		})
	}
}

// requireValidReply compares a response with the text expected for its request and
// reports whether it is complete. An incomplete response must report an error, and
// its text must be a prefix of the expected one.
func requireValidReply(t *testing.T, reply trial.Reply, err error, parts []string, tokens int) bool {
	t.Helper()
	want := standin.ExpectedText(parts, "v1", tokens)
	require.NoError(t, err)
	if reply.OK() {
		require.Equal(t, want, reply.Text)
		return true
	}
	require.False(t, reply.Done, "an incomplete response is marked done")
	require.NotNil(t, reply.Error, "an incomplete response reports no error")
	require.True(t, strings.HasPrefix(want, reply.Text))
	return false
}

func TestEngineCrashInMidStream(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 2, zones: []string{"zone-a"}, enginesPerZone: 3, engineOptions: standin.EngineOptions{DecodePerToken: 5 * time.Millisecond}})
	parts := []string{"site history", "method question"}
	// Token buckets start to fill some time after the start of a router. Wait for
	// it, so that the twelve requests below run at the same time.
	for _, v := range f.vms {
		reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: parts, MaxTokens: 1})
		require.NoError(t, err)
		require.True(t, reply.OK(), "%+v", reply.Error)
	}
	done := make(chan trial.Reply, 12)
	for i := range cap(done) {
		go func() {
			reply, _ := f.requestModel(f.vms[i%2], teamLarge, trial.ModelRequest{Messages: parts, MaxTokens: 100})
			done <- reply
		}()
	}
	require.Eventually(t, func() bool { return f.runningRequests() == cap(done) }, 10*time.Second, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	for _, e := range f.engines {
		if e.Counts().Running > 0 {
			e.Restart()
			break
		}
	}
	for range cap(done) {
		reply := <-done
		require.True(t, reply.OK(), "%+v", reply.Error)
		require.Equal(t, standin.ExpectedText(parts, "v1", 100), reply.Text)
	}
}

// TestRequestsMoveAwayFromHungEngine makes an engine stop responding while its
// connections stay open, as behind a broken link, both in the middle of streams
// and before new requests.
func TestRequestsMoveAwayFromHungEngine(t *testing.T) {
	f := newFleet(t, fleetOptions{
		routers: 2, enginesPerZone: 2, zones: []string{"zone-a"}, engineOptions: standin.EngineOptions{DecodePerToken: 5 * time.Millisecond},
		editDeployment: func(d *declare.Deployment) {
			d.Document().Routes[0].Deadline = config.Duration(12 * time.Second)
		},
	})
	parts := func(i int) []string { return []string{strings.Repeat(fmt.Sprintf("section %d ", i), 1000), "note"} }
	replies := make(chan trial.Reply, 12)
	for i := range cap(replies) {
		go func() {
			reply, _ := f.requestModel(f.vms[i%2], teamLarge, trial.ModelRequest{Messages: parts(i), MaxTokens: 400, NonStreaming: i%4 == 3})
			if reply.OK() && reply.Text != standin.ExpectedText(parts(i), "v1", 400) {
				reply.Done = false
			}
			replies <- reply
		}()
	}
	hung := f.engines["engine-1-1"]
	require.Eventually(t, func() bool { return hung.Counts().Running > 0 }, 10*time.Second, 5*time.Millisecond)
	hung.SetFaults(standin.EngineFaults{Hang: true})
	defer hung.SetFaults(standin.EngineFaults{})
	for range cap(replies) {
		reply := <-replies
		require.True(t, reply.OK(), "%+v", reply.Error)
	}
	parallel(6, func(i int) {
		reply, err := f.requestModel(f.vms[i%2], teamLarge, trial.ModelRequest{Messages: parts(100 + i), MaxTokens: 2})
		require.NoError(t, err)
		require.True(t, reply.OK(), "%+v", reply.Error)
	})
}

func TestCallerDisconnectCancelsUpstream(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 1, enginesPerZone: 1, engineOptions: standin.EngineOptions{DecodePerToken: 10 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = trial.SendModelRequest(ctx, f.httpClient, f.vms[0].entryAddress, f.keys[teamLarge],
			trial.ModelRequest{Model: modelName, Messages: []string{"x"}, MaxTokens: 3000})
	}()
	require.Eventually(t, func() bool { return f.runningRequests() == 1 }, 10*time.Second, 5*time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return f.runningRequests() == 0 }, 10*time.Second, 5*time.Millisecond, "the request of a disconnected caller, 30 s of work, is still running")
}

// maxBufferedBytes returns the most bytes of a stream that the system keeps for a caller
// that reads nothing: those of the router's socket and of the caller's.
func maxBufferedBytes(t *testing.T, caller *net.TCPConn, receiveBuffer int) int {
	t.Helper()
	raw, err := os.ReadFile("/proc/sys/net/ipv4/tcp_wmem")
	require.NoError(t, err)
	var least, initial, most int
	_, err = fmt.Sscan(string(raw), &least, &initial, &most)
	require.NoError(t, err)
	require.NoError(t, caller.SetReadBuffer(receiveBuffer))
	// The system doubles the size for its own data.
	return most + 2*receiveBuffer
}

// passedOn returns the number of events that a router has written to its callers.
func (f *fleet) passedOn(v *vm) int {
	f.t.Helper()
	var m struct {
		Chunks struct {
			Count int `json:"count"`
		} `json:"chunks"`
	}
	require.NoError(f.t, operator.GetJSON(v.statusAddress, "/metrics", &m))
	return m.Chunks.Count
}

// A caller that stops to read for a while must not lose events, nor be cut off. The
// stream must be too long for the buffers of the system, or the router is done with it
// before the caller reads.
func TestSlowCallerGetsCompleteStream(t *testing.T) {
	const tokens = 25000
	f := newFleet(t, fleetOptions{routers: 1, enginesPerZone: 1, maxAnswerTokens: tokens})
	conn, err := net.Dial("tcp", f.vms[0].entryAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	buffered := maxBufferedBytes(t, conn.(*net.TCPConn), 64<<10)
	body := fmt.Sprintf(`{"model":"atlas","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		f.keys[teamLarge], len(body), body)
	require.NoError(t, err)
	// The router has to wait for the caller, for a second.
	last, since := 0, time.Now()
	require.Eventually(t, func() bool {
		if n := f.passedOn(f.vms[0]); n != last {
			last, since = n, time.Now()
		}
		return last > 0 && time.Since(since) >= time.Second
	}, 20*time.Second, 20*time.Millisecond, "the router does not wait for the caller")
	require.Less(t, last, tokens)
	s, err := f.status(f.vms[0])
	require.NoError(t, err)
	require.Equal(t, int64(1), s.InFlight)
	// The caller gets the complete stream once it continues to read.
	lines := bufio.NewScanner(conn)
	events, size, done := 0, 0, false
	for !done && lines.Scan() {
		size += len(lines.Text()) + 1
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
		done = lines.Text() == "data: [DONE]"
	}
	require.True(t, done)
	require.Equal(t, tokens, events)
	require.Greater(t, size, buffered, "the stream is too short for this test")
}
