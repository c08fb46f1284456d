package team

import (
	"context"
	"fmt"
	"slices"
	"sync"
)

// TurnOrder says which of a team's waiting requests goes first.
type TurnOrder uint8

// The orders of turns.
const (
	// FIFO refuses the fewest, since no wait was in vain.
	FIFO TurnOrder = iota
	// LIFO lets those that are served wait least.
	LIFO
)

// TokenQueue lets the requests of a team that are short of tokens try one after
// another, so that none holds loans that another one lacks. Teams do not wait
// for each other. It is safe for concurrent use.
type TokenQueue struct {
	limit int

	mu    sync.Mutex // guards the field below
	teams map[string]*turn
}

// turn is what waits behind the one request of a team whose turn it is, the
// earliest first. It exists only while there is such a request.
type turn struct {
	waiting []*contender
}

// contender is a waiting request; ready gets nil for its turn, or why it will
// get none.
type contender struct{ ready chan error }

// NewTokenQueue returns turns for which up to limit requests of a team may wait.
func NewTokenQueue(limit int) *TokenQueue {
	return &TokenQueue{limit: limit, teams: make(map[string]*turn)}
}

// Busy reports whether some request of a team is short of tokens.
func (t *TokenQueue) Busy(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.teams[name] != nil
}

// Enter waits for a turn. The caller must call Leave once after success. It
// returns ErrFull when too many wait that go first, and ErrDeadline when ctx
// ends first.
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

// join takes a free turn and returns nil, or returns what waits for one.
func (t *TokenQueue) join(name string, o TurnOrder) *contender {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.teams[name]
	if one == nil {
		t.teams[name] = &turn{}
		return nil
	}
	c := &contender{ready: make(chan error, 1)}
	one.waiting = append(one.waiting, c)
	if len(one.waiting) > t.limit {
		one.remove(o.last(len(one.waiting))).ready <- fmt.Errorf("%w: %d waiting", ErrQueueFull, t.limit)
	}
	return c
}

// first returns which of n waiting requests, earliest first, goes first.
func (o TurnOrder) first(n int) int {
	if o == LIFO {
		return n - 1
	}
	return 0
}

// last returns which of n waiting requests, earliest first, goes last.
func (o TurnOrder) last(n int) int { return n - 1 - o.first(n) }

func (one *turn) remove(i int) *contender {
	c := one.waiting[i]
	one.waiting = slices.Delete(one.waiting, i, i+1)
	return c
}

// abandon takes a waiting request out, unless it was told something meanwhile.
func (t *TokenQueue) abandon(name string, c *contender) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if one := t.teams[name]; one != nil {
		if i := slices.Index(one.waiting, c); i >= 0 {
			one.remove(i)
			return ErrDeadline
		}
	}
	return <-c.ready
}

// Leave ends a turn and gives the next one.
func (t *TokenQueue) Leave(name string, o TurnOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	one := t.teams[name]
	if len(one.waiting) == 0 {
		delete(t.teams, name)
		return
	}
	one.remove(o.first(len(one.waiting))).ready <- nil
}

// Waiting returns the requests that wait for a turn, of all teams.
func (t *TokenQueue) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, one := range t.teams {
		n += len(one.waiting)
	}
	return n
}
