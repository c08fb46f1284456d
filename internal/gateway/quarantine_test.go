package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/fxamacker/cbor/v2"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/loopback"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/quarantine"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

// quarantinePart tells a gateway of a quarantine of another VM, of which some time is
// left. Its evidence has the given age.
func quarantinePart(g *Gateway, part string, left, age time.Duration) {
	g.handleMessage(&gossip.Message{VM: "peer", Zone: "z2", Delta: true, Quarantines: []gossip.Quarantine{{
		Part: part, SinceMillis: age.Milliseconds(), LeftMillis: left.Milliseconds(), HoldMillis: (20 * time.Second).Milliseconds(),
	}}}, false)
}

// A call with a part in quarantine must be refused as not run, before it is charged; no
// other call may be refused, whatever it has in common with those.
func TestCallsWithAPartInQuarantineAreRefused(t *testing.T) {
	tests := []struct {
		name, part, key string
		reason          Reason
	}{
		{"the part", "a", "key", ReasonUnavailable},
		{"the part, another team", "a", "isolated-key", ReasonUnavailable},
		{"unknown key", "a", "nobody", ReasonUnknownKey},
		{"another part", "b", "key", ""},
		{"the call's own part", "own", "key", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
			quarantinePart(g, tt.part, 5*time.Second, 0)
			c := serveCall(t, g, "/stream/", tt.key)
			if tt.reason == "" {
				require.Equal(t, 200, c.status)
				return
			}
			require.NotNil(t, c.refusal)
			require.Equal(t, tt.reason, c.refusal.Reason)
			require.Empty(t, a.sentAttempts())
			require.Empty(t, g.quota.Totals(g.now()))
			if tt.reason == ReasonUnavailable {
				require.InDelta(t, 5, c.refusal.RetryAfter.Seconds(), 0.5)
			}
		})
	}
}

// A call that was admitted before its part was put in quarantine must not be written.
func TestQuarantineStopsCallsThatWereAdmittedBefore(t *testing.T) {
	var g *Gateway
	g, a := newTestGateway(t, func(_ context.Context, _ int, a *Attempt) (*Response, error) {
		quarantinePart(g, "a", 5*time.Second, 0)
		require.False(t, a.Permit())
		return nil, fmt.Errorf("%w: %w", upstream.ErrUnsent, upstream.ErrNotPermitted)
	})
	c := serveCall(t, g, "/resumable/", "key")
	require.Len(t, a.sentAttempts(), 1)
	require.Equal(t, ReasonUnavailable, c.refusal.Reason)
	require.InDelta(t, 5, c.refusal.RetryAfter.Seconds(), 0.5)
	for _, s := range g.table.Statuses("model", g.now()) {
		require.Zero(t, s.Failures, "the server is not at fault")
	}
}

// A call that waits on an engine when its part is put in quarantine must not begin there,
// but one that has begun goes on.
func TestQuarantineEndsCallsThatHaveNotBegun(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("begun ", begun), func(t *testing.T) {
			var g *Gateway
			g, a := newTestGateway(t, func(ctx context.Context, _ int, _ *Attempt) (*Response, error) {
				if !begun {
					quarantinePart(g, "a", 5*time.Second, 0)
					<-ctx.Done()
					return nil, ctx.Err()
				}
				r, w := io.Pipe()
				go func() {
					_, _ = io.WriteString(w, eventStream("1", "2"))
					time.Sleep(50 * time.Millisecond)
					quarantinePart(g, "a", 5*time.Second, 0)
					_, _ = io.WriteString(w, eventStream("3"))
					_ = w.Close()
				}()
				return &Response{Status: 200, Header: http.Header{}, ContentLength: -1, Body: r}, nil
			})
			c := serveCall(t, g, "/stream/", "key")
			require.Len(t, a.sentAttempts(), 1)
			for _, s := range g.table.Statuses("model", g.now()) {
				require.Zero(t, s.Failures, "the server is not at fault")
			}
			if begun {
				require.Equal(t, eventStream("1", "2", "3"), c.body.String())
				return
			}
			require.Equal(t, ReasonBackendFailed, c.refusal.Reason, "it may have run")
		})
	}
}

// A call that another engine may be running must not be refused as not run, nor its charge
// returned.
func TestCallWithAPendingTakeoverIsNotRefusedAsNotRun(t *testing.T) {
	var g *Gateway
	takenOver := make(chan struct{})
	g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			<-takenOver
			quarantinePart(g, "a", 5*time.Second, 0)
			return notRunResponse(http.StatusServiceUnavailable), nil
		}
		close(takenOver)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	c := serveCall(t, g, "/resumable/", "key")
	require.Len(t, a.sentAttempts(), 2)
	require.Equal(t, ReasonBackendFailed, c.refusal.Reason)
	require.NotZero(t, g.quota.Totals(g.now())["team"])
}

// After the hold, one call shows whether the part still crashes engines; it must not
// reach a second one.
func TestTrialOfAPartInQuarantine(t *testing.T) {
	tests := []struct {
		name     string
		response func() *Response
		// ended is set if the trial ends the quarantine.
		ended bool
	}{
		{"success", func() *Response { return newResponse(200, eventStream("1", "2")) }, true},
		{"the engine crashes before the first event", func() *Response { return truncatedResponse("") }, false},
		{"the engine crashes after the first event", func() *Response { return truncatedResponse(eventStream("1")) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var second *responseRecorder
			var g *Gateway
			g, a := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) {
				if second == nil {
					second = &responseRecorder{}
					g.Serve(context.Background(), newCall("/resumable/", "key"), second)
				}
				return tt.response(), nil
			})
			quarantinePart(g, "a", -time.Millisecond, 0)
			c := serveCall(t, g, "/resumable/", "key")
			require.Len(t, a.sentAttempts(), 1)
			require.Equal(t, ReasonUnavailable, second.refusal.Reason, "only one call at a time")
			active := g.quarantine.Active()
			if tt.ended {
				require.Equal(t, 200, c.status)
				require.Empty(t, active)
				_, told := g.quarantineUpdates.take(g.now())
				require.Len(t, told.Succeeded, 1)
				return
			}
			require.Len(t, active, 1)
			require.Equal(t, 40*time.Second, active[0].Hold)
			require.InDelta(t, 40, (active[0].Until - g.now()).Seconds(), 0.5)
		})
	}
}

// A call that is refused for another reason must not use up the trial: while a team that
// is over its rate calls on, the part would stay in quarantine.
func TestRefusedCallIsNoTrial(t *testing.T) {
	tests := []struct {
		name   string
		refuse func(g *Gateway)
		undo   func(g *Gateway)
	}{
		{"team over its rate", func(g *Gateway) {
			g.quota.Take("team", g.teamLimits(g.catalog.Current().TeamByKey("key")), 0, 1900, g.now())
		}, func(*Gateway) {}},
		{"the process ends", func(g *Gateway) { g.servesUntil.Store(1) }, func(g *Gateway) { g.servesUntil.Store(0) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
			quarantinePart(g, "a", -time.Millisecond, 0)
			tt.refuse(g)
			require.NotNil(t, serveCall(t, g, "/stream/", "key").refusal)
			require.Empty(t, a.sentAttempts())
			tt.undo(g)
			require.Equal(t, 200, serveCall(t, g, "/stream/", "isolated-key").status)
			require.Empty(t, g.quarantine.Active())
		})
	}
}

// A trial must not be taken over by a second engine, which it might crash, too.
func TestTrialStaysWithItsEngine(t *testing.T) {
	g, a := newTestGateway(t, func(ctx context.Context, _ int, _ *Attempt) (*Response, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	quarantinePart(g, "a", -time.Millisecond, 0)
	serveCall(t, g, "/resumable/", "key")
	require.Len(t, a.sentAttempts(), 1)
}

// breakOf returns a break of a call with part "a" on another VM.
func breakOf(engine string, request uint64, age time.Duration) gossip.Break {
	return gossip.Break{Engine: gossip.Server{ID: engine}, Request: request, Parts: []string{"a"}, Head: true, AgeMillis: age.Milliseconds()}
}

// A call that broke off is not sent to a second engine if its part has broken off calls
// on other engines, unless another call has succeeded since.
func TestCallThatMayCrashEnginesIsNotRetried(t *testing.T) {
	tests := []struct {
		name     string
		messages []*gossip.Message
		attempts int
	}{
		{"nothing is known", nil, 2},
		{"another engine broke off another call", []*gossip.Message{{Breaks: []gossip.Break{breakOf("e9", 9, 0)}}}, 1},
		{"a call succeeded since", []*gossip.Message{
			{Breaks: []gossip.Break{breakOf("e9", 9, time.Second)}}, {Succeeded: []gossip.Success{{Part: "a"}}},
		}, 2},
		{"the engine answered since", []*gossip.Message{
			{Breaks: []gossip.Break{breakOf("e9", 9, time.Second)}}, {Answered: []gossip.Answered{{Engine: gossip.Server{ID: "e9"}}}},
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(truncatedResponse(""), newResponse(200, eventStream("1", "2"))))
			for _, m := range tt.messages {
				m.VM, m.Zone, m.Delta = "peer", "z2", true
				g.handleMessage(m, false)
			}
			serveCall(t, g, "/resumable/", "key")
			require.Len(t, a.sentAttempts(), tt.attempts)
		})
	}
}

// A caller chooses how many parts its prompts have, and how long their IDs are: what VMs tell
// each other of them must fit a message, or the others never hear of anything else that is in
// it. No part may be left out for that.
func TestUpdatesOfCallsWithManyPartsFitAMessage(t *testing.T) {
	const (
		maxMessageBytes = 60 << 10
		maxMessages     = 40
	)
	c := newCall("/stream/", "key")
	for i := range 1000 {
		c.Prompt.Parts = append(c.Prompt.Parts, parts.Part{ID: fmt.Sprintf("%064d", i), Tokens: 1})
	}
	updates := &quarantineUpdates{}
	ids, order := sharedPartIDs(c), make([]int, len(c.Prompt.Parts)-1)
	for i := range order {
		order[i] = i
	}
	for i := range 100 {
		b := quarantine.Break{Engine: quarantine.Engine{ID: fmt.Sprint("engine", i)}, Request: uint64(i), Parts: ids}
		updates.addHeadless(b)
		updates.addBreak(b, order)
		updates.addAnswer(b.Engine, 0)
		updates.addCut(b.Engine, 0)
	}
	for _, id := range ids {
		updates.addSuccess(id, 0)
	}
	told, succeeded := make(map[uint64]map[string]bool), make(map[string]bool)
	for n := 0; n == 0 || len(updates.untold) > 0 || len(updates.succeeded) > 0; n++ {
		require.Less(t, n, maxMessages)
		headless, m := updates.take(time.Second)
		if n == 0 {
			require.Len(t, headless, maxBreaksPerMessage)
		}
		updates.takeBreaks(m, time.Second)
		updates.takeCuts(m, time.Second, func(quarantine.Engine) bool { return false })
		if n == 0 {
			require.Len(t, m.Breaks, maxBreaksPerMessage)
		}
		raw, err := cbor.Marshal(m)
		require.NoError(t, err)
		require.Less(t, len(raw), maxMessageBytes)
		for i, b := range m.Breaks {
			if told[b.Request] == nil {
				told[b.Request] = make(map[string]bool)
			}
			for j, part := range b.Parts {
				require.Equal(t, ids[m.BreakPositions[i][j]], part)
				told[b.Request][part] = true
			}
		}
		for _, x := range m.Succeeded {
			succeeded[x.Part] = true
		}
	}
	require.Len(t, told, maxBreaksPerMessage)
	for _, parts := range told {
		require.Len(t, parts, len(ids))
	}
	require.Len(t, succeeded, len(ids))
}

// A part that crashes engines must be found wherever it stands in a prompt, on the VMs that
// saw a crash and on the others, and none of the parts that sound calls share may be refused.
func TestPartIsFoundAtAnyDepth(t *testing.T) {
	tests := []struct {
		name          string
		shared, depth int
		// sound is set if calls with the other parts succeed in between.
		sound bool
	}{
		{"the 34th part", 34, 33, true},
		{"the 34th part, quiet", 34, 33, false},
		{"the first of many parts", 1500, 0, true},
		{"in the middle of many parts", 1500, 700, true},
		{"in the middle of many parts, quiet", 1500, 700, false},
		{"the last of many parts", 1500, 1499, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			prompt := func(part string, request int) parts.Prompt {
				p := parts.Prompt{Model: "m", InputTokens: 10 * (tt.shared + 1), MaxOutputTokens: 10}
				for i := range tt.shared {
					p.Parts = append(p.Parts, parts.Part{ID: fmt.Sprintf("%08x", i), Tokens: 10})
				}
				p.Parts[tt.depth].ID = part
				p.Parts = append(p.Parts, parts.Part{ID: fmt.Sprint("own", request), Tokens: 10})
				return p
			}
			vms := newVMsOfCrashingEngines(t, tt.depth)
			serve := func(vm *Gateway, part string, request int) *responseRecorder {
				call, c := newCall("/stream/", "isolated-key"), &responseRecorder{}
				call.ID, call.Prompt = fmt.Sprint("call", request), prompt(part, request)
				vm.Serve(context.Background(), call, c)
				return c
			}
			const crashes = 5
			for i := range crashes {
				if tt.sound {
					for j, vm := range vms {
						require.Equal(t, 200, serve(vm, "sound", 100+10*i+j).status)
					}
				}
				vm := vms[i%len(vms)]
				serve(vm, "bad", i)
				removeLastServer(vm, vms)
				time.Sleep(300 * time.Millisecond)
			}
			for i, vm := range vms {
				require.Eventually(t, func() bool { return len(vm.quarantine.Active()) > 0 }, 2*time.Second, 10*time.Millisecond)
				require.NotNil(t, serve(vm, "bad", 200+i).refusal)
				if tt.sound {
					require.Equal(t, 200, serve(vm, "sound", 300+i).status)
				}
			}
		})
	}
}

// Of two parts that occur in the same calls, the one that was sound on any VM must not be
// refused in place of the other.
func TestPartThatWasSoundOnAnotherVMIsNotRefused(t *testing.T) {
	vms := newVMsOfCrashingEngines(t, 0)
	serve := func(vm *Gateway, outer string, request int) *responseRecorder {
		call, c := newCall("/stream/", "isolated-key"), &responseRecorder{}
		call.ID = fmt.Sprint("call", request)
		call.Prompt.Parts = []parts.Part{{ID: outer, Tokens: 100}, {ID: "inner", Tokens: 100}, {ID: "own", Tokens: 100}}
		vm.Serve(context.Background(), call, c)
		return c
	}
	require.Equal(t, 200, serve(vms[0], "sound", 100).status)
	time.Sleep(100 * time.Millisecond)
	for i := range 4 {
		vm := vms[1+i%2]
		serve(vm, "bad", i)
		removeLastServer(vm, vms)
		time.Sleep(300 * time.Millisecond)
	}
	for i, vm := range vms {
		require.Eventually(t, func() bool { return len(vm.quarantine.Active()) > 0 }, 2*time.Second, 10*time.Millisecond)
		require.NotNil(t, serve(vm, "bad", 200+i).refusal)
		require.Equal(t, 200, serve(vm, "sound", 300+i).status)
	}
}

// newVMsOfCrashingEngines returns three VMs that send each other messages. Their engines crash
// on a call whose part at the given depth is "bad".
func newVMsOfCrashingEngines(t *testing.T, depth int) []*Gateway {
	t.Helper()
	vms := make([]*Gateway, 3)
	for i := range vms {
		g, a := newNamedTestGateway(t, fmt.Sprint("vm", i+1), func(_ context.Context, _ int, a *Attempt) (*Response, error) {
			if a.Call.Prompt.Parts[depth].ID == "bad" {
				return truncatedResponse(""), nil
			}
			return newResponse(200, eventStream("1", "2")), nil
		})
		a.reportErr = fmt.Errorf("%w: connection refused", upstream.ErrUnsent)
		addEngines(g, 9)
		vms[i] = g
		for _, other := range vms[:i] {
			g.node.AddMember(other.settings.VM, other.settings.PeerAddress)
			other.node.AddMember(g.settings.VM, g.settings.PeerAddress)
		}
	}
	return vms
}

// removeLastServer removes the server of a VM's last attempt on all VMs.
func removeLastServer(vm *Gateway, vms []*Gateway) {
	sent := vm.adapter.(*fakeAdapter).sentAttempts()
	for _, vm := range vms {
		vm.removeServer(sent[len(sent)-1].Server.ID)
	}
}

// addEngines adds engines that have run for long to the service of newTestGateway.
func addEngines(g *Gateway, n int) {
	for i := range n {
		id := fmt.Sprint("e", i+1)
		g.table.Put(backend.Server{ID: id, Service: "model", Address: id, Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
		g.table.SetListedAt(id, g.now()-time.Minute)
	}
}

// What VMs see on different engines adds up to a quarantine on each of them.
func TestBreaksOfAllVMsCount(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
	for range 40 {
		g.quarantine.RecordOutcome([]string{"other"}, true, true, g.now())
	}
	for i := range 3 {
		g.handleMessage(&gossip.Message{VM: fmt.Sprint("peer", i), Zone: "z2", Delta: true, Breaks: []gossip.Break{
			breakOf(fmt.Sprint("e", 5+i), uint64(i), time.Duration(1500-500*i)*time.Millisecond),
		}}, false)
	}
	for range 40 {
		g.quarantine.RecordOutcome([]string{"other"}, true, true, g.now())
	}
	time.Sleep(quarantine.ReviewDelay)
	g.sendQuarantineUpdates()
	require.Equal(t, ReasonUnavailable, serveCall(t, g, "/stream/", "key").refusal.Reason)
	require.Empty(t, a.sentAttempts())
}

// Without other calls, a crash is told from the loss of a response by asking the engine. A
// part that crashes engines must be found then, and a sound one must not be refused.
func TestPartIsJudgedWithoutOtherCalls(t *testing.T) {
	tests := []struct {
		name      string
		reportErr error
		refused   bool
	}{
		{"the engines have ended", fmt.Errorf("%w: connection refused", upstream.ErrUnsent), true},
		{"the engines answer", nil, false},
		{"the engines may have ended", io.ErrUnexpectedEOF, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g, a := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) { return truncatedResponse(""), nil })
			a.reportErr = tt.reportErr
			addServers(g)
			for i := range 4 {
				g.table.SetListedAt(fmt.Sprint("e", i+1), g.now()-5*time.Second)
			}
			for i := range 4 {
				call := newCall("/stream/", "isolated-key")
				call.ID = fmt.Sprint("call", i)
				g.Serve(context.Background(), call, &responseRecorder{})
				sent := a.sentAttempts()
				g.removeServer(sent[len(sent)-1].Server.ID)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(probeDelay + 2*quarantine.ReviewDelay)
			g.table.Put(backend.Server{ID: "e9", Service: "model", Address: "e9", Zone: "z1", Slots: 8, Models: map[string]int64{"m": 1}})
			if !tt.refused {
				require.Empty(t, g.quarantine.Active())
				return
			}
			require.Equal(t, ReasonUnavailable, serveCall(t, g, "/stream/", "isolated-key").refusal.Reason)
		})
	}
}

// What one VM learns of the times of crashes must count on the others.
func TestTimesOfCrashesAreTold(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
	for i := range 3 {
		engine := fmt.Sprint("e", 5+i)
		g.handleMessage(&gossip.Message{
			VM: fmt.Sprint("peer", i), Zone: "z2", Delta: true, Breaks: []gossip.Break{breakOf(engine, uint64(i), time.Duration(1500-500*i)*time.Millisecond)},
			BreakTimes: []gossip.BreakTimes{{HeadMillis: 3, UptimeMillis: 5000}}, Ended: []gossip.Server{{ID: engine}},
		}, false)
	}
	require.Eventually(t, func() bool { return len(g.quarantine.Active()) == 1 }, time.Second, 5*time.Millisecond)
	require.Equal(t, ReasonUnavailable, serveCall(t, g, "/stream/", "key").refusal.Reason)
	require.Empty(t, a.sentAttempts())
}

// A VM with a wrong clock must not keep sound calls out, or let calls that crash engines
// in, for longer than a VM with the right one.
func TestQuarantineMessagesWithTimesInTheFuture(t *testing.T) {
	day := 24 * time.Hour
	t.Run("quarantine", func(t *testing.T) {
		g, _ := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
		quarantinePart(g, "a", day, -day)
		require.Len(t, g.quarantine.Active(), 1)
		require.LessOrEqual(t, serveCall(t, g, "/stream/", "key").refusal.RetryAfter, 20*time.Second)
		g.handleMessage(&gossip.Message{VM: "peer", Zone: "z2", Delta: true, Succeeded: []gossip.Success{{Part: "a"}}}, false)
		require.Empty(t, g.quarantine.Active())
	})
	t.Run("success", func(t *testing.T) {
		g, _ := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
		g.handleMessage(&gossip.Message{VM: "peer", Zone: "z2", Delta: true, Succeeded: []gossip.Success{{Part: "a", AgeMillis: -day.Milliseconds()}}}, false)
		time.Sleep(5 * time.Millisecond)
		quarantinePart(g, "a", 5*time.Second, 0)
		require.Len(t, g.quarantine.Active(), 1)
	})
	t.Run("break", func(t *testing.T) {
		g, _ := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
		quarantinePart(g, "a", 5*time.Second, 0)
		g.handleMessage(&gossip.Message{VM: "peer", Zone: "z2", Delta: true, Breaks: []gossip.Break{breakOf("e9", 9, -day)}}, false)
		require.LessOrEqual(t, g.quarantine.Active()[0].Until-g.now(), 20*time.Second)
	})
}

// A quarantine that is known to be over must not come back from a VM that missed it.
func TestAQuarantineThatIsOverDoesNotComeBack(t *testing.T) {
	g, _ := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
	require.Equal(t, 200, serveCall(t, g, "/stream/", "key").status)
	time.Sleep(5 * time.Millisecond)
	for _, sub := range g.subscriptions {
		sub.Cancel()
	}
	quarantinePart(g, "a", 5*time.Second, time.Second)
	require.Empty(t, g.quarantine.Active())
	_, told := g.quarantineUpdates.take(g.now())
	require.Len(t, told.Succeeded, 1, "the other VM is told")
}

// A quarantine outlives the end of all VMs.
func TestQuarantineIsKeptInTheStore(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
	quarantinePart(g, "a", 5*time.Second, 0)
	require.Eventually(t, func() bool { return a.store.version(quarantineRecordName) == 1 }, 2*time.Second, 5*time.Millisecond)
	g.Close()
	next, err := New(Settings{VM: "vm2", Zone: "z1", PeerAddress: loopback.FreeAddress(t), FirstStart: true, Bounds: testBounds}, a, &log.Logger{Handler: discard.New()})
	require.NoError(t, err)
	t.Cleanup(next.Close)
	require.Eventually(t, func() bool { return len(next.quarantine.Active()) == 1 }, 2*time.Second, 5*time.Millisecond)
	require.InDelta(t, 5, (next.quarantine.Active()[0].Until - g.now()).Seconds(), 3)
	// One write is enough, and its end is written, too.
	require.EqualValues(t, 1, a.store.version(quarantineRecordName))
	next.handleMessage(&gossip.Message{VM: "peer", Zone: "z2", Delta: true, Succeeded: []gossip.Success{{Part: "a"}}}, false)
	require.Eventually(t, func() bool { return a.store.version(quarantineRecordName) == 2 }, 2*time.Second, 5*time.Millisecond)
}

// A store that is away is not asked in each round.
func TestQuarantineWritesBackOff(t *testing.T) {
	r := &quarantineRecord{}
	current := savedOf([]quarantine.Quarantine{{Part: "a", Hold: 20 * time.Second}})
	owner := func() bool { return true }
	writes := 0
	for now := time.Duration(0); now < time.Minute; now += gossipPeriod {
		if r.begin(current, now, owner) {
			require.False(t, r.begin(current, now, owner), "one write at a time")
			writes++
			r.end(nil, errors.New("away"), now)
		}
	}
	require.LessOrEqual(t, writes, 9)
	require.True(t, r.begin(current, 2*time.Minute, owner))
	r.end(current, nil, 2*time.Minute)
	require.False(t, r.begin(current, 3*time.Minute, owner))
}

// The hold of a part that crashes engines for long no longer changes, but the record must
// not come to look as if no call had asked for the part.
func TestQuarantineThatLastsIsWrittenAgain(t *testing.T) {
	r := &quarantineRecord{}
	owner := func() bool { return true }
	q := quarantine.Quarantine{Part: "a", Hold: 5 * time.Minute}
	var writtenAt time.Duration
	writes := 0
	for now := time.Duration(0); now < time.Hour; now += time.Second {
		q.AskedAt = now
		if current := savedOf([]quarantine.Quarantine{q}); r.begin(current, now, owner) {
			r.end(current, nil, now)
			writes, writtenAt = writes+1, now
		}
		require.Less(t, now-writtenAt, 10*time.Minute, "no VM takes over what nobody asked for within that time")
	}
	require.LessOrEqual(t, writes, 20)
}

// A success that another VM reports must not keep back a later one, which may refute a
// break that came between them.
func TestLaterSuccessIsToldAlthoughAnotherVMToldAnEarlierOne(t *testing.T) {
	u := &quarantineUpdates{}
	u.addSuccess("a", 5*time.Second)
	u.peerTold(&gossip.Message{Succeeded: []gossip.Success{{Part: "a", AgeMillis: 2000}}}, 6*time.Second)
	_, m := u.take(6 * time.Second)
	require.Len(t, m.Succeeded, 1)
	u.addSuccess("a", 5*time.Second)
	u.peerTold(&gossip.Message{Succeeded: []gossip.Success{{Part: "a", AgeMillis: 500}}}, 6*time.Second)
	_, m = u.take(6 * time.Second)
	require.Empty(t, m.Succeeded)
}
