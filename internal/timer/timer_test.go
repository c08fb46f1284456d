package timer

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stoppedClock returns a clock that was started some time ago and ticks only when
// the test calls CheckGap.
func stoppedClock(ago time.Duration) *SystemClock {
	return &SystemClock{
		start: time.Now().Add(-ago), subs: map[*subscription]struct{}{}, gaps: map[*subscription]struct{}{},
	}
}

func TestSystemClockDetectsPauses(t *testing.T) {
	tests := []struct {
		give  string
		pause time.Duration
		ticks bool
		want  int
	}{
		{give: "no pause", pause: GapThreshold / 4},
		{give: "a pause between two ticks", pause: 2 * GapThreshold, ticks: true, want: 1},
		{give: "a pause before the first tick", pause: 2 * GapThreshold, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			s := stoppedClock(0)
			gaps := 0
			s.OnGap(func(time.Duration) { gaps++ })
			if tt.ticks {
				s.CheckGap()
			}
			s.start = s.start.Add(-tt.pause)
			s.CheckGap()
			s.CheckGap()
			require.Equal(t, tt.want, gaps)
		})
	}
}

func TestManualClock(t *testing.T) {
	m := &ManualClock{}
	var calls []Instant
	sub := m.Every(time.Second, func() { calls = append(calls, m.Now()) })
	gaps := 0
	m.OnGap(func(time.Duration) { gaps++ })
	m.Advance(2500 * time.Millisecond)
	require.Equal(t, []Instant{Instant(time.Second), Instant(2 * time.Second)}, calls)
	m.Pause(10 * time.Second)
	require.Equal(t, 1, gaps)
	require.Len(t, calls, 2, "no call during a pause")
	sub.Cancel()
	m.Advance(time.Minute)
	require.Len(t, calls, 2)
}

// A clock without subscribers to gaps does not poll, so the time before the first
// subscription must not be reported as a pause.
func TestSleepIsNotAPause(t *testing.T) {
	s := NewSystemClock()
	defer s.Close()
	time.Sleep(GapThreshold + 100*time.Millisecond)
	gaps := make(chan time.Duration, 8)
	s.OnGap(func(gap time.Duration) { gaps <- gap })
	time.Sleep(2 * PollInterval)
	require.Empty(t, gaps)
}

// The clock must wake for a call that is due before maxSleep has passed. A clock
// that skipped calls still running when it computed its sleep made one call each
// second.
func TestEveryCallsEachPeriod(t *testing.T) {
	s := NewSystemClock()
	defer s.Close()
	const period, calls = 20 * time.Millisecond, 10
	called := make(chan struct{}, 2*calls)
	sub := s.Every(period, func() { called <- struct{}{} })
	defer sub.Cancel()
	began := time.Now()
	for range calls {
		select {
		case <-called:
		case <-time.After(maxSleep):
			t.Fatal("the periodic call was not made")
		}
	}
	require.Less(t, time.Since(began), maxSleep)
}

// After Cancel and Wait no call may be in progress or begin.
func TestWaitReturnsAfterTheCallInProgress(t *testing.T) {
	s := NewSystemClock()
	defer s.Close()
	began := make(chan struct{}, 1)
	var calls, ended atomic.Int64
	sub := s.Every(time.Millisecond, func() {
		calls.Add(1)
		select {
		case began <- struct{}{}:
		default:
		}
		time.Sleep(50 * time.Millisecond)
		ended.Add(1)
	})
	<-began
	sub.Cancel()
	sub.Wait()
	made := calls.Load()
	require.Equal(t, made, ended.Load())
	time.Sleep(20 * time.Millisecond)
	require.Equal(t, made, calls.Load())
}
