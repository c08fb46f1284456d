package trial

import (
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
)

// idealBucket admits by rate and burst in one place.
type idealBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *idealBucket) admit(at time.Duration, tokens float64) bool {
	if at > b.at {
		b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
		b.at = at
	}
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// audit marks the arrivals of a plan that their teams' rates and bursts cover.
func audit(plan []arrival, doc config.Document) {
	buckets := make(map[string]*idealBucket, len(doc.Teams))
	for _, t := range doc.Teams {
		buckets[t.Name] = &idealBucket{rate: t.Rate, burst: t.Burst, level: t.Burst}
	}
	for i := range plan {
		a := &plan[i]
		a.inside = a.class.path != "" || buckets[a.class.team].admit(a.at, a.size())
	}
}
