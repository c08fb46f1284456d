package team

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
)

// fakeLender lends from one bucket per zone; a zone without a bucket is
// unreachable.
type fakeLender struct {
	time    timer.Clock
	zones   []string
	buckets map[string]*Bucket
}

var errUnreachable = errors.New("zone unreachable")

func (l *fakeLender) Zones(string) []string { return l.zones }

func (l *fakeLender) Lend(_ context.Context, zone, _ string, id LoanID, want float64) (Grant, error) {
	b := l.buckets[zone]
	if b == nil {
		return Grant{}, errUnreachable
	}
	tokens := b.Lend(l.time.Now(), id, want, false)
	return Grant{Tokens: tokens, Rate: b.limits.Rate, Level: b.Level()}, nil
}

func (l *fakeLender) Report(zone string, r Report) {
	b := l.buckets[zone]
	switch {
	case b == nil:
	case r.Kind == ReportStart:
		b.Start(l.time.Now(), r.ID)
	case r.Kind == ReportReturn:
		b.Return(l.time.Now(), r.ID)
	case r.Kind == ReportSettle:
		b.Settle(l.time.Now(), r.ID, r.Used)
	}
}

func newLender(clock timer.Clock, levels ...float64) *fakeLender {
	l := &fakeLender{time: clock, buckets: map[string]*Bucket{}}
	for i, level := range levels {
		zone := string(rune('a' + i))
		l.zones = append(l.zones, zone)
		if level >= 0 {
			l.buckets[zone] = NewBucket(Limits{Rate: 100, Cap: 1000}, level, 0)
		}
	}
	return l
}

func TestCollect(t *testing.T) {
	tests := []struct {
		give      string
		levels    []float64
		want      float64
		wantErr   error
		unreached int
	}{
		{give: "own zone is enough", levels: []float64{1000, 1000}, want: 900},
		{give: "composed of several zones", levels: []float64{500, 1000, 400}, want: 1800},
		{give: "all or nothing", levels: []float64{500, 300}, want: 900, wantErr: ErrRate},
		{give: "an unreachable zone does not count", levels: []float64{500, -1}, want: 900, wantErr: ErrRate, unreached: 1},
		{give: "larger than the burst", levels: []float64{1000, 1000, 1000}, want: 3001, wantErr: ErrBurst},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			clock := &timer.ManualClock{}
			lender := newLender(clock, tt.levels...)
			charge, err := NewCollector("vm", clock, lender).Collect(context.Background(), "team", 3000, tt.want)
			if tt.wantErr == nil {
				require.NoError(t, err)
				require.Equal(t, tt.want, charge.Total())
				return
			}
			require.ErrorIs(t, err, tt.wantErr)
			for i, zone := range lender.zones {
				if b := lender.buckets[zone]; b != nil {
					require.Equal(t, tt.levels[i], b.Level(), "the loans have been returned")
				}
			}
			var short *ShortfallError
			if errors.As(err, &short) {
				require.Equal(t, tt.unreached, short.UnreachableZones)
			}
		})
	}
}

// TestShortfallWait checks the wait against the combined refill rate of the
// zones. Each zone refills 100 tokens per second and holds at most 1,000.
func TestShortfallWait(t *testing.T) {
	tests := []struct {
		give   string
		levels []float64
		debt   float64
		want   float64
		wait   time.Duration
	}{
		{give: "one zone", levels: []float64{0}, want: 60, wait: 600 * time.Millisecond},
		{give: "three zones refill together", levels: []float64{0, 0, 0}, want: 60, wait: 200 * time.Millisecond},
		{give: "more than one zone can hold", levels: []float64{990, 990}, want: 2000, wait: 100 * time.Millisecond},
		{give: "debt is repaid first", levels: []float64{0}, debt: 30, want: 30, wait: 600 * time.Millisecond},
		{give: "one zone in deep debt", levels: []float64{0, 0}, debt: 1000, want: 30, wait: 300 * time.Millisecond},
		{give: "an unreachable zone is retried soon", levels: []float64{0, -1}, want: 60, wait: unreachableZoneWait},
		{give: "never longer than a loan", levels: []float64{0}, want: 900, wait: LoanTTL},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			clock := &timer.ManualClock{}
			lender := newLender(clock, tt.levels...)
			lender.buckets["a"].level -= tt.debt
			collector := NewCollector("vm", clock, lender)
			_, collected := collector.Collect(context.Background(), "team", 3000, tt.want)
			for _, err := range []error{collected, collector.Probe(context.Background(), "team", tt.want)} {
				var short *ShortfallError
				require.ErrorAs(t, err, &short)
				require.InDelta(t, tt.wait.Seconds(), short.Wait.Seconds(), 1e-6)
			}
		})
	}
}

func TestProbeBorrowsNothing(t *testing.T) {
	clock := &timer.ManualClock{}
	lender := newLender(clock, 500, 500)
	collector := NewCollector("vm", clock, lender)
	require.NoError(t, collector.Probe(context.Background(), "team", 900))
	require.ErrorIs(t, collector.Probe(context.Background(), "team", 1100), ErrRate)
	for _, b := range lender.buckets {
		require.Equal(t, 500.0, b.Level())
		require.Zero(t, b.UnsettledLoans())
	}
}

func TestChargeLapses(t *testing.T) {
	clock := &timer.ManualClock{}
	lender := newLender(clock, 1000)
	charge, err := NewCollector("vm", clock, lender).Collect(context.Background(), "team", 1000, 600)
	require.NoError(t, err)
	clock.Pause(LoanTTL)
	require.ErrorIs(t, charge.Start(), ErrLoanExpired, "a borrower must not start an expired loan after a pause")
	require.Zero(t, lender.buckets["a"].Lent())
}
