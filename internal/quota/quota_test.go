package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var limits = Limits{Rate: 100, Burst: 100}

func TestTakeChargesAndRefills(t *testing.T) {
	f := NewEstimator(true)
	ok, _ := f.Take("t", limits, 0, 100, 0)
	require.True(t, ok)
	ok, wait := f.Take("t", limits, 0, 50, 0)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	ok, _ = f.Take("t", limits, 0, 50, wait)
	require.True(t, ok)
}

func TestNoRateIsNoLimit(t *testing.T) {
	f := NewEstimator(false)
	ok, _ := f.Take("t", Limits{}, 0, 1e9, 0)
	require.True(t, ok)
}

func TestRefundGivesBack(t *testing.T) {
	f := NewEstimator(true)
	f.Take("t", limits, 0, 100, 0)
	f.Refund("t", 100)
	ok, _ := f.Take("t", limits, 0, 100, 0)
	require.True(t, ok)
	require.Equal(t, map[string]float64{"t": 100}, f.Totals(0))
}

// A VM whose only charge was refunded no longer listed the team, so that other VMs kept
// the charge that they had heard of.
func TestOthersLearnOfARefundOfAllCharges(t *testing.T) {
	f, other := NewEstimator(true), NewEstimator(true)
	f.Take("t", limits, 0, 100, 0)
	other.UpdatePeer("f", 1, f.Totals(0), 0)
	other.Take("t", limits, 0, 1, 0)
	f.Refund("t", 100)
	other.UpdatePeer("f", 1, f.Totals(0), 0)
	require.Zero(t, other.peers["f"].totals["t"])
}

func TestACallAboveTheBurstNeedsAFullAccount(t *testing.T) {
	f := NewEstimator(true)
	ok, _ := f.Take("t", limits, 0, 300, 0)
	require.True(t, ok)
	ok, wait := f.Take("t", limits, 0, 1, 0)
	require.False(t, ok)
	require.InDelta(t, 2.01, wait.Seconds(), 1e-6)
}

// A VM that restarts must not charge what its fleet may have used already.
func TestAVMThatStartsHasNothingBeyondItsPart(t *testing.T) {
	l := Limits{Rate: 100, Burst: 100, Excess: 40, VMs: 10}
	f := NewEstimator(false)
	used := 0.0
	for now := time.Duration(0); now <= time.Second; now += 10 * time.Millisecond {
		if ok, _ := f.Take("t", l, 0, 0.5, now); ok {
			used += 0.5
		}
	}
	require.LessOrEqual(t, used, 100.0/10+40.0/10)
	require.GreaterOrEqual(t, used, 100.0/10)
}

func TestWhatOthersChargedCounts(t *testing.T) {
	f := NewEstimator(true)
	f.Take("t", limits, 0, 10, 0)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 60}, 0)
	ok, _ := f.Take("t", limits, 0, 40, 0)
	require.False(t, ok)
	ok, _ = f.Take("t", limits, 0, 30, 0)
	require.True(t, ok)
	// Repeating the same totals charges nothing.
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 60}, time.Second)
	ok, _ = f.Take("t", limits, 0, 100, time.Second)
	require.True(t, ok)
}

// Two VMs that are partitioned from each other must stay within the rate together.
func TestASilentVMIsChargedItsPart(t *testing.T) {
	a, b := NewEstimator(true), NewEstimator(true)
	a.Take("t", limits, 0, 1, 0)
	b.Take("t", limits, 0, 1, 0)
	a.UpdatePeer("b", 1, map[string]float64{"t": 1}, 0)
	b.UpdatePeer("a", 1, map[string]float64{"t": 1}, 0)
	used := 0.0
	for now := time.Duration(0); now <= 10*time.Second; now += 10 * time.Millisecond {
		for _, f := range []*Estimator{a, b} {
			f.Totals(now)
			if now > 2*time.Second {
				// Each leads its zone and hears of no other one.
				f.Confirm(now)
			}
			if ok, _ := f.Take("t", limits, 0, 1, now); ok {
				used++
			}
		}
	}
	// Both may use the burst that they saw, and the full rate until they detect
	// the partition.
	require.LessOrEqual(t, used, 100*10.0+2*100+2*100)
	require.Greater(t, used, 100*9.0)
}

func TestAssumedChargesAreSetOffWhenTheVMIsHeardAgain(t *testing.T) {
	f := NewEstimator(true)
	f.Take("t", limits, 0, 100, 0)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 0}, 0)
	now := 5 * time.Second
	f.Take("t", limits, 0, 0, now)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 0}, now)
	ok, _ := f.Take("t", limits, 0, 100, now)
	require.True(t, ok, "vm2 charged nothing")
}

// Between messages a VM may charge its equal part.
func TestAVMIsChargedItsPartBetweenMessages(t *testing.T) {
	f := NewEstimator(true)
	f.Take("t", limits, 0, 100, time.Second)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 0}, 2*time.Second)
	now := 2*time.Second + lagGrace + 200*time.Millisecond
	f.Take("t", limits, 0, 100, 2*time.Second)
	require.InDelta(t, 45-10, f.level(f.account("t", limits, now), now), 1e-6)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 3}, now)
	require.InDelta(t, 45-3, f.level(f.account("t", limits, now), now), 1e-6)
}

// What others have not confirmed stays bounded, however long messages take.
func TestUnconfirmedChargesAreBounded(t *testing.T) {
	l := Limits{Rate: 1000, Burst: 1000, Excess: 400, VMs: 10}
	f := NewEstimator(true)
	for vm := range 9 {
		f.UpdatePeer(string(rune('a'+vm)), 1, map[string]float64{}, 0)
	}
	take := func(from, to time.Duration) (used float64) {
		for now := from; now < to; now += 10 * time.Millisecond {
			for vm := range 9 {
				f.UpdatePeer(string(rune('a'+vm)), 1, map[string]float64{}, now)
			}
			if ok, _ := f.Take("t", l, 0, 10, now); ok {
				used += 10
			}
		}
		return used
	}
	// Its part of the rate, burst and excess; and twice the largest call.
	require.LessOrEqual(t, take(0, 4*time.Second), 400.0+100+40+25)
	f.Totals(4 * time.Second)
	f.Confirm(4 * time.Second)
	require.Greater(t, take(4*time.Second, 5*time.Second), 100+80.0)
}

// Less urgent calls must leave tokens to more urgent ones, and a refused large call must
// find its tokens when it returns, though small ones are admitted meanwhile.
func TestOrderOfCallsOfATeam(t *testing.T) {
	l := Limits{Rate: 1000, Burst: 1000, Excess: 1000}
	f := NewEstimator(true)
	for ok := true; ok; {
		f.Take("t", l, 0, 50, 0)
		ok, _ = f.Take("t", l, 2, 50, 0)
	}
	ok, _ := f.Take("t", l, 0, 50, 0)
	require.True(t, ok, "a reserve is left to urgent calls")

	f = NewEstimator(true)
	for ok := true; ok; {
		ok, _ = f.Take("t", l, 2, 40, 0)
	}
	ok, wait := f.Take("t", l, 2, 300, 0)
	require.False(t, ok)
	admitted := 0
	for now := time.Duration(0); now < wait; now += 10 * time.Millisecond {
		if ok, _ := f.Take("t", l, 2, 4, now); ok {
			admitted++
		}
	}
	require.Positive(t, admitted)
	ok, _ = f.Take("t", l, 2, 300, wait)
	require.True(t, ok)
}

// A message that does not list a team means that the team was charged nothing
// since the last message.
func TestTeamsThatAreNotNamedAreAsBefore(t *testing.T) {
	f := NewEstimator(true)
	f.Take("t", limits, 0, 100, time.Second)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 0}, time.Second)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 50}, 2*time.Second)
	f.Take("t", limits, 0, 0, 3*time.Second)
	f.UpdatePeer("vm2", 1, map[string]float64{"other": 1}, 3*time.Second)
	// 100 tokens were added in each of two seconds; vm2 charged 50.
	ok, _ := f.Take("t", limits, 0, 100, 3*time.Second)
	require.True(t, ok)
}

func TestLostAndLeavingVMsAreNotCharged(t *testing.T) {
	f := NewEstimator(true)
	f.Take("t", limits, 0, 100, 0)
	f.UpdatePeer("vm2", 1, map[string]float64{"t": 0}, 0)
	f.RemovePeer("vm2")
	ok, _ := f.Take("t", limits, 0, 100, time.Second)
	require.True(t, ok)
}

func TestRetriesKeepToTheWindow(t *testing.T) {
	r := NewRetryBudget(0.2, 10*time.Second, func() float64 { return 2 })
	for range 10 {
		r.RecordCall("s", 0)
	}
	taken := 0
	for range 10 {
		if r.Take("s", 0, 0) {
			taken++
		}
	}
	require.Equal(t, 4, taken)
	require.False(t, r.Take("s", 9*time.Second, 0), "still the same window")
	require.True(t, r.Take("s", 11*time.Second, 0), "a new window has its own slack")
	require.True(t, r.Take("other", 0, 0))
}

func TestRetriesLeavePartOfTheBudget(t *testing.T) {
	r := NewRetryBudget(0, 10*time.Second, func() float64 { return 8 })
	for range 4 {
		require.True(t, r.Take("s", 0, 0.5))
	}
	require.False(t, r.Take("s", 0, 0.5), "the other half of the budget is reserved")
	require.True(t, r.Take("s", 0, 0.25))
	require.True(t, r.Take("s", 0, 0.25))
	require.False(t, r.Take("s", 0, 0.25))
	require.True(t, r.Take("s", 0, 0))
}

// A call that waits for a retry must learn when there will be one: not before retries of
// the window have lapsed.
func TestNextRetry(t *testing.T) {
	r := NewRetryBudget(0, 10*time.Second, func() float64 { return 2 })
	require.Zero(t, r.NextRetry("s", 0, 0))
	r.Take("s", 0, 0)
	r.Take("s", 3*time.Second, 0)
	next := r.NextRetry("s", 4500*time.Millisecond, 0)
	require.Equal(t, 5500*time.Millisecond, next)
	require.False(t, r.Take("s", 4500*time.Millisecond+next-1, 0))
	require.True(t, r.Take("s", 4500*time.Millisecond+next, 0))
	require.Equal(t, 10*time.Second, r.NextRetry("s", 11*time.Second, 0.9), "never")
}
