package team

import (
	"slices"
	"time"
)

// StartedRequest is a request that ran, as recorded for an audit of a history.
type StartedRequest struct {
	// At is the time at which the request started.
	At time.Duration
	// Tokens is the number of tokens that the request used.
	Tokens float64
}

// MaxWindowExcess returns the largest number of tokens by which any window of a
// history exceeds burst + rate * window. It only checks windows that begin and
// end at a start, since no other window has a larger excess.
func MaxWindowExcess(history []StartedRequest, rate, burst float64) float64 {
	sorted := slices.Clone(history)
	slices.SortFunc(sorted, func(a, b StartedRequest) int { return int(a.At - b.At) })
	// The excess over the window from i to j is
	// (sum[j] - rate*at[j]) - (sum[i-1] - rate*at[i]) - burst.
	worst, sum, minDrift := 0.0, 0.0, 0.0
	for i, s := range sorted {
		drift := sum - rate*s.At.Seconds()
		if i == 0 || drift < minDrift {
			minDrift = drift
		}
		sum += s.Tokens
		worst = max(worst, sum-rate*s.At.Seconds()-minDrift-burst)
	}
	return worst
}
