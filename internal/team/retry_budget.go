package team

import "sync"

// RetryBudget limits retries to a fraction of the requests that are not retries.
// It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex // guards the fields below
	// ratio is added to level for each request; level never exceeds limit.
	ratio float64
	limit float64
	level float64
}

// NewRetryBudget returns a budget that allows ratio retries for each request and
// accumulates up to limit retries. It starts with limit retries.
func NewRetryBudget(ratio, limit float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, limit: limit, level: limit}
}

// RecordRequest counts a request that is not a retry.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.ratio, b.limit)
}

// AllowRetry reports whether the budget allows a retry, and if so consumes it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
