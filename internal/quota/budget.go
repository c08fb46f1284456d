package quota

import (
	"sync"
	"time"
)

// slices is how many steps a window is divided into.
const slices = 10

// RetryBudget bounds repeats of calls to a part of the calls of the same window.
// It is safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	window time.Duration
	// slack is this VM's part of the repeats that are free in each window.
	slack func() float64

	mu       sync.Mutex // guards the fields below
	services map[string]*window
}

// window counts calls and repeats in steps of a window's tenth.
type window struct {
	step    int64
	calls   [slices]float64
	repeats [slices]float64
}

// NewRetryBudget returns a budget of ratio repeats for each call in a sliding
// window, beside a slack.
func NewRetryBudget(ratio float64, span time.Duration, slack func() float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: span, slack: slack, services: make(map[string]*window)}
}

func (r *RetryBudget) at(service string, now time.Duration) *window {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	step := int64(now / (r.window / slices))
	for n := min(step-w.step, slices); n > 0; n-- {
		i := (step - n + 1) % slices
		w.calls[i], w.repeats[i] = 0, 0
	}
	w.step = max(w.step, step)
	return w
}

// RecordCall counts a call of a service.
func (r *RetryBudget) RecordCall(service string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.at(service, now)
	w.calls[w.step%slices]++
}

// Take reports whether a repeat leaves a part of the window's budget for others,
// and takes it.
func (r *RetryBudget) Take(service string, now time.Duration, leave float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.at(service, now)
	calls, repeats := 0.0, 0.0
	for i := range slices {
		calls += w.calls[i]
		repeats += w.repeats[i]
	}
	if repeats+1 > (1-leave)*(r.ratio*calls+r.slack()) {
		return false
	}
	w.repeats[w.step%slices]++
	return true
}
