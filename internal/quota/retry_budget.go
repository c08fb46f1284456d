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
	if !r.allows(w, 0, leave) {
		return false
	}
	w.retries[w.step%windowSteps]++
	return true
}

// allows reports whether a retry is possible once the given number of the oldest steps
// have ended, if there are no calls and retries until then.
func (r *RetryBudget) allows(w *window, ended int64, leave float64) bool {
	calls, retries := 0.0, 0.0
	for n := range windowSteps - ended {
		i := (w.step + windowSteps - n) % windowSteps
		calls += w.calls[i]
		retries += w.retries[i]
	}
	return retries+1 <= (1-leave)*(r.ratio*calls+r.slack())
}

// NextRetry returns the time until the next retry will be available if there are no
// further calls and retries, and the whole window if the budget is too small for any.
// Further calls make it available earlier.
func (r *RetryBudget) NextRetry(service string, now time.Duration, leave float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.advance(service, now)
	if r.allows(w, 0, leave) {
		return 0
	}
	length := r.window / windowSteps
	for n := int64(1); n < windowSteps; n++ {
		if r.allows(w, n, leave) {
			return time.Duration(w.step+n)*length - now
		}
	}
	return r.window
}
