package team

import (
	"slices"
	"time"
)

// StartedRequest is one request that ran, as an audit of a history sees it.
type StartedRequest struct {
	// At is when it started.
	At time.Duration
	// Tokens is what it used.
	Tokens float64
}

// MaxWindowExcess returns the most tokens by which any window of a history exceeds
// burst + rate * window. Windows from one start to another are the worst.
func MaxWindowExcess(history []StartedRequest, rate, burst float64) float64 {
	sorted := slices.Clone(history)
	slices.SortFunc(sorted, func(a, b StartedRequest) int { return int(a.At - b.At) })
	// Over the window from i to j the excess is
	// (sum[j] - rate*at[j]) - (sum[i-1] - rate*at[i]) - burst.
	worst, sum, least := 0.0, 0.0, 0.0
	for i, s := range sorted {
		drift := sum - rate*s.At.Seconds()
		if i == 0 || drift < least {
			least = drift
		}
		sum += s.Tokens
		worst = max(worst, sum-rate*s.At.Seconds()-least-burst)
	}
	return worst
}
