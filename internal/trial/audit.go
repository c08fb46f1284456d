package trial

import (
	"slices"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
)

// referenceBucket is a token bucket for a whole team. It is the reference for the
// routers, each of which sees only a part of the requests.
type referenceBucket struct {
	rate, burst, level float64
	updatedAt          time.Duration
}

func (b *referenceBucket) refill(at time.Duration) {
	if at > b.updatedAt {
		b.level = min(b.burst, b.level+b.rate*(at-b.updatedAt).Seconds())
		b.updatedAt = at
	}
}

func (b *referenceBucket) admit(at time.Duration, tokens float64) bool {
	b.refill(at)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// readyAt returns when the bucket will hold the given tokens if nothing is taken
// before.
func (b *referenceBucket) readyAt(tokens float64) time.Duration {
	missing := max(0, tokens-b.level)
	return b.updatedAt + time.Duration(missing/b.rate*float64(time.Second)) + time.Microsecond
}

// markWithinRate sets withinRate on the arrivals that their team's rate and burst
// cover. Service calls are not rated and always count as within the rate.
func markWithinRate(plan []arrival, doc config.Document) {
	buckets := fullBuckets(doc)
	for i := range plan {
		a := &plan[i]
		a.withinRate = a.class.path != "" || buckets[a.class.team].admit(a.at, a.tokens())
	}
}

func fullBuckets(doc config.Document) map[string]*referenceBucket {
	buckets := make(map[string]*referenceBucket, len(doc.Teams))
	for _, t := range doc.Teams {
		buckets[t.Name] = &referenceBucket{rate: t.Rate, burst: t.Burst, level: t.Burst}
	}
	return buckets
}

// unavoidableRefusals counts, by team, the model requests of a plan that even a
// single central rate limiter would refuse, given each team's rate and burst and
// each route's dispatch timeout, if it served the requests in order.
func unavoidableRefusals(plan []arrival, doc config.Document) map[string]int {
	buckets := fullBuckets(doc)
	waits := make(map[string]time.Duration, len(doc.Routes))
	for _, r := range doc.Routes {
		waits[r.Model] = r.EffectiveDispatchTimeout()
	}
	refused := make(map[string]int)
	for _, a := range plan {
		if a.class.path != "" {
			continue
		}
		b := buckets[a.class.team]
		start := max(a.at, b.readyAt(a.tokens()))
		if start > a.at+waits[a.class.model] || !b.admit(start, a.tokens()) {
			refused[a.class.team]++
		}
	}
	return refused
}

// Refusal describes a refused model request. Times are in milliseconds from the
// beginning of the run.
type Refusal struct {
	Team          string  `json:"team"`
	Kind          string  `json:"kind"`
	ArrivedMillis float64 `json:"at"`
	EndedMillis   float64 `json:"end"`
	Tokens        float64 `json:"size"`
	// BucketLevel is the level, at EndedMillis, of a single bucket with the team's
	// rate and burst from which the requests that ran until then were taken.
	BucketLevel float64 `json:"level"`
	// Running is the number of the team's requests that ran at EndedMillis.
	Running int `json:"running"`
	// WithinRate is whether the team's rate and burst covered the request.
	WithinRate bool `json:"inside"`
}

// debit is the tokens that a request that ran took from its team.
type debit struct {
	team      string
	arrivedAt time.Duration
	endedAt   time.Duration
	tokens    float64
}

// setBucketLevels sets BucketLevel and Running of every refusal from the requests
// that ran. It reorders both slices.
func setBucketLevels(doc config.Document, debits []debit, refusals []Refusal) {
	buckets := fullBuckets(doc)
	for i := range refusals {
		refusals[i].Running = runningAt(debits, refusals[i])
	}
	slices.SortFunc(debits, func(a, b debit) int { return int(a.arrivedAt - b.arrivedAt) })
	slices.SortFunc(refusals, func(a, b Refusal) int { return int(a.endedAt() - b.endedAt()) })
	for i := range refusals {
		f := &refusals[i]
		for len(debits) > 0 && debits[0].arrivedAt <= f.endedAt() {
			b := buckets[debits[0].team]
			b.refill(debits[0].arrivedAt)
			b.level -= debits[0].tokens
			debits = debits[1:]
		}
		b := buckets[f.Team]
		b.refill(f.endedAt())
		f.BucketLevel = b.level
	}
}

// runningAt counts the requests of the team that ran when f was refused.
func runningAt(debits []debit, f Refusal) int {
	n := 0
	for _, d := range debits {
		if d.team == f.Team && d.arrivedAt <= f.endedAt() && d.endedAt > f.endedAt() {
			n++
		}
	}
	return n
}

func (f Refusal) endedAt() time.Duration {
	return time.Duration(f.EndedMillis * float64(time.Millisecond))
}
