package admission

import (
	"math"
	"time"
)

const (
	// rateStep is the length of a step of a rateMeter, rateSteps their number. Capacity
	// counts as what it was within that time: engines load weights for two seconds.
	rateStep  = 200 * time.Millisecond
	rateSteps = 20
	// shortRateSteps is the number of the last steps that may raise the estimate.
	shortRateSteps = 5
	// minRateSpan is the time for which calls must have been counted before the rate is
	// known.
	minRateSpan = time.Second
)

// rateMeter estimates the rate at which calls begin.
type rateMeter struct {
	started bool
	since   time.Duration
	step    int64
	counts  [rateSteps]float64
}

func (r *rateMeter) advance(now time.Duration) {
	step := int64(now / rateStep)
	if !r.started {
		r.started, r.since, r.step = true, now, step
	}
	for n := min(step-r.step, rateSteps); n > 0; n-- {
		r.counts[(step-n+1)%rateSteps] = 0
	}
	r.step = max(r.step, step)
}

func (r *rateMeter) add(now time.Duration) {
	r.advance(now)
	r.counts[r.step%rateSteps]++
}

// perSecond returns the estimate. It reports false if too little is known.
func (r *rateMeter) perSecond(now time.Duration) (float64, bool) {
	r.advance(now)
	if now-r.since < minRateSpan {
		return 0, false
	}
	sum, recent := 0.0, 0.0
	for n := range int64(rateSteps) {
		i := (r.step + rateSteps - n) % rateSteps
		sum += r.counts[i]
		if n < shortRateSteps {
			recent += r.counts[i]
		}
	}
	long := min(now-r.since, rateSteps*rateStep)
	return max(sum/long.Seconds(), recent/(shortRateSteps*rateStep).Seconds()), true
}

// tooFew reports whether fewer than n calls will begin within a time, beyond doubt.
func (r *rateMeter) tooFew(n int, within, now time.Duration) bool {
	rate, ok := r.perSecond(now)
	if !ok || rate == 0 {
		return false
	}
	expected := rate * within.Seconds()
	return float64(n) > expected+confidence*math.Sqrt(expected)+1
}

// sizeSpan is how long a size counts in a sizeMeter at least.
const sizeSpan = 10 * time.Second

// sizeMeter finds the largest of recent sizes.
type sizeMeter struct {
	since         time.Duration
	last, current int
}

func (s *sizeMeter) add(n int, now time.Duration) {
	if now-s.since >= sizeSpan {
		s.since, s.last, s.current = now, s.current, 0
	}
	s.current = max(s.current, n)
}

func (s *sizeMeter) largest() int { return max(s.last, s.current) }

// timeFor returns the time in which n calls begin.
func (r *rateMeter) timeFor(n int, now time.Duration) time.Duration {
	rate, ok := r.perSecond(now)
	if !ok || rate == 0 {
		return 0
	}
	return time.Duration(min(float64(n)/rate, MaxRetryAfter.Seconds()) * float64(time.Second))
}
