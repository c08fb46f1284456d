package pace

import "time"

const (
	// minTypicalSamples is the number of response times from which a typical one is known.
	minTypicalSamples = 10
	// minTypicalWeight is the weight of a new response time in the mean.
	minTypicalWeight = 0.02
	// maxTypicalClasses bounds the classes that are remembered. Routes may be renamed.
	maxTypicalClasses = 4096
	// responseSlack is added to the typical time: below it, differences say nothing.
	responseSlack = 10 * time.Millisecond
	// maxRatio bounds what one response time contributes.
	maxRatio = 8.0
)

// typical is the mean time to the first byte of settled servers for a class of calls.
type typical struct {
	mean    float64
	samples int
}

func (y *typical) add(took time.Duration) {
	y.samples++
	y.mean += (float64(took) - y.mean) * max(minTypicalWeight, 1/float64(y.samples))
}

// ratio returns a response time relative to the typical one, or 1 if that is not known.
func (y *typical) ratio(took time.Duration) float64 {
	if y == nil || y.samples < minTypicalSamples {
		return 1
	}
	return min(maxRatio, float64(took)/(y.mean+float64(responseSlack)))
}
