package team

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Errors returned by Queue.Enter and TokenQueue.Enter.
var (
	// ErrQueueFull means that the queue, or the team's part of it, is full.
	ErrQueueFull = errors.New("team: queue full")
	// ErrDeadline means that the context ended before the request's turn.
	ErrDeadline = errors.New("team: no turn before the deadline")
)

// QuantumTokens is the deficit round robin quantum: the number of tokens by which
// a team's deficit grows in each round.
const QuantumTokens = 4096

// QueueLimits are the limits of a Queue.
type QueueLimits struct {
	// Running is the number of requests that may run at the same time.
	Running int
	// Waiting limits the waiting requests of all teams, TeamWaiting those of
	// each team.
	Waiting     int
	TeamWaiting int
}

// Queue limits how many requests run at the same time and schedules waiting
// requests by deficit round robin between teams, measured in tokens. It is safe
// for concurrent use.
type Queue struct {
	mu      sync.Mutex // guards the fields below
	limits  QueueLimits
	running int
	waiting int
	teams   map[string]*teamQueue
	// ring holds the teams with waiting requests, in round-robin order.
	ring []*teamQueue
}

// teamQueue is the queue of one team. It exists only while requests wait in it.
type teamQueue struct {
	team    string
	deficit float64
	// quantumAdded is set once the quantum has been added in this round.
	quantumAdded bool
	entries      []*entry
}

type entry struct {
	cost  float64
	ready chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, teams: make(map[string]*teamQueue)}
}

// SetRunning changes how many requests may run at the same time; the minimum is
// one.
func (q *Queue) SetRunning(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits.Running = max(1, n)
	q.dispatch()
}

// Enter waits for the request's turn. After success the caller must call Leave
// once. Enter returns an error that wraps ErrQueueFull without waiting, and
// ErrDeadline if ctx ends first.
func (q *Queue) Enter(ctx context.Context, name string, cost float64) error {
	q.mu.Lock()
	if q.running < q.limits.Running && q.waiting == 0 {
		q.running++
		q.mu.Unlock()
		return nil
	}
	e, err := q.join(name, cost)
	q.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-e.ready:
		return nil
	case <-ctx.Done():
		return q.abandon(name, e)
	}
}

// Leave ends a request that Enter let through.
func (q *Queue) Leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.dispatch()
}

// Depth returns the number of running and of waiting requests.
func (q *Queue) Depth() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting
}

func (q *Queue) join(name string, cost float64) (*entry, error) {
	l := q.teams[name]
	if q.waiting >= q.limits.Waiting || (l != nil && len(l.entries) >= q.limits.TeamWaiting) {
		return nil, fmt.Errorf("%w: %d waiting", ErrQueueFull, q.waiting)
	}
	if l == nil {
		l = &teamQueue{team: name}
		q.teams[name] = l
		q.ring = append(q.ring, l)
	}
	e := &entry{cost: cost, ready: make(chan struct{})}
	l.entries = append(l.entries, e)
	q.waiting++
	return e, nil
}

// abandon removes a waiting entry whose context has ended. It returns nil if the
// entry has been dispatched in the meantime.
func (q *Queue) abandon(name string, e *entry) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.teams[name]
	if l == nil {
		return nil
	}
	for i, other := range l.entries {
		if other == e {
			l.entries = append(l.entries[:i], l.entries[i+1:]...)
			q.waiting--
			q.removeIfEmpty(l)
			return ErrDeadline
		}
	}
	return nil
}

// dispatch lets waiting requests run while fewer than the limit are running.
func (q *Queue) dispatch() {
	for q.running < q.limits.Running && len(q.ring) > 0 {
		l := q.ring[0]
		if !l.quantumAdded {
			l.deficit += QuantumTokens
			l.quantumAdded = true
		}
		head := l.entries[0]
		if head.cost > l.deficit {
			l.quantumAdded = false
			q.ring = append(q.ring[1:], l)
			continue
		}
		l.deficit -= head.cost
		l.entries = l.entries[1:]
		q.waiting--
		q.running++
		close(head.ready)
		q.removeIfEmpty(l)
	}
}

// removeIfEmpty removes a team's queue, with its deficit, if no request waits in
// it.
func (q *Queue) removeIfEmpty(l *teamQueue) {
	if len(l.entries) > 0 {
		return
	}
	delete(q.teams, l.team)
	for i, other := range q.ring {
		if other == l {
			q.ring = append(q.ring[:i], q.ring[i+1:]...)
			return
		}
	}
}
