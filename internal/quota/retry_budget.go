package quota

import (
	"sync"
	"time"
)

// windowSteps is the number of steps that a window is divided into.
const windowSteps = 10

// RetryBudget limits the retries of calls to a fraction of the calls in the same
// window. It is safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	window time.Duration
	// slack returns this VM's part of the retries that each window allows
	// regardless of the number of calls.
	slack func() float64

	mu       sync.Mutex // guards the fields below
	services map[string]*window
}

// window counts calls and retries in a ring of steps, each a tenth of the window.
type window struct {
	step    int64
	calls   [windowSteps]float64
	retries [windowSteps]float64
}

// NewRetryBudget returns a budget of ratio retries per call in a sliding window of
// length span, plus slack retries per window.
func NewRetryBudget(ratio float64, span time.Duration, slack func() float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: span, slack: slack, services: make(map[string]*window)}
}

// advance returns the window of a service, after clearing the steps that have
// ended since it was last used.
func (r *RetryBudget) advance(service string, now time.Duration) *window {
	w := r.services[service]
	if w == nil {
		w = &window{}
		r.services[service] = w
	}
	step := int64(now / (r.window / windowSteps))
	for n := min(step-w.step, windowSteps); n > 0; n-- {
		i := (step - n + 1) % windowSteps
		w.calls[i], w.retries[i] = 0, 0
	}
	w.step = max(w.step, step)
	return w
}

// RecordCall counts a call to a service.
func (r *RetryBudget) RecordCall(service string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.advance(service, now)
	w.calls[w.step%windowSteps]++
}

// Take takes a retry from the budget and reports whether that was possible. The
// retry must leave the fraction leave of the window's budget unused.
func (r *RetryBudget) Take(service string, now time.Duration, leave float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.advance(service, now)
	calls, retries := 0.0, 0.0
	for i := range windowSteps {
		calls += w.calls[i]
		retries += w.retries[i]
	}
	if retries+1 > (1-leave)*(r.ratio*calls+r.slack()) {
		return false
	}
	w.retries[w.step%windowSteps]++
	return true
}
