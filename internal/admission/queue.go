package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Bounds of a queue.
const (
	// longCallTokens is the size from which on a call costs its team twice as much as one
	// of no tokens. The bound lets teams of large calls begin at least half as many calls
	// as teams of small ones.
	longCallTokens = 8192
	// agedShare is the number of calls that begin per call that begins because it has
	// waited longest, agedWait the wait from which on that is possible.
	agedShare = 8
	agedWait  = 500 * time.Millisecond
	// MinRetryAfter and MaxRetryAfter bound the time until a refused caller may return,
	// before it is spread.
	MinRetryAfter = 150 * time.Millisecond
	MaxRetryAfter = 5 * time.Second
	// retrySpread is the share by which the time is prolonged at random, so that refused
	// callers do not return together.
	retrySpread = 0.5
	// refusalMemory is how long a refusal of an engine makes calls avoid idle engines;
	// engines that load weights refuse for two seconds. explorationShare is the share of
	// first attempts that do not avoid them.
	refusalMemory    = 2 * time.Second
	explorationShare = 1.0 / 16
	// confidence is the number of standard deviations by which the calls that may begin
	// in a call's time must fall short before it is refused at once.
	confidence = 2.0
)

// Call is what decisions depend on of a call.
type Call struct {
	// Priority is 0 for the most urgent calls.
	Priority int
	Team     string
	Route    string
	// Tokens is the length of the prompt and the expected output.
	Tokens int
	// GoalStart is when the call must begin to meet its latency goal, LatestStart when it
	// is refused.
	GoalStart   time.Duration
	LatestStart time.Duration
	// NeedsRetry is set if the call waits for a retry of the service's retry budget, not
	// for an engine.
	NeedsRetry bool
	// Returned is set if the call counts as one that was refused before (Queue.Arrive).
	Returned bool
}

// cost is the part of its team's share that a call uses.
func (c *Call) cost() float64 { return 1 + min(1, float64(c.Tokens)/longCallTokens) }

// Waiter is a call in a queue.
type Waiter struct {
	Call
	enteredAt time.Duration
	sequence  uint64
	// startTag is the virtual time at which the call begins if its team gets its share.
	// Queue.order sets it.
	startTag float64
	// late is set by Queue.order if the call cannot meet its latency goal any more.
	late bool
	left bool
}

// Left reports whether the call has left the queue: it began, gave up or was displaced.
func (w *Waiter) Left() bool { return w.left }

// teamKey names the share of a team among the calls of one priority.
type teamKey struct {
	priority int
	team     string
}

// Queue holds the waiting calls of one service. It is not safe for concurrent use.
// Times are those of a clock that the caller passes.
type Queue struct {
	waiters  []*Waiter
	sequence uint64
	// virtual is the start tag of the call that began last, by priority, and used the
	// virtual time up to which each team has had its share. Both are empty while no call
	// waits.
	virtual map[int]float64
	used    map[teamKey]float64
	// begun counts the waiting calls that began.
	begun int
	// waitingSince is since when some call waits.
	waitingSince time.Duration
	rate         rateMeter
	promises     promises
	sizes        sizeMeter
	// refused is set once an engine has refused a call without running it, the last one at
	// refusedAt.
	refused   bool
	refusedAt time.Duration
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{virtual: make(map[int]float64), used: make(map[teamKey]float64), promises: make(promises)}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.waiters) }

// Arrive is called once for each call that arrives. It sets Returned if the call counts
// as one that was refused and told to return about now.
func (q *Queue) Arrive(c *Call, now time.Duration) {
	c.Returned = q.promises.take(promiseKey{c.Team, c.Route}, now)
}

// MustWait reports whether a call may not begin before one that waits for an engine. A
// call that returns after a refusal is as good as a waiting one of its rank.
func (q *Queue) MustWait(c *Call, now time.Duration) bool {
	w := &Waiter{Call: *c, sequence: math.MaxUint64}
	return q.ahead(w, now) > 0
}

// ahead returns the number of calls that wait for an engine before w, which does not
// wait yet.
func (q *Queue) ahead(w *Waiter, now time.Duration) int {
	n := 0
	for _, o := range q.order(now, w) {
		if o == w {
			break
		}
		if !o.NeedsRetry {
			n++
		}
	}
	return n
}

// RecordRefusal records that an engine refused a call without running it.
func (q *Queue) RecordRefusal(now time.Duration) { q.refused, q.refusedAt = true, now }

// AvoidIdle reports whether a call keeps away from engines that run far fewer calls than
// others: in the last moments engines refused calls, and those look idle. VMs that send
// few calls would meet each of them anew. A part of the first attempts goes there all the
// same, so that engines that no longer refuse get calls again.
func (q *Queue) AvoidIdle(attempts int, now time.Duration, random func() float64) bool {
	if !q.refused || now-q.refusedAt >= refusalMemory {
		return false
	}
	return attempts > 0 || random() >= explorationShare
}

// Headroom records the tokens that a call holds in an engine's memory, and returns those
// of the largest recent call of the service.
func (q *Queue) Headroom(tokens int, now time.Duration) int {
	q.sizes.add(tokens, now)
	return q.sizes.largest()
}

// Refusal is the reason for which a call does not wait, and when its caller may return.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Reason says why a call is refused.
type Reason string

// Reasons for refusals.
const (
	// TooLate means that the call would not begin by its LatestStart.
	TooLate Reason = "too late"
	// Full means that the queue is full of calls that come before the call.
	Full Reason = "full"
	// NoRetry means that no retry is available in time.
	NoRetry Reason = "no retry"
)

// Enter adds a call to the queue, which holds up to limit calls. If the queue is full,
// the last call in its order is displaced: the caller must refuse it. If the call itself
// would not begin in time or is the last one, it is refused.
func (q *Queue) Enter(c Call, limit int, now time.Duration, random func() float64) (w, displaced *Waiter, r *Refusal) {
	q.sequence++
	w = &Waiter{Call: c, enteredAt: now, sequence: q.sequence}
	if now >= c.LatestStart {
		return nil, nil, q.refusal(w, TooLate, now, random)
	}
	if !c.NeedsRetry && q.saturated(now) && q.rate.tooFew(q.ahead(w, now)+1, c.LatestStart-now, now) {
		return nil, nil, q.refusal(w, TooLate, now, random)
	}
	if len(q.waiters) >= limit {
		order := q.order(now, w)
		last := order[len(order)-1]
		if last == w {
			return nil, nil, q.refusal(w, Full, now, random)
		}
		q.remove(last)
		displaced = last
	}
	if len(q.waiters) == 0 {
		q.waitingSince = now
	}
	q.waiters = append(q.waiters, w)
	return w, displaced, nil
}

// saturated reports whether calls have waited for so long that the rate at which calls
// begin is that of the capacity, not that at which calls arrive.
func (q *Queue) saturated(now time.Duration) bool {
	return len(q.waiters) > 0 && now-q.waitingSince >= minRateSpan
}

// Refuse removes a waiting call that is refused.
func (q *Queue) Refuse(w *Waiter, reason Reason, now time.Duration, random func() float64) Refusal {
	q.remove(w)
	return *q.refusal(w, reason, now, random)
}

// refusal returns the refusal of a call that does not wait, and promises its caller that
// it will come before newcomers when it returns.
func (q *Queue) refusal(w *Waiter, reason Reason, now time.Duration, random func() float64) *Refusal {
	after := q.rate.timeFor(q.ahead(w, now)+1, now)
	return q.Promise(&w.Call, reason, after, now, random)
}

// Promise returns a refusal of a call whose caller may return after a time, which is
// spread, and promises that it will come before newcomers then.
func (q *Queue) Promise(c *Call, reason Reason, after, now time.Duration, random func() float64) *Refusal {
	after = min(max(after, MinRetryAfter), MaxRetryAfter)
	after += time.Duration(retrySpread * random() * float64(after))
	q.promises.add(promiseKey{c.Team, c.Route}, now, after)
	return &Refusal{Reason: reason, RetryAfter: after}
}

// Leave removes a call whose caller has left. It may have left the queue before.
func (q *Queue) Leave(w *Waiter) { q.remove(w) }

// Begin removes a waiting call that is sent to an engine. It may have been displaced
// while its engine was selected.
func (q *Queue) Begin(w *Waiter, now time.Duration) {
	q.begun++
	q.rate.add(now)
	if w.left {
		return
	}
	key := teamKey{w.Priority, w.Team}
	q.virtual[w.Priority] = max(q.virtual[w.Priority], w.startTag)
	q.used[key] = max(q.used[key], w.startTag) + w.cost()
	q.remove(w)
}

// BeginAtOnce counts a call that is sent to an engine and has not waited.
func (q *Queue) BeginAtOnce(now time.Duration) { q.rate.add(now) }

func (q *Queue) remove(w *Waiter) {
	w.left = true
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	if len(q.waiters) == 0 {
		clear(q.virtual)
		clear(q.used)
	}
}

// Order returns the waiting calls in the order in which they should begin. Calls that
// cannot begin, such as those for which no engine has room, are passed over.
func (q *Queue) Order(now time.Duration) []*Waiter {
	out := q.order(now, nil)
	if q.begun%agedShare != agedShare-1 {
		return out
	}
	oldest := -1
	for i, w := range out {
		if !w.NeedsRetry && now-w.enteredAt >= agedWait && (oldest < 0 || w.enteredAt < out[oldest].enteredAt) {
			oldest = i
		}
	}
	if oldest > 0 {
		w := out[oldest]
		out = slices.Insert(slices.Delete(out, oldest, oldest+1), 0, w)
	}
	return out
}

// order returns the waiting calls, and another one if it is not nil, by rank.
func (q *Queue) order(now time.Duration, other *Waiter) []*Waiter {
	out := slices.Clone(q.waiters)
	if other != nil {
		out = append(out, other)
	}
	for _, w := range out {
		w.late = now > w.GoalStart
	}
	slices.SortFunc(out, compareWithinTeam)
	used := make(map[teamKey]float64)
	for _, w := range out {
		key := teamKey{w.Priority, w.Team}
		tag, ok := used[key]
		if !ok {
			tag = max(q.used[key], q.virtual[w.Priority])
		}
		w.startTag = tag
		used[key] = tag + w.cost()
	}
	slices.SortFunc(out, func(a, b *Waiter) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), compareBool(a.late, b.late), cmp.Compare(a.startTag, b.startTag), compareWithinTeam(a, b))
	})
	return out
}

// compareWithinTeam compares calls of one team and priority.
func compareWithinTeam(a, b *Waiter) int {
	return cmp.Or(compareBool(a.late, b.late), compareBool(b.Returned, a.Returned), cmp.Compare(a.GoalStart, b.GoalStart), cmp.Compare(a.sequence, b.sequence))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
