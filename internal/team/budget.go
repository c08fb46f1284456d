package team

import "sync"

// RetryBudget bounds retries to a part of fresh traffic. It is safe for
// concurrent use.
type RetryBudget struct {
	mu sync.Mutex // guards the fields below
	// part is added for each fresh request; level never exceeds limit.
	part  float64
	limit float64
	level float64
}

// NewRetryBudget returns a budget that allows part retries for each fresh request
// and saves up to limit of them.
func NewRetryBudget(part, limit float64) *RetryBudget {
	return &RetryBudget{part: part, limit: limit, level: limit}
}

// RecordRequest counts a request that is no retry.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+b.part, b.limit)
}

// AllowRetry reports whether a retry is within the budget, and takes it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
