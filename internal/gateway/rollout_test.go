package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/loopback"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

// memoryFeed is a table whose changes VMs receive. While it is mute it does not respond.
type memoryFeed struct {
	mu      sync.Mutex
	rows    map[string]feed.Row
	version int64
	mute    atomic.Bool
}

// put writes a row, or removes it if the value is nil.
func (m *memoryFeed) put(key string, value any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	r := feed.Row{Key: key, Version: m.version, Removed: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	m.rows[key] = r
}

func (m *memoryFeed) Snapshot(ctx context.Context) (feed.Page, error) {
	return m.Changes(ctx, feed.Cursor{}, 0)
}

func (m *memoryFeed) Changes(ctx context.Context, after feed.Cursor, wait time.Duration) (feed.Page, error) {
	for until := now() + wait/10; ; time.Sleep(2 * time.Millisecond) {
		m.mu.Lock()
		p := feed.Page{Version: m.version}
		for _, r := range m.rows {
			if r.Version > after.Version && (after.Version > 0 || !r.Removed) {
				p.Rows = append(p.Rows, r)
			}
		}
		m.mu.Unlock()
		if (len(p.Rows) > 0 || now() >= until) && !m.mute.Load() || ctx.Err() != nil {
			return p, ctx.Err()
		}
	}
}

// rolloutAdapter reads declarations and servers from feeds.
type rolloutAdapter struct {
	*fakeAdapter
	operators, servers *memoryFeed
}

// Send makes an attempt if it is permitted, as the platform's adapter does.
func (a *rolloutAdapter) Send(ctx context.Context, t *Attempt) (*Response, error) {
	if !t.Permit() {
		return nil, fmt.Errorf("%w: %w", upstream.ErrUnsent, upstream.ErrNotPermitted)
	}
	return a.fakeAdapter.Send(ctx, t)
}

func (a *rolloutAdapter) Declarations() feed.Source { return a.operators }
func (a *rolloutAdapter) ServerList() feed.Source   { return a.servers }

func (a *rolloutAdapter) DecodeDeclaration(_ string, value []byte) (Declaration, error) {
	o := &rollout.Order{}
	err := json.Unmarshal(value, o)
	return Declaration{Rollout: o}, err
}

func (a *rolloutAdapter) DecodeServer(_ string, value []byte) (backend.Server, error) {
	var s backend.Server
	err := json.Unmarshal(value, &s)
	return s, err
}

func (a *rolloutAdapter) list(id, service, release string) {
	a.servers.put(id, backend.Server{ID: id, Service: service, Address: id, Zone: "z1", Slots: 6, Release: release, Models: map[string]int64{"m": 1}})
}

// scriptedController returns the decision that the test sets, and keeps the last view.
type scriptedController struct {
	decision atomic.Value
	view     atomic.Value
}

func (c *scriptedController) Step(v rollout.View) rollout.Decision {
	c.view.Store(v)
	return c.decision.Load().(rollout.Decision)
}

func (c *scriptedController) set(state rollout.State, share float64) {
	c.decision.Store(rollout.Decision{State: state, Share: share})
}

func (c *scriptedController) lastView() rollout.View {
	v, _ := c.view.Load().(rollout.View)
	return v
}

// rolloutTest is a fleet of VMs in front of a plain service, whose servers of release v1
// are a1 and a2, and a service of engines, whose server of v1 is e1.
type rolloutTest struct {
	*testing.T
	adapter    *rolloutAdapter
	controller *scriptedController
	catalog    *catalog.Catalog
}

func newRolloutTest(t *testing.T) *rolloutTest {
	first, a := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) {
		return newResponse(200, eventStream("1")), nil
	})
	r := &rolloutTest{T: t, adapter: &rolloutAdapter{a, &memoryFeed{rows: make(map[string]feed.Row)}, &memoryFeed{rows: make(map[string]feed.Row)}}, controller: &scriptedController{}, catalog: first.catalog.Current()}
	r.controller.set(rollout.Running, 0)
	r.adapter.list("a1", "plain", "v1")
	r.adapter.list("a2", "plain", "v1")
	r.adapter.list("e1", "model", "v1")
	return r
}

func (r *rolloutTest) start(vm string) *Gateway { return r.startIn("z1", vm) }

// startIn starts a VM in a zone.
func (r *rolloutTest) startIn(zone, vm string) *Gateway {
	bounds := testBounds
	bounds.OrderHandover = config.Duration(100 * time.Millisecond)
	bounds.Exposure = &ExposureBounds{Share: 0.1, Slack: 50, Rollback: config.Duration(5 * time.Second)}
	g, err := New(Settings{VM: vm, Zone: zone, PeerAddress: loopback.FreeAddress(r), Bounds: bounds}, r.adapter, &log.Logger{Handler: discard.New()})
	require.NoError(r, err)
	r.Cleanup(g.Close)
	g.rolloutOwner.newController = func() rolloutController { return r.controller }
	g.catalog.Put(r.catalog)
	require.Eventually(r, g.Ready, 5*time.Second, 5*time.Millisecond)
	return g
}

// order orders a rollout of the plain service.
func (r *rolloutTest) order(to string) {
	r.adapter.operators.put("row", rollout.Order{Service: "plain", To: to, Duration: time.Minute})
}

// used sends 60 calls and returns how many were sent to each release.
func (r *rolloutTest) used(g *Gateway) map[string]int {
	r.Helper()
	before := len(r.adapter.sentAttempts())
	out := make(map[string]int)
	for range 60 {
		c, answer := newCall("/public/", ""), &responseRecorder{}
		c.ID = strconv.FormatUint(rand.Uint64(), 36)
		if g.Serve(context.Background(), c, answer); answer.refusal != nil {
			out["refused"]++
		}
	}
	for _, a := range r.adapter.sentAttempts()[before:] {
		out[a.Server.Release]++
	}
	return out
}

// eventually waits until all calls go to a release.
func (r *rolloutTest) eventually(g *Gateway, release string) {
	r.Helper()
	require.Eventually(r, func() bool { return r.used(g)[release] == 60 }, 8*time.Second, 10*time.Millisecond)
}

// stopOwner ends the periodic work of a VM, as if its process hung.
func stopOwner(g *Gateway) {
	for _, sub := range g.subscriptions {
		sub.Cancel()
	}
}

// A new version got calls without a grant, and still got some after its share had expired
// with its owner, or after the end of its rollout.
func TestNewReleaseGetsCallsOnlyByGrant(t *testing.T) {
	tests := []struct {
		name  string
		state rollout.State
		after string
	}{
		{"owner dies", rollout.Running, "v1"},
		{"store unavailable", rollout.Running, "v1"},
		{"rolled back", rollout.RolledBack, "v1"},
		{"done", rollout.Done, "v2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRolloutTest(t)
			g := r.start("vm1")
			r.order("v2")
			r.adapter.list("b1", "plain", "v2")
			require.Eventually(t, func() bool { return len(r.adapter.store.reported()) == 1 && r.controller.lastView().NewServers == 1 }, 5*time.Second, 5*time.Millisecond)
			require.Equal(t, map[string]int{"v1": 60}, r.used(g))
			r.controller.set(rollout.Running, 0.5)
			require.Eventually(t, func() bool { u := r.used(g); return u["v1"] > 0 && u["v2"] > 0 }, 5*time.Second, 5*time.Millisecond)
			if tt.state == rollout.Running {
				if tt.name == "store unavailable" {
					r.adapter.operators.mute.Store(true)
					time.Sleep(declarationsLongPollWait + feed.LongPollGrace + rolloutStepPeriod)
				} else {
					stopOwner(g)
				}
				time.Sleep(rollout.GrantTTL)
				require.Equal(t, map[string]int{"v1": 60}, r.used(g))
				return
			}
			// A lost response must not end the rollout, or make its owner start again.
			r.adapter.store.mu.Lock()
			r.adapter.store.loseResponse = rolloutRecordPrefix + "plain"
			r.adapter.store.mu.Unlock()
			r.controller.set(tt.state, 1)
			require.Eventually(t, func() bool { return len(r.adapter.store.reported()) == 2 }, 5*time.Second, 5*time.Millisecond)
			require.Equal(t, []string{"plain running v2", "plain " + string(tt.state) + " v2"}, r.adapter.store.reported())
			require.Equal(t, map[string]int{tt.after: 60}, r.used(g))
			stopOwner(g)
			time.Sleep(rollout.GrantTTL)
			require.Equal(t, map[string]int{tt.after: 60}, r.used(g), "final states do not expire")
			require.Equal(t, map[string]int{tt.after: 60}, r.used(r.start("vm2")), "a VM that starts reads the record")
		})
	}
}

// Calls that were to go to the new version were refused while its servers asked for no
// requests, although servers of the old version took them.
func TestOldReleaseServesWhileNewBacksOff(t *testing.T) {
	r := newRolloutTest(t)
	g := r.start("vm1")
	r.order("v2")
	r.adapter.list("b1", "plain", "v2")
	r.controller.set(rollout.Running, 0.5)
	require.Eventually(t, func() bool { return r.used(g)["v2"] > 0 }, 5*time.Second, 5*time.Millisecond)
	g.table.RecordBackoff("b1", 0, g.now()+30*time.Second, g.now())
	require.Equal(t, map[string]int{"v1": 60}, r.used(g))
}

// startEngineRollout starts a VM and a rollout of the engines at a share of 0.5. The old
// engine is e1, the new one e2; the given one is full.
func (r *rolloutTest) startEngineRollout(full string) *Gateway {
	g := r.start("vm1")
	g.settings.QueueCalls = true
	r.adapter.list("e2", "model", "v2")
	r.adapter.operators.put("row", rollout.Order{Service: "model", To: "v2", Duration: time.Minute})
	r.controller.set(rollout.Running, 0.5)
	require.Eventually(r, func() bool {
		_, listed := g.table.Get("e2", g.now())
		g.rollouts.mu.Lock()
		defer g.rollouts.mu.Unlock()
		share, _ := g.rollouts.service("model").share(g.now())
		return listed && share > 0.4
	}, 5*time.Second, 5*time.Millisecond)
	for range 20 {
		g.table.Begin(full, 0)
	}
	return g
}

// Calls for a new version whose engines were full waited, ahead of those for the old
// version, and none of both was sent to the old engines, which had room.
func TestCallsForFullNewEnginesUseOldOnes(t *testing.T) {
	r := newRolloutTest(t)
	g := r.startEngineRollout("e2")
	const calls = 30
	began, done := now(), make(chan *responseRecorder, calls)
	for i := range calls {
		go func() {
			c, answer := newCall("/long-goals/", "isolated-key"), &responseRecorder{}
			c.ID = strconv.Itoa(i)
			g.Serve(context.Background(), c, answer)
			done <- answer
		}()
	}
	served := 0
	for range calls {
		if answer := <-done; answer.status == 200 {
			served++
		}
	}
	require.Equal(t, calls, served)
	require.Less(t, now()-began, time.Second)
	for _, a := range r.adapter.sentAttempts() {
		require.Equal(t, "e1", a.Server.ID)
	}
}

// Calls for a new version with room were refused because the queue was full of calls for
// the old one, whose engines were full.
func TestCallsForFullOldEnginesDoNotHoldUpNewOnes(t *testing.T) {
	g := newRolloutTest(t).startEngineRollout("e1")
	const calls = 10
	serve := func(side rollout.Side) <-chan *responseRecorder {
		done, sent := make(chan *responseRecorder, calls), 0
		for i := 0; sent < calls; i++ {
			c, answer := newCall("/long-goals/", "isolated-key"), &responseRecorder{}
			c.ID = strconv.Itoa(i)
			if rollout.ToNew(0.4, rollout.RequestHash(c.ID)) != (side == rollout.New) || side == rollout.Old && rollout.ToNew(0.6, rollout.RequestHash(c.ID)) {
				continue
			}
			sent++
			go func() {
				g.Serve(context.Background(), c, answer)
				done <- answer
			}()
		}
		return done
	}
	serve(rollout.Old)
	requireWaiting(t, g, calls)
	began, done := now(), serve(rollout.New)
	for range calls {
		require.Equal(t, 200, (<-done).status)
		require.Less(t, now()-began, time.Second)
	}
}

// A successor started the rollout anew: the deadline moved, and earlier exposures did not
// count. Counts of a VM in another zone than the owner, and grants to it, were lost.
func TestSuccessorContinuesRollout(t *testing.T) {
	r := newRolloutTest(t)
	vms := []*Gateway{r.startIn("z1", "vm1"), r.startIn("z2", "vm2"), r.startIn("z2", "vm3")}
	for _, g := range vms {
		for _, o := range vms {
			g.node.AddMember(o.settings.VM, o.settings.PeerAddress)
		}
	}
	serving := vms[2]
	require.Eventually(t, func() bool { return !serving.declarations.ReadsFromStore() && serving.node.MemberCount() == 2 }, 5*time.Second, 5*time.Millisecond)
	r.adapter.list("b1", "plain", "v2")
	r.order("v2")
	r.controller.set(rollout.Running, 0.5)
	record := func() rolloutRecord {
		_, rec, err := serving.readRollout(context.Background(), "plain")
		require.NoError(t, err)
		return rec
	}
	require.Eventually(t, func() bool { return r.used(serving)["v2"] > 0 }, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return record().Exposures > 0 && record().Requests > record().Exposures }, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return r.controller.lastView().Silent == 0 }, 5*time.Second, 5*time.Millisecond)
	before := record()
	for _, g := range vms {
		if len(g.rolloutOwner.activeGrants()) > 0 {
			g.Close()
		}
	}
	require.Eventually(t, func() bool { return record().Fence > before.Fence }, 8*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return r.used(serving)["v2"] > 0 }, 8*time.Second, 5*time.Millisecond)
	after := record()
	require.Equal(t, before.Start, after.Start)
	require.Equal(t, []string{"v1"}, after.Old)
	require.GreaterOrEqual(t, after.Exposures, before.Exposures)
	r.controller.set(rollout.Done, 1)
	r.eventually(serving, "v2")
}

// A server of a release that nobody had ordered yet got calls before the operators' table
// was read again, so that an order that preceded it came too late.
func TestUnknownReleaseIsHeldBack(t *testing.T) {
	r := newRolloutTest(t)
	g := r.start("vm1")
	r.adapter.operators.mute.Store(true)
	time.Sleep(2 * declarationsLongPollWait / 10)
	r.adapter.servers.put("a1", nil)
	r.adapter.servers.put("a2", nil)
	r.adapter.list("b1", "plain", "v2")
	require.Eventually(t, func() bool { _, listed := g.table.Get("b1", g.now()); return listed }, 5*time.Second, 5*time.Millisecond)
	require.NotNil(t, serveCall(t, g, "/public/", "").refusal)
	r.adapter.operators.mute.Store(false)
	r.eventually(g, "v2")
}

// The version of a withdrawn or replaced order kept its calls.
func TestOrderIsWithdrawnOrReplaced(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		r := newRolloutTest(t)
		g := r.start("vm1")
		r.adapter.list("b1", "plain", "v2")
		r.adapter.list("c1", "plain", "v3")
		r.order("v2")
		r.controller.set(rollout.Running, 1)
		r.eventually(g, "v2")
		r.controller.set(rollout.Running, 0)
		if !replaced {
			r.adapter.operators.put("row", nil)
			require.Eventually(t, func() bool { return len(r.adapter.store.reported()) == 2 }, 5*time.Second, 5*time.Millisecond)
			require.Equal(t, "plain rolled_back v2", r.adapter.store.reported()[1])
			require.Zero(t, r.used(g)["v2"])
			continue
		}
		r.order("v3")
		require.Eventually(t, func() bool { return len(r.adapter.store.reported()) == 2 }, 5*time.Second, 5*time.Millisecond)
		require.Equal(t, map[string]int{"v1": 60}, r.used(g))
		r.controller.set(rollout.Done, 1)
		r.eventually(g, "v3")
	}
}

// An order for the version that all servers run, or for no known service, never ended.
func TestOrderWithoutOldServersIsDone(t *testing.T) {
	r := newRolloutTest(t)
	g := r.start("vm1")
	r.adapter.operators.put("other", rollout.Order{Service: "no such service", To: "v1", Duration: time.Minute})
	r.order("v1")
	require.Eventually(t, func() bool { return len(r.adapter.store.reported()) == 2 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, []string{"plain running v1", "plain done v1"}, r.adapter.store.reported())
	require.Equal(t, map[string]int{"v1": 60}, r.used(g))
}

// Calls were refused when the old servers had gone before the rollout was done.
func TestNewReleaseServesOnceOldServersAreGone(t *testing.T) {
	r := newRolloutTest(t)
	g := r.start("vm1")
	r.order("v2")
	r.adapter.list("b1", "plain", "v2")
	require.Equal(t, map[string]int{"v1": 60}, r.used(g))
	r.adapter.servers.put("a1", nil)
	r.adapter.servers.put("a2", nil)
	require.Eventually(t, func() bool { return g.ServerCount() == 2 }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, map[string]int{"v2": 60}, r.used(g))
}

// A stream on an old server was cut when the rollout was done, and a stream was moved to
// another old server.
func TestStreamsMoveToNewReleaseBeforeDone(t *testing.T) {
	r := newRolloutTest(t)
	begun := make(chan struct{})
	r.adapter.respond = func(ctx context.Context, _ int, a *Attempt) (*Response, error) {
		if a.Server.Release == "v2" {
			return newResponse(200, eventStream("2")), nil
		}
		close(begun)
		return pausingStream(ctx, 5*time.Second), nil
	}
	g := r.start("vm1")
	r.adapter.list("e2", "model", "v1")
	r.adapter.list("f1", "model", "v2")
	r.adapter.operators.put("row", rollout.Order{Service: "model", To: "v2", Duration: time.Minute})
	require.Eventually(t, func() bool { return r.controller.lastView().NewServers == 1 }, 5*time.Second, 5*time.Millisecond)
	answer := make(chan string)
	// The latency goals of this route are too long for the silence timer to fire.
	go func() { answer <- serveCall(t, g, "/long-goals/", "isolated-key").body.String() }()
	<-begun
	require.Eventually(t, func() bool { return r.controller.lastView().OldCalls == 1 }, 5*time.Second, 5*time.Millisecond)
	r.controller.set(rollout.Running, 1)
	require.Equal(t, eventStream("1", "2"), <-answer)
	require.Eventually(t, func() bool { return r.controller.lastView().OldCalls == 0 }, 5*time.Second, 5*time.Millisecond)
}

// Calls were placed at old servers, which stop as soon as the platform learns that the rollout
// is done, by VMs that had not heard that all calls go to the new version.
func TestVMsLearnOfTheEndBeforeThePlatform(t *testing.T) {
	const duration = 1500 * time.Millisecond
	tests := []struct {
		name  string
		share float64
		// min and max bound the time from the decision to the report.
		min, max time.Duration
	}{
		{"calls go to both versions up to the end", 0.5, doneNotice, 2 * time.Second},
		{"all calls have gone to the new one for some time", 1, 0, doneNotice},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRolloutTest(t)
			g := r.start("vm1")
			r.adapter.operators.put("row", rollout.Order{Service: "plain", To: "v2", Duration: duration})
			began := time.Now()
			r.adapter.list("b1", "plain", "v2")
			require.Eventually(t, func() bool { return len(r.adapter.store.reported()) == 1 && r.controller.lastView().NewServers == 1 }, time.Second, time.Millisecond)
			r.controller.set(rollout.Running, tt.share)
			time.Sleep(time.Until(began.Add(duration)))
			r.controller.set(rollout.Done, 1)
			decided := time.Now()
			require.Eventually(t, func() bool { return len(r.adapter.store.reported()) == 2 }, tt.max, time.Millisecond)
			require.GreaterOrEqual(t, time.Since(decided), tt.min)
			require.Equal(t, map[string]int{"v2": 60}, r.used(g))
		})
	}
}

// A call that failed on one side was repeated on the other, so that a bad version's
// failures were hidden or its exposures exceeded its share.
func TestRetriesStayOnSide(t *testing.T) {
	r := newRolloutTest(t)
	r.adapter.respond = func(context.Context, int, *Attempt) (*Response, error) { return newResponse(500, "no"), nil }
	g := r.start("vm1")
	r.adapter.list("b1", "plain", "v2")
	r.adapter.list("b2", "plain", "v2")
	r.order("v2")
	r.controller.set(rollout.Running, 0.5)
	require.Eventually(t, func() bool { return r.used(g)["v2"] > 0 }, 5*time.Second, 5*time.Millisecond)
	byRequest := make(map[string]map[string]bool)
	for _, a := range r.adapter.sentAttempts() {
		if byRequest[a.Call.ID] == nil {
			byRequest[a.Call.ID] = make(map[string]bool)
		}
		byRequest[a.Call.ID][a.Server.Release] = true
	}
	for id, releases := range byRequest {
		require.Len(t, releases, 1, id)
	}
	require.Eventually(t, func() bool {
		_, updated := sides(r.controller.lastView().Total)
		return updated.Failed > 0 && updated.Failed == updated.Sent && updated.Answered == 0
	}, 5*time.Second, 5*time.Millisecond)
}

// A VM that started while the order of a rollout that was done was in force sent calls to
// the old servers, which had stopped, before it read the record.
func TestStartingVMWaitsForRecord(t *testing.T) {
	r := newRollouts(Settings{FirstStart: true, Bounds: Bounds{Exposure: &ExposureBounds{}}})
	statuses := []backend.Status{{Server: backend.Server{Release: "v1"}}, {Server: backend.Server{Release: "v2"}}}
	excluded := func() []bool {
		return r.restrict(&forwardedCall{call: &Call{ID: "id"}}, "s", statuses, 5*time.Millisecond).excluded
	}
	r.observe("s", "v1", 0)
	r.observe("s", "v2", 0)
	require.Equal(t, []bool{true, true}, excluded(), "the operators' table is not known")
	r.setOrder("row", rollout.Order{Service: "s", To: "v2", Revision: 7}, time.Millisecond)
	r.completeList(2 * time.Millisecond)
	r.confirmTable(3 * time.Millisecond)
	require.Equal(t, []bool{true, true}, excluded())
	require.False(t, r.settled())
	require.Equal(t, []string{"s"}, r.recordsToRead(4*time.Millisecond))
	r.applyRecord("s", rolloutRecord{Revision: 7, To: "v2", State: rollout.Done, Old: []string{"v1"}})
	require.Equal(t, []bool{true, false}, excluded())
	require.True(t, r.settled())
}

// A VM that had been paused applied the grants that had waited meanwhile, and sent calls to
// a version that had been rolled back.
func TestGrantsFromBeforeAPauseAreIgnored(t *testing.T) {
	r := newRollouts(Settings{})
	r.step(time.Second)
	require.False(t, r.ignoresGrants(time.Second+pauseThreshold))
	require.True(t, r.ignoresGrants(5*time.Second))
	r.step(5 * time.Second)
	require.True(t, r.ignoresGrants(5*time.Second+staleGrantTime/2))
	require.False(t, r.ignoresGrants(5*time.Second+staleGrantTime))
}

// Counts of a process were added twice if its messages arrived again or by another VM.
func TestRolloutCountsAreMergedOnce(t *testing.T) {
	r := newRollouts(Settings{Bounds: Bounds{Exposure: &ExposureBounds{}}})
	r.setOrder("row", rollout.Order{Service: "s", To: "v2", Revision: 7}, 0)
	counts := func(sent int64) []gossip.RolloutCounts {
		return []gossip.RolloutCounts{{Service: "s", Revision: 7, Routes: []gossip.RouteCounts{{New: true, Route: "r", Sent: sent, Latency: []int64{sent}}}}}
	}
	for _, sent := range []int64{3, 5, 4} {
		r.mergeCounts("b", 1, counts(sent), 0)
	}
	r.mergeCounts("b", 2, counts(2), 0)
	total, silent, complete := r.services["s"].total([]string{"a", "b", "c"}, "a", 0, time.Millisecond)
	require.Equal(t, int64(7), total[rollout.Key{Side: rollout.New, Route: "r"}].Sent)
	require.Equal(t, int64(7), total[rollout.Key{Side: rollout.New, Route: "r"}].Latency[0])
	require.InDelta(t, 1.0/3, silent, 1e-9)
	require.False(t, complete)
	require.Equal(t, []int{0, 1, 9}, []int{latencyBucket(15 * time.Millisecond), latencyBucket(16 * time.Millisecond), latencyBucket(time.Hour)})
}
