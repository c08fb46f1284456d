package e2e

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

func (f *fleet) engineFaults(faults standin.EngineFaults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}

// TestStreamsAreWholeAndInOrder breaks streams in every way that engines have
// and holds each answer to the text that its own request generates.
func TestStreamsAreWholeAndInOrder(t *testing.T) {
	tests := []struct {
		give   string
		faults standin.EngineFaults
		// whole means that every answer must be whole in spite of the faults.
		whole bool
	}{
		{give: "no fault", whole: true},
		{give: "crossed chunks", faults: standin.EngineFaults{ForeignEventFraction: 0.5}, whole: true},
		{give: "repeated chunks", faults: standin.EngineFaults{RepeatFraction: 0.5}, whole: true},
		{give: "missing chunks", faults: standin.EngineFaults{SkipFraction: 0.1}},
		{give: "cut streams, resumed", faults: standin.EngineFaults{CutFraction: 0.1}},
		{give: "cut streams, continued elsewhere", faults: standin.EngineFaults{CutFraction: 0.05, RefuseResume: true}},
		{give: "empty answers", faults: standin.EngineFaults{EmptyFraction: 0.1}},
		{give: "failures", faults: standin.EngineFaults{FailFraction: 0.1}},
		{give: "everything", faults: standin.EngineFaults{ForeignEventFraction: 0.1, RepeatFraction: 0.1, SkipFraction: 0.05, CutFraction: 0.1, EmptyFraction: 0.05, FailFraction: 0.05}},
	}
	f := newFleet(t, shape{routers: 4, engines: 3, engine: standin.EngineOptions{DecodePerToken: 200 * time.Microsecond, Slots: 32}})
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f.engineFaults(tt.faults)
			defer f.engineFaults(standin.EngineFaults{})
			var whole, honest atomic.Int64
			parallel(12, func(i int) {
				r := rand.New(rand.NewPCG(*seed, uint64(i)))
				for n := range 25 {
					parts := []string{"common", fmt.Sprintf("caller %d ask %d", i, n)}
					tokens := 20 + r.IntN(40)
					reply, err := f.ask(pickVM(f, r), teamLarge, trial.ModelRequest{Messages: parts, MaxTokens: tokens, NonStreaming: r.IntN(5) == 0})
					if !check(t, reply, err, parts, tokens) {
						honest.Add(1)
						continue
					}
					whole.Add(1)
				}
			})
			t.Logf("%d whole, %d ended with an honest error", whole.Load(), honest.Load())
			if tt.whole {
				require.Zero(t, honest.Load())
			}
			require.Greater(t, whole.Load(), 10*honest.Load(), "most answers survive")
		})
	}
}

// check holds an answer to its own request and reports whether it is whole. An
// answer that is not must say so, and may hold only the beginning of the text.
func check(t *testing.T, reply trial.Reply, err error, parts []string, tokens int) bool {
	t.Helper()
	want := standin.ExpectedText(parts, "v1", tokens)
	require.NoError(t, err)
	if reply.OK() {
		require.Equal(t, want, reply.Text)
		return true
	}
	require.False(t, reply.Done, "only a whole answer is marked done")
	require.NotNil(t, reply.Error, "an answer that is not whole says so")
	require.True(t, strings.HasPrefix(want, reply.Text))
	return false
}

func TestEngineCrashInMidStream(t *testing.T) {
	f := newFleet(t, shape{routers: 2, zones: []string{"zone-a"}, engines: 3, engine: standin.EngineOptions{DecodePerToken: 5 * time.Millisecond}})
	parts := []string{"site history", "method question"}
	// Minting begins some time after the start; the twelve are to run together.
	for _, v := range f.vms {
		reply, err := f.ask(v, teamLarge, trial.ModelRequest{Messages: parts, MaxTokens: 1})
		require.NoError(t, err)
		require.True(t, reply.OK(), "%+v", reply.Error)
	}
	done := make(chan trial.Reply, 12)
	for i := range cap(done) {
		go func() {
			reply, _ := f.ask(f.vms[i%2], teamLarge, trial.ModelRequest{Messages: parts, MaxTokens: 100})
			done <- reply
		}()
	}
	require.Eventually(t, func() bool { return f.running() == cap(done) }, 10*time.Second, 5*time.Millisecond)
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

// TestHungEngineIsLeft lets an engine fall silent, with its connections open, as
// behind a cut link: in the middle of streams, and before new requests.
func TestHungEngineIsLeft(t *testing.T) {
	f := newFleet(t, shape{
		routers: 2, engines: 2, zones: []string{"zone-a"}, engine: standin.EngineOptions{DecodePerToken: 5 * time.Millisecond},
		tweak: func(d *declare.Deployment) {
			d.Document().Routes[0].Deadline = config.Duration(12 * time.Second)
		},
	})
	parts := func(i int) []string { return []string{strings.Repeat(fmt.Sprintf("section %d ", i), 1000), "note"} }
	replies := make(chan trial.Reply, 12)
	for i := range cap(replies) {
		go func() {
			reply, _ := f.ask(f.vms[i%2], teamLarge, trial.ModelRequest{Messages: parts(i), MaxTokens: 400, NonStreaming: i%4 == 3})
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
		reply, err := f.ask(f.vms[i%2], teamLarge, trial.ModelRequest{Messages: parts(100 + i), MaxTokens: 2})
		require.NoError(t, err)
		require.True(t, reply.OK(), "%+v", reply.Error)
	})
}

func TestLeavingCallerCancelsUpstream(t *testing.T) {
	f := newFleet(t, shape{routers: 1, engines: 1, engine: standin.EngineOptions{DecodePerToken: 10 * time.Millisecond}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = trial.SendModelRequest(ctx, f.http, f.vms[0].entry, f.keys[teamLarge],
			trial.ModelRequest{Model: modelName, Messages: []string{"x"}, MaxTokens: 3000})
	}()
	require.Eventually(t, func() bool { return f.running() == 1 }, 10*time.Second, 5*time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return f.running() == 0 }, 10*time.Second, 5*time.Millisecond, "30 s of work is not left running")
}

func TestSlowCallerIsBounded(t *testing.T) {
	f := newFleet(t, shape{routers: 1, engines: 1, engine: standin.EngineOptions{DecodePerToken: 50 * time.Microsecond}})
	conn, err := net.Dial("tcp", f.vms[0].entry)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	body := `{"model":"atlas","stream":true,"max_tokens":4000,"messages":[{"role":"user","content":"x"}]}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		f.keys[teamLarge], len(body), body)
	require.NoError(t, err)
	time.Sleep(time.Second)
	s, err := f.status(f.vms[0])
	require.NoError(t, err)
	require.Equal(t, int64(1), s.InFlight)
	// The rest comes whole once the caller reads on.
	lines := bufio.NewScanner(conn)
	events, done := 0, false
	for !done && lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			events++
		}
		done = lines.Text() == "data: [DONE]"
	}
	require.True(t, done)
	require.Equal(t, 4000, events)
}
