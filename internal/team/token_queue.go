package team

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// TurnOrder is the order in which a team's waiting requests get their turn.
type TurnOrder uint8

const (
	// FIFO serves the request that has waited longest first. It refuses the
	// fewest requests, since no wait is wasted.
	FIFO TurnOrder = iota
	// LIFO serves the latest request first. It minimizes the wait of the
	// requests that are served.
	LIFO
)

// TokenQueue queues requests that are short of tokens and lets those of each team
// retry one at a time, so that two requests of a team do not block each other by
// holding loans that the other one needs. Teams do not wait for each other. It is
// safe for concurrent use.
type TokenQueue struct {
	limit int

	mu    sync.Mutex // guards the field below
	teams map[string]*teamWaiters
}

// teamWaiters holds the requests that wait behind the one whose turn it is,
// earliest first. It exists only while a request of the team has the turn.
type teamWaiters struct {
	waiting []*waiter
}

// waiter is a waiting request. ready receives nil when its turn comes, or the
// error with which it is refused.
type waiter struct{ ready chan error }

// NewTokenQueue returns a queue in which up to limit requests of each team may
// wait.
func NewTokenQueue(limit int) *TokenQueue {
	return &TokenQueue{limit: limit, teams: make(map[string]*teamWaiters)}
}

// Busy reports whether a request of the team has the turn.
func (t *TokenQueue) Busy(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.teams[name] != nil
}

// Enter waits for a turn. After success the caller must call Leave once. Enter
// returns an error that wraps ErrQueueFull if the queue is full and this request
// is last in order, and ErrDeadline if ctx ends first.
func (t *TokenQueue) Enter(ctx context.Context, name string, o TurnOrder) error {
	c := t.join(name, o)
	if c == nil {
		return nil
	}
	select {
	case err := <-c.ready:
		return err
	case <-ctx.Done():
		return t.abandon(name, c)
	}
}

// join takes the turn if it is free and returns nil, or else adds a waiter and
// returns it.
func (t *TokenQueue) join(name string, o TurnOrder) *waiter {
	t.mu.Lock()
	defer t.mu.Unlock()
	team := t.teams[name]
	if team == nil {
		t.teams[name] = &teamWaiters{}
		return nil
	}
	c := &waiter{ready: make(chan error, 1)}
	team.waiting = append(team.waiting, c)
	if len(team.waiting) > t.limit {
		team.remove(o.last(len(team.waiting))).ready <- fmt.Errorf("%w: %d waiting", ErrQueueFull, t.limit)
	}
	return c
}

// first returns the index of the request to serve first, of n that are sorted
// earliest first.
func (o TurnOrder) first(n int) int {
	if o == LIFO {
		return n - 1
	}
	return 0
}

// last returns the index of the request to serve last, of n that are sorted
// earliest first.
func (o TurnOrder) last(n int) int { return n - 1 - o.first(n) }

func (w *teamWaiters) remove(i int) *waiter {
	c := w.waiting[i]
	w.waiting = slices.Delete(w.waiting, i, i+1)
	return c
}

// abandon removes a waiter whose context has ended. If the waiter has been sent
// its result in the meantime, abandon returns that.
func (t *TokenQueue) abandon(name string, c *waiter) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if team := t.teams[name]; team != nil {
		if i := slices.Index(team.waiting, c); i >= 0 {
			team.remove(i)
			return ErrDeadline
		}
	}
	return <-c.ready
}

// Leave ends a turn and passes it to the next waiting request, if any.
func (t *TokenQueue) Leave(name string, o TurnOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	team := t.teams[name]
	if len(team.waiting) == 0 {
		delete(t.teams, name)
		return
	}
	team.remove(o.first(len(team.waiting))).ready <- nil
}

// Waiting returns the number of waiting requests of all teams.
func (t *TokenQueue) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, team := range t.teams {
		n += len(team.waiting)
	}
	return n
}
