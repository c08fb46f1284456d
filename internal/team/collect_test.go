package team

import (
	"context"
	"errors"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
)

// fakeLender lends from one bucket for each zone; a zone without one is cut off.
type fakeLender struct {
	time    timer.Service
	zones   []string
	buckets map[string]*Bucket
}

var errCut = errors.New("cut")

func (l *fakeLender) Zones(string) []string { return l.zones }

func (l *fakeLender) Lend(_ context.Context, zone, _ string, id LoanID, want float64) (Grant, error) {
	b := l.buckets[zone]
	if b == nil {
		return Grant{}, errCut
	}
	tokens := b.Lend(l.time.Now(), id, want, false)
	wait, possible := b.Wait(want - tokens)
	return Grant{Tokens: tokens, Wait: wait, Possible: possible}, nil
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

func newLender(clock timer.Service, levels ...float64) *fakeLender {
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
		{give: "a cut zone does not count", levels: []float64{500, -1}, want: 900, wantErr: ErrRate, unreached: 1},
		{give: "larger than the burst", levels: []float64{1000, 1000, 1000}, want: 3001, wantErr: ErrBurst},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			clock := &timer.Manual{}
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
					require.Equal(t, tt.levels[i], b.Level(), "what was gathered has gone back")
				}
			}
			var short *ShortfallError
			if errors.As(err, &short) {
				require.Equal(t, tt.unreached, short.Unreached)
			}
		})
	}
}

func TestChargeLapses(t *testing.T) {
	clock := &timer.Manual{}
	lender := newLender(clock, 1000)
	charge, err := NewCollector("vm", clock, lender).Collect(context.Background(), "team", 1000, 600)
	require.NoError(t, err)
	clock.Pause(LoanLife)
	require.ErrorIs(t, charge.Start(), ErrLapsed, "a paused borrower must not start an old loan")
	require.Zero(t, lender.buckets["a"].Lent())
}
