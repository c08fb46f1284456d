package quarantine

import (
	"slices"
	"time"
)

const (
	// maxUptime bounds the uptime of an engine that counts: many engines may crash in a short
	// time, after a long one without a crash.
	maxUptime = 4 * time.Second
	// breakDelay is how late a VM may see the head of a response, or the break that follows.
	breakDelay = 20 * time.Millisecond
	// maxTimingChance is the probability beyond which the times of the crashes may be chance.
	maxTimingChance = 1e-5
)

// crashTiming is when an engine crashed, as seen from the calls with a part that it broke
// off.
type crashTiming struct {
	at time.Duration
	// chance is the probability that an engine which crashes at any time of its uptime does
	// so as soon after the head of a response to one of the calls; it may exceed 1.
	chance float64
	// known is unset if the engine may not have crashed, or if not all times are known.
	known bool
}

func newCrashTiming(c *crash) *crashTiming {
	return &crashTiming{at: c.at, known: c.ended && len(c.breaks) < maxBreaksPerCrash}
}

func (t *crashTiming) add(b *Break) {
	t.known = t.known && b.Head && b.SinceHead > 0 && b.Uptime > 0
	if t.known {
		t.chance += float64(b.SinceHead+breakDelay) / float64(min(b.Uptime, maxUptime))
	}
}

// Timing returns the probability that engines which crash at any time do so as soon after
// the heads of responses to calls with the part as they did, given how many others crashed.
func (k Case) Timing() float64 {
	return min(1, k.timing*binomial(k.begun+k.alike+k.unrelated, k.begun))
}

// binomial returns the number of ways to choose k of n.
func binomial(n, k int) float64 {
	ways := 1.0
	for i := range min(k, n-k) {
		ways *= float64(n-i) / float64(i+1)
	}
	return ways
}

// weighTimings returns the time of the first crash, the number of instants at which engines
// crashed, and Case.timing. A cause that ends several engines at one instant counts once.
func weighTimings(timings []*crashTiming) (first time.Duration, instants int, chance float64) {
	if len(timings) == 0 {
		return 0, 0, 1
	}
	slices.SortFunc(timings, func(a, b *crashTiming) int { return int(a.at - b.at) })
	chance = 1
	for i := 0; i < len(timings); {
		at, sum, known := timings[i].at, 0.0, true
		for ; i < len(timings) && timings[i].at-at < instantGap; i++ {
			sum += timings[i].chance
			known = known && timings[i].known
		}
		instants++
		if known {
			chance *= min(1, sum)
		}
	}
	return timings[0].at, instants, chance
}
