package team

import (
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// start is one request in a history: what it used, attributed to its start.
type start struct {
	at   timer.Instant
	used float64
}

// excess returns the most by which any window of a history exceeds
// burst + rate * window. Windows begin and end at starts, which is where the
// bound is tightest.
func excess(history []start, limits Limits) float64 {
	worst := 0.0
	for i := range history {
		sum := 0.0
		for j := i; j < len(history); j++ {
			sum += history[j].used
			window := history[j].at.Sub(history[i].at).Seconds()
			worst = max(worst, sum-limits.Cap-limits.Rate*window)
		}
	}
	return worst
}

const tolerance = 1e-3

// TestBucketWindowBound drives one bucket through lost and late messages,
// restarts and refunds and checks every window of what was started.
func TestBucketWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Rate: rapid.Float64Range(10, 1000).Draw(t, "rate"), Cap: rapid.Float64Range(100, 5000).Draw(t, "cap")}
		b := NewBucket(limits, limits.Cap, 0)
		var now timer.Instant
		var history []start
		type pending struct {
			id     LoanID
			amount float64
			asked  timer.Instant
			index  int
		}
		var lent, running []pending
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				id := LoanID(fmt.Sprint(i))
				got := b.Lend(now, id, rapid.Float64Range(1, limits.Cap).Draw(t, "want"), rapid.Bool().Draw(t, "whole"))
				if got > 0 {
					lent = append(lent, pending{id: id, amount: got, asked: now})
				}
			case 2, 3:
				if len(lent) == 0 {
					continue
				}
				p := lent[0]
				lent = lent[1:]
				if now.Sub(p.asked) >= LoanLife {
					continue
				}
				p.index = len(history)
				history = append(history, start{at: now, used: p.amount})
				running = append(running, p)
				if rapid.Bool().Draw(t, "report arrives") {
					b.Start(now, p.id)
				}
			case 4:
				if len(running) == 0 {
					continue
				}
				n := rapid.IntRange(0, len(running)-1).Draw(t, "which")
				p := running[n]
				running = append(running[:n], running[n+1:]...)
				used := rapid.Float64Range(0, p.amount).Draw(t, "used")
				before := b.Level()
				b.Settle(now, p.id, used)
				_ = before
				history[p.index].used = used
			case 5:
				if len(lent) > 0 && rapid.Bool().Draw(t, "return") {
					b.Return(now, lent[0].id)
					lent = lent[1:]
					continue
				}
				// The holder is replaced: zero level, after old loans ended.
				b = NewBucket(limits, 0, now.Add(ForgetAfter))
			}
			require.LessOrEqual(t, b.Level()+b.Lent(), limits.Cap+tolerance)
		}
		require.LessOrEqual(t, excess(history, limits), tolerance)
	})
}

func TestBucketSettle(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	tests := []struct {
		give      string
		wait      time.Duration
		used      float64
		wantLevel float64
	}{
		{give: "all used", used: 800, wantLevel: 200},
		{give: "half used, settled at once", used: 400, wantLevel: 600},
		{give: "none used, bucket refilled meanwhile", wait: 10 * time.Second, used: 0, wantLevel: 1000},
		{give: "more used than charged is debt", used: 1300, wantLevel: -300},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			b := NewBucket(limits, 1000, 0)
			require.Equal(t, 800.0, b.Lend(0, "a", 800, true))
			b.Start(0, "a")
			b.Settle(timer.Instant(tt.wait), "a", tt.used)
			require.InDelta(t, tt.wantLevel, b.Level(), tolerance)
		})
	}
}

func TestBucketNoSecondBurstFromRefund(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	b := NewBucket(limits, 1000, 0)
	require.Equal(t, 1000.0, b.Lend(0, "a", 1000, true))
	b.Start(0, "a")
	full := timer.Instant(10 * time.Second)
	require.Equal(t, 1000.0, b.Lend(full, "b", 1000, true))
	b.Start(full, "b")
	b.Settle(full, "a", 0)
	require.Zero(t, b.Lend(full, "c", 1, true), "the bucket was full while the charge was out")
}

func TestBucketLostLoanIsNeverMintedTwice(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	b := NewBucket(limits, 1000, 0)
	require.Equal(t, 1000.0, b.Lend(0, "lost", 1000, true))
	before := timer.Instant(ForgetAfter)
	require.Zero(t, b.Lend(before, "b", 1, true), "no minting while the loan may start")
	after := before.Add(time.Second)
	_ = b.Lend(after, "c", 0, false)
	require.LessOrEqual(t, b.Level(), limits.Rate)
}

func TestBucketLendIsIdempotent(t *testing.T) {
	b := NewBucket(Limits{Rate: 1, Cap: 100}, 100, 0)
	require.Equal(t, 60.0, b.Lend(0, "a", 60, true))
	require.Equal(t, 60.0, b.Lend(0, "a", 60, true))
	require.Equal(t, 40.0, b.Level())
}
