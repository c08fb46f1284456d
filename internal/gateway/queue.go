package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/admission"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// Bounds of the queues.
const (
	// queueWakePeriod is the interval at which waiting calls look for a server, whatever
	// has changed: backoffs end and retries become available without an event.
	queueWakePeriod = 25 * time.Millisecond
	// looksPerWake bounds the waiting calls that look for a server in vain after one
	// change: each look takes time in proportion to the servers of the service.
	looksPerWake = 4
	// minQueueLength is the least bound on the calls that wait for a service on a VM.
	minQueueLength = 16
	// looksPerEnd is looksPerWake for the end of a call, which makes room for one.
	looksPerEnd = 2
	// maxWaitGoals bounds how long a call waits for an engine, in latency goals, and
	// maxWaitShare by the share of the time until its deadline.
	maxWaitGoals = 4
	maxWaitShare = 2
	// maxHeadroomShare divides the memory of an engine into the free part that it needs
	// at most to get a call.
	maxHeadroomShare = 8
)

// errStopping means that the process ends before the call could be served.
var errStopping = errors.New("process ends before the deadline of the call")

// callQueues holds the calls that wait, by service. It is safe for concurrent use.
type callQueues struct {
	// clock wakes the waiting calls while there are any.
	clock timer.Clock
	// stopped is closed when no call may wait any more.
	stopped chan struct{}

	mu sync.Mutex // guards the fields below
	// services holds the queues by service and, for calls that are to be sent to the new
	// version of a rollout, by service and newVersionSuffix.
	services map[string]*serviceQueue
	waiting  int
	ticks    timer.Subscription
	closed   bool
}

// newVersionSuffix follows the service in the name of the queue of calls for a new version.
// They wait for other servers than the calls for the old one: in one queue, each would wait
// while the servers of the other are full.
const newVersionSuffix = "\x00new"

// serviceQueue is the queue of one service.
type serviceQueue struct {
	*admission.Queue
	calls map[*admission.Waiter]*waitingCall
}

// waitingCall is the part of a waiting call that others may use.
type waitingCall struct {
	wake chan look
	// displaced gets the refusal of a call that was displaced from the queue.
	displaced chan admission.Refusal
}

// look lets a call look for a server.
type look struct {
	// left is the number of calls that may look in vain, this one included.
	left int
	// noRetry is set if a call found no retry: others that need one do not look.
	noRetry bool
}

func newCallQueues(clock timer.Clock) *callQueues {
	return &callQueues{clock: clock, stopped: make(chan struct{}), services: make(map[string]*serviceQueue)}
}

// service returns the queue of a service. The caller must hold mu.
func (q *callQueues) service(name string) *serviceQueue {
	s := q.services[name]
	if s == nil {
		s = &serviceQueue{Queue: admission.NewQueue(), calls: make(map[*admission.Waiter]*waitingCall)}
		q.services[name] = s
	}
	return s
}

// with calls a function with the queue of a service.
func (q *callQueues) with(service string, f func(s *serviceQueue)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.service(service))
}

// length returns the number of calls that wait in a queue.
func (q *callQueues) length(name string) (n int) {
	q.with(name, func(s *serviceQueue) { n = s.Len() })
	return n
}

// add registers a call that has entered the queue.
func (q *callQueues) add(s *serviceQueue, w *admission.Waiter) *waitingCall {
	c := &waitingCall{wake: make(chan look, 1), displaced: make(chan admission.Refusal, 1)}
	s.calls[w] = c
	if q.waiting++; q.ticks == nil && !q.closed {
		q.ticks = q.clock.Every(queueWakePeriod, q.wakeAll)
	}
	return c
}

// drop unregisters a call that is about to leave the queue.
func (q *callQueues) drop(s *serviceQueue, w *admission.Waiter) {
	if s.calls[w] == nil {
		return
	}
	delete(s.calls, w)
	if q.waiting--; q.waiting == 0 && q.ticks != nil {
		q.ticks.Cancel()
		q.ticks = nil
	}
}

// wakeAfterEnd lets waiting calls of a service look for a server after a call has ended.
func (q *callQueues) wakeAfterEnd(service string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range []string{service, service + newVersionSuffix} {
		if s := q.services[name]; s != nil {
			s.wakeNext(nil, look{left: looksPerEnd})
		}
	}
}

// arrive is Queue.Arrive for both queues of a service: a caller that returns has a new call,
// which may be for the other version.
func (q *callQueues) arrive(service string, c *admission.Call, now time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range []string{service, service + newVersionSuffix} {
		if s := q.services[name]; s != nil && !c.Returned {
			s.Arrive(c, now)
		}
	}
}

// wakeAll lets the waiting calls of all services look for a server.
func (q *callQueues) wakeAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == 0 {
		return
	}
	for _, s := range q.services {
		s.wakeNext(nil, look{left: looksPerWake})
	}
}

// recheckAll lets every waiting call look whether it may wait any longer.
func (q *callQueues) recheckAll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.services {
		for _, c := range s.calls {
			c.signal(look{})
		}
	}
}

// close makes the waiting calls leave, and later ones not wait.
func (q *callQueues) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.closed = true
		close(q.stopped)
	}
}

// count returns the number of waiting calls.
func (q *callQueues) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// wakeNext signals the first call in the queue's order, or the one after a given call.
func (s *serviceQueue) wakeNext(after *admission.Waiter, l look) {
	if l.left <= 0 || s.Len() == 0 {
		return
	}
	found := after == nil
	for _, w := range s.Order(timer.SinceBoot()) {
		if found && s.calls[w] != nil && (!l.noRetry || !w.NeedsRetry) {
			s.calls[w].signal(l)
			return
		}
		found = found || w == after
	}
}

// signal wakes a call unless that is under way.
func (c *waitingCall) signal(l look) {
	select {
	case c.wake <- l:
	default:
	}
}

// queued reports whether a call waits in the queue of its service: the configuration must
// state the slots and the memory of its engines.
func (f *forwardedCall) queued() bool {
	return f.mayQueue && f.engine != nil && f.engine.Slots > 0 && f.engine.CapacityTokens > 0
}

// ownTokens returns what a call holds in an engine's memory beside shared parts.
func (f *forwardedCall) ownTokens() int {
	p := &f.call.Prompt
	n := p.InputTokens + p.MaxOutputTokens
	for _, s := range p.SharedBlocks() {
		n -= s.Tokens
	}
	return max(0, n)
}

// holdMemory counts what a call holds in the memory of an engine until the returned
// function is called.
func (g *Gateway) holdMemory(f *forwardedCall, c serverChoice) (release func()) {
	if !f.queued() {
		return func() {}
	}
	shared := f.call.Prompt.SharedBlocks()
	held := make([]backend.Part, len(shared))
	for i, p := range shared {
		held[i] = backend.Part{Key: c.cacheSalt + "/" + p.ID, Tokens: p.Tokens}
	}
	end := g.table.Hold(c.server.ID, f.ownTokens(), held, g.now())
	return func() { end(g.now()) }
}

// endLoad ends what Table.Begin counted, and lets waiting calls look for a server.
func (g *Gateway) endLoad(f *forwardedCall, server string) {
	g.table.End(server)
	if f.queued() {
		g.queues.wakeAfterEnd(f.service)
	}
}

// queuePriority returns the priority of a call in the queue. A call whose response has
// begun is the most urgent: it is lost if it does not go on.
func (f *forwardedCall) queuePriority() int {
	if f.headerSent {
		return 0
	}
	return f.priority()
}

// admissionCall returns what the queue depends on of a call.
func (g *Gateway) admissionCall(f *forwardedCall) admission.Call {
	now := g.now()
	p := &f.call.Prompt
	c := admission.Call{Priority: f.queuePriority(), Route: f.route.Name, Tokens: p.InputTokens + p.MaxOutputTokens}
	if f.team != nil {
		c.Team = f.team.Name
	}
	goal := f.route.LatencyGoal
	if goal <= 0 {
		goal = (f.deadline - f.startedAt) / maxWaitGoals
	}
	if f.attempts > 0 && f.possibleRuns > 0 {
		c.GoalStart = min(now+goal/2, f.deadline)
		c.LatestStart = c.GoalStart
		return c
	}
	prefill := time.Duration(float64(p.InputTokens) / g.table.TokensPerMilli(f.service) * float64(time.Millisecond))
	c.GoalStart = min(f.startedAt+goal-min(prefill, goal/2), f.deadline)
	latest := f.startedAt + min((f.deadline-f.startedAt)/maxWaitShare, maxWaitGoals*goal)
	c.LatestStart = min(max(latest, c.GoalStart, now+goal/2), f.deadline)
	return c
}

// need is what a call waits for.
type need int

const (
	needsNothing need = iota
	needsEngine
	needsRetry
)

// lookForServer returns a server for the next attempt of a call that may be queued, or
// what the call has to wait for. A last resort is a server that has failed, or one that
// refuses calls, which only a first attempt may try: it costs no retry.
func (g *Gateway) lookForServer(f *forwardedCall, lastResort bool) (serverChoice, need) {
	if f.attempts > 0 && g.retries.NextRetry(f.service, g.now(), f.retryReserve()) > 0 {
		return serverChoice{}, needsRetry
	}
	c, ok := g.chooseServer(f, f.service)
	if f.side == rollout.New && (!ok || c.Free == 0) && g.queues.length(f.service) == 0 {
		// The old version may have room, and no call waits for it.
		f.side = rollout.Old
		if old, okOld := g.chooseServer(f, f.service); okOld && old.Free > 0 {
			c, ok = old, true
		} else {
			f.side = rollout.New
		}
	}
	if !ok || c.Free == 0 && (!lastResort || !c.HasRoom || c.refusing && f.attempts > 0) {
		return serverChoice{}, needsEngine
	}
	if !g.takeRetry(f) {
		return serverChoice{}, needsRetry
	}
	return c, needsNothing
}

// nextQueuedServer is nextServer for calls that may be queued.
func (g *Gateway) nextQueuedServer(ctx context.Context, f *forwardedCall) (serverChoice, error) {
	call := g.admissionCall(f)
	mustWait := false
	f.queue = f.service
	if g.rollouts.isForNew(f, g.now()) {
		f.queue += newVersionSuffix
	}
	if f.attempts == 0 {
		g.queues.arrive(f.service, &call, g.now())
		f.returned = call.Returned
	}
	g.queues.with(f.queue, func(s *serviceQueue) {
		call.Returned = f.returned
		mustWait = s.MustWait(&call, g.now())
	})
	missing := needsEngine
	if !mustWait || f.attempts >= maxAttempts {
		var c serverChoice
		if c, missing = g.lookForServer(f, false); missing == needsNothing {
			g.queues.with(f.queue, func(s *serviceQueue) { s.BeginAtOnce(g.now()) })
			return c, nil
		}
	}
	if missing == needsEngine && f.attempts >= maxAttempts {
		return serverChoice{}, errNoServer
	}
	return g.waitForServer(ctx, f, call, missing)
}

// waitForServer waits in the queue of the call's service.
func (g *Gateway) waitForServer(ctx context.Context, f *forwardedCall, call admission.Call, missing need) (serverChoice, error) {
	enteredAt := g.now()
	lastResortAt := enteredAt + f.route.LatencyGoal/2
	call.NeedsRetry = missing == needsRetry
	if call.NeedsRetry && enteredAt >= call.GoalStart {
		return serverChoice{}, g.refuseRetry(f, &call)
	}
	limit := max(minQueueLength, g.table.Slots(f.service, enteredAt)/(g.node.MemberCount()+1))
	var w *admission.Waiter
	var self *waitingCall
	var refusal *admission.Refusal
	g.queues.with(f.queue, func(s *serviceQueue) {
		var displaced *admission.Waiter
		w, displaced, refusal = s.Enter(call, limit, enteredAt, rand.Float64)
		if displaced != nil {
			s.calls[displaced].displaced <- s.Refuse(displaced, admission.Full, enteredAt, rand.Float64)
			g.queues.drop(s, displaced)
		}
		if refusal == nil {
			self = g.queues.add(s, w)
		}
	})
	if refusal != nil {
		return serverChoice{}, g.refuseWaiting(f, *refusal)
	}
	g.updateWaiting()
	defer func() {
		g.queues.with(f.queue, func(s *serviceQueue) { s.Leave(w); g.queues.drop(s, w) })
		g.updateWaiting()
		g.metrics.observeDuration("queue_wait_us", g.now()-enteredAt)
	}()
	due := time.NewTimer(0)
	defer due.Stop()
	for {
		until := call.LatestStart
		if missing == needsRetry {
			until = call.GoalStart
		}
		if now := g.now(); now < lastResortAt {
			until = min(until, lastResortAt)
		}
		due.Reset(until - g.now())
		var woken look
		select {
		case <-ctx.Done():
			return serverChoice{}, ctx.Err()
		case <-g.queues.stopped:
			return serverChoice{}, g.refuseStopping(f)
		case r := <-self.displaced:
			return serverChoice{}, g.refuseWaiting(f, r)
		case woken = <-self.wake:
		case <-due.C:
		}
		if end := time.Duration(g.servesUntil.Load()); end > 0 && f.deadline > end {
			return serverChoice{}, g.refuseStopping(f)
		}
		if missing == needsEngine {
			clear(f.excluded)
		}
		now := g.now()
		var c serverChoice
		if c, missing = g.lookForServer(f, now >= lastResortAt); missing == needsNothing {
			g.queues.with(f.queue, func(s *serviceQueue) {
				s.Begin(w, g.now())
				s.wakeNext(nil, look{left: looksPerWake})
			})
			event.CallWaited.Log(g.log, nil, log.Fields{"request": f.call.ID, "ms": (now - enteredAt).Milliseconds(), "server": c.server.ID, "sent": f.attempts})
			return c, nil
		}
		g.queues.with(f.queue, func(s *serviceQueue) {
			w.NeedsRetry = missing == needsRetry
			s.wakeNext(w, look{left: woken.left - 1, noRetry: woken.noRetry || w.NeedsRetry})
		})
		switch {
		case missing == needsEngine && now >= call.LatestStart:
			var r admission.Refusal
			g.queues.with(f.queue, func(s *serviceQueue) { r = s.Refuse(w, admission.TooLate, now, rand.Float64) })
			return serverChoice{}, g.refuseWaiting(f, r)
		case missing == needsRetry && now >= call.GoalStart:
			return serverChoice{}, g.refuseRetry(f, &call)
		}
	}
}

// refuseWaiting notes that a call is refused because no engine can begin it in time.
func (g *Gateway) refuseWaiting(f *forwardedCall, r admission.Refusal) error {
	f.retryAfter = r.RetryAfter
	g.countQueueRefusal(string(r.Reason))
	event.CapacityRefused.Log(g.log, nil, log.Fields{"request": f.call.ID, "reason": string(r.Reason), "after": r.RetryAfter.Milliseconds(), "sent": f.attempts})
	return errNoServer
}

// refuseRetry notes that a call is refused because no retry is available in time.
func (g *Gateway) refuseRetry(f *forwardedCall, call *admission.Call) error {
	now := g.now()
	var r *admission.Refusal
	g.queues.with(f.queue, func(s *serviceQueue) {
		r = s.Promise(call, admission.NoRetry, 0, now, rand.Float64)
	})
	f.retryAfter = r.RetryAfter
	g.countQueueRefusal(string(r.Reason))
	event.RetryRefused.Log(g.log, nil, log.Fields{
		"request": f.call.ID, "sent": f.attempts, "after": r.RetryAfter.Milliseconds(),
		"next": g.retries.NextRetry(f.service, now, f.retryReserve()).Milliseconds(),
	})
	return errRetryBudget
}

// refuseStopping notes that a call is refused because the process ends.
func (g *Gateway) refuseStopping(f *forwardedCall) error {
	g.countQueueRefusal("stopping")
	event.CapacityRefused.Log(g.log, errStopping, log.Fields{"request": f.call.ID, "reason": "stopping", "sent": f.attempts})
	return errStopping
}

func (g *Gateway) countQueueRefusal(reason string) {
	g.metrics.incrementCounter("queue_refusals_" + metricName(reason))
}

func (g *Gateway) updateWaiting() { g.metrics.setGauge("queue_waiting", int64(g.queues.count())) }
