package team

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestQueueSharesTokensBetweenTeams(t *testing.T) {
	q := NewQueue(QueueLimits{Running: 1, Waiting: 1000, TeamWaiting: 400})
	require.NoError(t, q.Enter(context.Background(), "first", 1))
	type turn struct {
		team string
		cost float64
	}
	turns := make(chan turn)
	enter := func(name string, cost float64, n int) {
		for range n {
			go func() {
				if q.Enter(context.Background(), name, cost) == nil {
					turns <- turn{team: name, cost: cost}
				}
			}()
		}
	}
	enter("large", 4000, 100)
	enter("small", 500, 300)
	require.Eventually(t, func() bool { _, w := q.Depth(); return w == 400 }, 5*time.Second, time.Millisecond)
	used := map[string]float64{}
	for range 150 {
		q.Leave()
		got := <-turns
		used[got.team] += got.cost
	}
	require.InDelta(t, used["large"], used["small"], 2*QuantumTokens, "equal shares in tokens, not in requests")
}

func TestQueueBounds(t *testing.T) {
	q := NewQueue(QueueLimits{Running: 1, Waiting: 2, TeamWaiting: 1})
	require.NoError(t, q.Enter(context.Background(), "a", 1))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- q.Enter(ctx, "a", 1) }()
	require.Eventually(t, func() bool { _, w := q.Depth(); return w == 1 }, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, q.Enter(ctx, "a", 1), ErrQueueFull)
	go func() { ended <- q.Enter(ctx, "b", 1) }()
	require.Eventually(t, func() bool { _, w := q.Depth(); return w == 2 }, 5*time.Second, time.Millisecond)
	require.ErrorIs(t, q.Enter(ctx, "c", 1), ErrQueueFull)
	cancel()
	require.ErrorIs(t, <-ended, ErrDeadline)
	require.ErrorIs(t, <-ended, ErrDeadline)
	q.Leave()
	running, waiting := q.Depth()
	require.Zero(t, running)
	require.Zero(t, waiting)
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := NewRetryBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.RecordRequest()
		if b.AllowRetry() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 110)
}
