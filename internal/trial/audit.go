package trial

import (
	"slices"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
)

// idealBucket admits by rate and burst in one place.
type idealBucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *idealBucket) refill(at time.Duration) {
	if at > b.at {
		b.level = min(b.burst, b.level+b.rate*(at-b.at).Seconds())
		b.at = at
	}
}

func (b *idealBucket) admit(at time.Duration, tokens float64) bool {
	b.refill(at)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// ready returns when the bucket will hold tokens, if nothing is taken before.
func (b *idealBucket) ready(tokens float64) time.Duration {
	missing := max(0, tokens-b.level)
	return b.at + time.Duration(missing/b.rate*float64(time.Second)) + time.Microsecond
}

// audit marks the arrivals of a plan that their teams' rates and bursts cover.
func audit(plan []arrival, doc config.Document) {
	buckets := fullBuckets(doc)
	for i := range plan {
		a := &plan[i]
		a.inside = a.class.path != "" || buckets[a.class.team].admit(a.at, a.size())
	}
}

func fullBuckets(doc config.Document) map[string]*idealBucket {
	buckets := make(map[string]*idealBucket, len(doc.Teams))
	for _, t := range doc.Teams {
		buckets[t.Name] = &idealBucket{rate: t.Rate, burst: t.Burst, level: t.Burst}
	}
	return buckets
}

// unavoidable counts, by team, the model requests of a plan that rate, burst
// and wait make one place refuse that serves them in order.
func unavoidable(plan []arrival, doc config.Document) map[string]int {
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
		start := max(a.at, b.ready(a.size()))
		if start > a.at+waits[a.class.model] || !b.admit(start, a.size()) {
			refused[a.class.team]++
		}
	}
	return refused
}

// Refusal is one refused model request. Times are in milliseconds from the
// beginning of the run.
type Refusal struct {
	Team          string  `json:"team"`
	Kind          string  `json:"kind"`
	ArrivedMillis float64 `json:"at"`
	EndedMillis   float64 `json:"end"`
	Tokens        float64 `json:"size"`
	// BucketLevel is what the team's rate and burst, in one place and charged with
	// what was really started until then, held at the end.
	BucketLevel float64 `json:"level"`
	// Running is how many requests of the team were running at the end.
	Running int `json:"running"`
	// WithinRate is whether the request was counted as within the rate.
	WithinRate bool `json:"inside"`
}

// debit is what one started request took from its team.
type debit struct {
	team   string
	at     time.Duration
	ended  time.Duration
	tokens float64
}

// replay sets the level of every refusal from the requests really started.
func replay(doc config.Document, debits []debit, refusals []Refusal) {
	buckets := fullBuckets(doc)
	for i := range refusals {
		refusals[i].Running = running(debits, refusals[i])
	}
	slices.SortFunc(debits, func(a, b debit) int { return int(a.at - b.at) })
	slices.SortFunc(refusals, func(a, b Refusal) int { return int(a.ended() - b.ended()) })
	for i := range refusals {
		f := &refusals[i]
		for len(debits) > 0 && debits[0].at <= f.ended() {
			b := buckets[debits[0].team]
			b.refill(debits[0].at)
			b.level -= debits[0].tokens
			debits = debits[1:]
		}
		b := buckets[f.Team]
		b.refill(f.ended())
		f.BucketLevel = b.level
	}
}

// running counts the requests of the team that ran when f was refused.
func running(debits []debit, f Refusal) int {
	n := 0
	for _, d := range debits {
		if d.team == f.Team && d.at <= f.ended() && d.ended > f.ended() {
			n++
		}
	}
	return n
}

func (f Refusal) ended() time.Duration {
	return time.Duration(f.EndedMillis * float64(time.Millisecond))
}
