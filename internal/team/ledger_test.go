package team

import (
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
)

func TestLedgerHandsOver(t *testing.T) {
	limits := Limits{Rate: 100, Cap: 1000}
	at := timer.Instant(time.Minute)
	slot := SlotOf("team")
	tests := []struct {
		give string
		left func() HandoverState
		// want is what the next holder can lend at once, later what it can lend
		// ten seconds later, when all loans of the previous holder have ended.
		want, later float64
	}{
		{give: "no previous holder", left: func() HandoverState { return HandoverState{Full: true} }, want: 1000, later: 1000},
		{give: "the holder ended without a handover", left: func() HandoverState { return HandoverState{} }, later: 800},
		{give: "graceful, half used", left: func() HandoverState {
			var l Ledger
			l.Take(slot, 1, HandoverState{Full: true}, at)
			l.Lend(at, "team", limits, "a", 500)
			return l.Drop(slot, at)
		}, want: 500, later: 1000},
		{give: "graceful, in debt", left: func() HandoverState {
			var l Ledger
			l.Take(slot, 1, HandoverState{Full: true}, at)
			l.Lend(at, "team", limits, "a", 1000)
			l.Report(at, limits, Report{ID: "a", Team: "team", Kind: ReportSettle, Used: 1200})
			return l.Drop(slot, at)
		}, later: 600},
		{give: "graceful, never lent", left: func() HandoverState {
			var l Ledger
			l.Take(slot, 1, HandoverState{}, at.Add(-HolderLoanTTL-3*time.Second))
			return l.Drop(slot, at)
		}, want: 300, later: 1000},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			var next Ledger
			next.Take(slot, 2, tt.left(), at)
			now, held := next.Lend(at, "team", limits, "x", 2000)
			require.True(t, held)
			require.InDelta(t, tt.want, now.Tokens, tolerance)
			next.Report(at, limits, Report{ID: "x", Team: "team", Kind: ReportReturn})
			then, _ := next.Lend(at.Add(10*time.Second), "team", limits, "y", 2000)
			require.InDelta(t, tt.later, then.Tokens, tolerance)
		})
	}
}

func TestLedgerMintsOnlyWhatItHolds(t *testing.T) {
	var l Ledger
	_, held := l.Lend(0, "team", Limits{Rate: 1, Cap: 1}, "a", 1)
	require.False(t, held)
	require.False(t, l.Report(0, Limits{}, Report{ID: "a", Team: "team", Kind: ReportSettle}))
	l.Take(SlotOf("team"), 1, HandoverState{Full: true}, 0)
	require.Len(t, l.State(), 1)
	l.Drop(SlotOf("team"), 0)
	_, held = l.Lend(0, "team", Limits{Rate: 1, Cap: 1}, "a", 1)
	require.False(t, held)
}
