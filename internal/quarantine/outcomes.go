package quarantine

import (
	"math"
	"slices"
	"time"
)

const (
	// outcomeMemory is the number of outcomes that are remembered, and maxOutcomeParts that
	// of their parts.
	outcomeMemory   = 512
	maxOutcomeParts = 64 << 10
	// maxChance is the probability beyond which the breaks of a part may be chance.
	maxChance = 0.005
)

// outcome is that of one attempt of a call.
type outcome struct {
	// parts holds hashes of the parts.
	parts []uint32
	begun bool
	head  bool
	at    time.Duration
}

// outcomes holds the last ones, oldest first.
type outcomes struct {
	list []outcome
	// parts is the number of parts of all.
	parts int
}

func (o *outcomes) add(x outcome) {
	o.list = append(o.list, x)
	o.parts += len(x.parts)
	for len(o.list) > outcomeMemory || len(o.list) > 1 && o.parts > maxOutcomeParts {
		o.parts -= len(o.list[0].parts)
		o.list[0] = outcome{}
		o.list = o.list[1:]
	}
}

// mayBeChance reports whether the breaks of a part may be chance: since the first of
// them, engines have broken off so many of the calls without the part that an equal
// number of those could also have been broken off in a row, and the crashes may have come
// at any time. The latter needs no other calls.
func (o *outcomes) mayBeChance(k Case, hash uint64) bool {
	begun, broken := 0, 0
	for _, x := range o.list {
		switch {
		case x.at < k.Since || slices.Contains(x.parts, uint32(hash)):
		case x.begun:
			begun++
		case x.head || k.headless:
			broken++
		}
	}
	if math.Pow(float64(broken+1)/float64(broken+begun+1), float64(k.Requests)) <= maxChance {
		return false
	}
	// If engines also crash as they begin other calls, the times say nothing of the part.
	alike := math.Pow(float64(k.alike)/float64(k.alike+begun+1), float64(k.begun))
	return alike > maxChance || k.Timing() > maxTimingChance
}
