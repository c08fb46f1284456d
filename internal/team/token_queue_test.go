package team

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// enterMore enqueues n requests of team "a" one after another and returns a
// channel for the result of each.
func enterMore(ctx context.Context, t *testing.T, turns *TokenQueue, o TurnOrder, n int) []chan error {
	t.Helper()
	var results []chan error
	for range n {
		c := make(chan error, 1)
		results = append(results, c)
		before := turns.Waiting()
		go func() { c <- turns.Enter(ctx, "a", o) }()
		require.Eventually(t, func() bool { return turns.Waiting() > before }, 10*time.Second, time.Millisecond)
	}
	return results
}

func TestTurnsGoInOrder(t *testing.T) {
	tests := []struct {
		give TurnOrder
		want []int
	}{
		{give: FIFO, want: []int{0, 1, 2}},
		{give: LIFO, want: []int{2, 1, 0}},
	}
	for _, tt := range tests {
		turns := NewTokenQueue(4)
		ctx := context.Background()
		require.False(t, turns.Busy("a"))
		require.NoError(t, turns.Enter(ctx, "a", tt.give))
		require.True(t, turns.Busy("a"))
		require.NoError(t, turns.Enter(ctx, "b", tt.give), "another team does not wait")
		turns.Leave("b", tt.give)
		results := enterMore(ctx, t, turns, tt.give, len(tt.want))
		for n, i := range tt.want {
			turns.Leave("a", tt.give)
			require.NoError(t, <-results[i])
			require.Equal(t, len(tt.want)-1-n, turns.Waiting(), "one request gets the turn")
		}
		turns.Leave("a", tt.give)
		require.False(t, turns.Busy("a"), "no state is kept for a team without requests")
	}
}

func TestTurnsAreBounded(t *testing.T) {
	tests := []struct {
		give TurnOrder
		full int
	}{
		{give: FIFO, full: 2},
		{give: LIFO, full: 0},
	}
	for _, tt := range tests {
		turns := NewTokenQueue(2)
		ctx, cancel := context.WithCancel(context.Background())
		require.NoError(t, turns.Enter(ctx, "a", tt.give))
		results := enterMore(ctx, t, turns, tt.give, 2)
		third := make(chan error, 1)
		go func() { third <- turns.Enter(ctx, "a", tt.give) }()
		results = append(results, third)
		require.ErrorIs(t, <-results[tt.full], ErrQueueFull, "the last request in order is refused")
		cancel()
		for i, c := range results {
			if i != tt.full {
				require.ErrorIs(t, <-c, ErrDeadline)
			}
		}
		require.Zero(t, turns.Waiting())
		turns.Leave("a", tt.give)
		require.False(t, turns.Busy("a"))
	}
}
