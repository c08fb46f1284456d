package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func half() float64 { return 0.5 }

// waitingCall returns a call of a team that can meet its goal until a time.
func waitingCall(team string, priority, tokens int, goal time.Duration) Call {
	return Call{Priority: priority, Team: team, Route: "r", Tokens: tokens, GoalStart: goal, LatestStart: goal + 10*time.Second}
}

func enter(t *testing.T, q *Queue, c Call, now time.Duration) *Waiter {
	t.Helper()
	w, displaced, r := q.Enter(c, 1000, now, half)
	require.Nil(t, r)
	require.Nil(t, displaced)
	return w
}

// teams returns the teams of calls in the order in which they begin.
func teams(q *Queue, now time.Duration, n int) string {
	out := ""
	for range n {
		w := q.Order(now)[0]
		out += w.Team
		q.Begin(w, now)
	}
	return out
}

func TestOrder(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name  string
		calls []Call
		now   time.Duration
		want  string
	}{
		{"urgent calls wait behind others", []Call{waitingCall("a", 1, 0, s), waitingCall("b", 0, 0, 3*s)}, 0, "ba"},
		{"calls that are too late delay those that are not", []Call{waitingCall("a", 0, 0, s), waitingCall("b", 0, 0, 3*s)}, 2 * s, "ba"},
		{"a hot team keeps a rare one waiting", []Call{waitingCall("a", 0, 0, s), waitingCall("a", 0, 0, s), waitingCall("a", 0, 0, s), waitingCall("b", 0, 0, 2*s)}, 0, "abaa"},
		{"large calls count as small ones", []Call{
			waitingCall("a", 0, 9000, s), waitingCall("a", 0, 9000, s), waitingCall("a", 0, 9000, s),
			waitingCall("b", 0, 0, 2*s), waitingCall("b", 0, 0, 2*s), waitingCall("b", 0, 0, 2*s),
		}, 0, "abbaba"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := NewQueue()
			for _, c := range tt.calls {
				enter(t, q, c, 0)
			}
			require.Equal(t, tt.want, teams(q, tt.now, len(tt.calls)))
			require.Zero(t, q.Len())
		})
	}
}

// Calls of the least priority must not wait forever behind more urgent ones, and a new
// call must not begin before those that wait.
func TestNothingStarves(t *testing.T) {
	q := NewQueue()
	enter(t, q, waitingCall("b", 9, 9000, time.Hour), 0)
	begun := ""
	for i := range 2 * agedShare {
		now := time.Second + time.Duration(i)
		enter(t, q, waitingCall("a", 0, 0, time.Hour), now)
		begun += teams(q, now, 1)
	}
	require.Contains(t, begun, "b")
	low := waitingCall("c", 9, 0, time.Hour)
	enter(t, q, waitingCall("a", 0, 0, time.Hour), 0)
	require.True(t, q.MustWait(&low, 0))
	for _, w := range q.Order(0) {
		w.NeedsRetry = true
	}
	require.False(t, q.MustWait(&low, 0), "calls that wait for a retry need no engine")
}

// A call that cannot begin in time must hear so at once, not at the end of its time.
func TestRefusalAtOnce(t *testing.T) {
	q := NewQueue()
	now := time.Duration(0)
	late := Call{Team: "a", Route: "r", GoalStart: 3 * time.Second, LatestStart: 4 * time.Second}
	for range 40 {
		enter(t, q, waitingCall("b", 0, 0, time.Hour), now)
	}
	// Ten calls a second begin.
	for range 20 {
		now += 100 * time.Millisecond
		q.Begin(q.Order(now)[0], now)
		enter(t, q, waitingCall("b", 0, 0, time.Hour), now)
	}
	late.Priority = 1
	_, _, r := q.Enter(late, 1000, now, half)
	require.NotNil(t, r)
	require.Equal(t, TooLate, r.Reason)
	require.InDelta(t, 4.1*1.25, r.RetryAfter.Seconds(), 0.3, "41 calls at ten a second, spread by a quarter")
	late.Priority = 0
	enter(t, q, late, now)
}

// The queue must not grow without bound, and a hot team must not fill it.
func TestFullQueueDisplacesItsLastCall(t *testing.T) {
	q := NewQueue()
	for range 4 {
		enter(t, q, waitingCall("hot", 0, 0, time.Second), 0)
	}
	_, displaced, r := q.Enter(waitingCall("rare", 0, 0, 2*time.Second), 4, 0, half)
	require.Nil(t, r)
	require.Equal(t, "hot", displaced.Team)
	_, _, r = q.Enter(waitingCall("hot", 0, 0, 3*time.Second), 4, 0, half)
	require.Equal(t, Full, r.Reason)
	require.Equal(t, 4, q.Len())
}

// A caller that returns when it was told to must come before newcomers, once, and only if
// it is not much too late.
func TestPromises(t *testing.T) {
	q := NewQueue()
	c := waitingCall("a", 0, 0, time.Second)
	r := q.Promise(&c, Full, time.Second, 0, half)
	require.Equal(t, 1250*time.Millisecond, r.RetryAfter)
	other := waitingCall("b", 0, 0, time.Second)
	for _, tt := range []struct {
		call *Call
		now  time.Duration
		want bool
	}{{&c, 500 * time.Millisecond, false}, {&other, 1250 * time.Millisecond, false}, {&c, 1250 * time.Millisecond, true}, {&c, 1300 * time.Millisecond, false}} {
		q.Arrive(tt.call, tt.now)
		require.Equal(t, tt.want, tt.call.Returned, "%v", tt.now)
	}
	q.Promise(&c, Full, time.Second, 2*time.Second, half)
	q.Arrive(&c, 6*time.Second)
	require.False(t, c.Returned, "lapsed")
	newcomer, returned := enter(t, q, waitingCall("a", 0, 0, 7*time.Second), 6*time.Second), waitingCall("a", 0, 0, 9*time.Second)
	returned.Returned = true
	require.Equal(t, []*Waiter{enter(t, q, returned, 6*time.Second), newcomer}, q.Order(6*time.Second))
}
