package team

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Errors of Queue.Enter.
var (
	// ErrQueueFull means that the queue, or the team's part of it, is full.
	ErrQueueFull = errors.New("team: queue full")
	// ErrDeadline means that the wait outlasted the caller's bound.
	ErrDeadline = errors.New("team: no turn before the deadline")
)

// QuantumTokens is what a team may use in one round, in tokens.
const QuantumTokens = 4096

// QueueLimits bound a Queue.
type QueueLimits struct {
	// Running is the number of entries let through at once.
	Running int
	// Waiting bounds the entries of all teams, TeamWaiting those of one.
	Waiting     int
	TeamWaiting int
}

// Queue lets a bounded number of requests run and shares the turns between
// teams by deficit round robin in tokens. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex // guards the fields below
	limits  QueueLimits
	running int
	waiting int
	lines   map[string]*line
	// ring holds the teams with waiting entries, in the order of turns.
	ring []*line
}

// line is one team's waiting entries. It exists only while there are any.
type line struct {
	team    string
	deficit float64
	// served marks that the line has had its quantum for this turn.
	served  bool
	entries []*entry
}

type entry struct {
	cost  float64
	ready chan struct{}
}

// NewQueue returns an empty queue.
func NewQueue(limits QueueLimits) *Queue {
	return &Queue{limits: limits, lines: make(map[string]*line)}
}

// SetRunning changes how many entries run at once.
func (q *Queue) SetRunning(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits.Running = max(1, n)
	q.dispatch()
}

// Enter waits for a turn. The caller must call Leave once after success. It
// returns ErrFull at once, or ErrDeadline when ctx ends first.
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

// Leave ends a turn.
func (q *Queue) Leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	q.dispatch()
}

// Depth returns the running and the waiting entries.
func (q *Queue) Depth() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running, q.waiting
}

func (q *Queue) join(name string, cost float64) (*entry, error) {
	l := q.lines[name]
	if q.waiting >= q.limits.Waiting || (l != nil && len(l.entries) >= q.limits.TeamWaiting) {
		return nil, fmt.Errorf("%w: %d waiting", ErrQueueFull, q.waiting)
	}
	if l == nil {
		l = &line{team: name}
		q.lines[name] = l
		q.ring = append(q.ring, l)
	}
	e := &entry{cost: cost, ready: make(chan struct{})}
	l.entries = append(l.entries, e)
	q.waiting++
	return e, nil
}

// abandon takes a waiting entry out, unless its turn came meanwhile.
func (q *Queue) abandon(name string, e *entry) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lines[name]
	if l == nil {
		return nil
	}
	for i, other := range l.entries {
		if other == e {
			l.entries = append(l.entries[:i], l.entries[i+1:]...)
			q.waiting--
			q.retire(l)
			return ErrDeadline
		}
	}
	return nil
}

// dispatch gives turns while there is room.
func (q *Queue) dispatch() {
	for q.running < q.limits.Running && len(q.ring) > 0 {
		l := q.ring[0]
		if !l.served {
			l.deficit += QuantumTokens
			l.served = true
		}
		head := l.entries[0]
		if head.cost > l.deficit {
			l.served = false
			q.ring = append(q.ring[1:], l)
			continue
		}
		l.deficit -= head.cost
		l.entries = l.entries[1:]
		q.waiting--
		q.running++
		close(head.ready)
		q.retire(l)
	}
}

// retire removes a line that has nothing waiting; its deficit is forgotten.
func (q *Queue) retire(l *line) {
	if len(l.entries) > 0 {
		return
	}
	delete(q.lines, l.team)
	for i, other := range q.ring {
		if other == l {
			q.ring = append(q.ring[:i], q.ring[i+1:]...)
			return
		}
	}
}
