package rollout

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Parameters of the comparison of versions.
const (
	// minFailureDifference is the least difference of the failure fractions, and
	// minSlowDifference that of the fractions of slow answers, of a bad version.
	minFailureDifference = 0.05
	minSlowDifference    = 0.05
	// minUnfinishedDifference is larger because answers in transit count as unfinished.
	minUnfinishedDifference = 0.2
	// minUnfinished allows for the calls of VMs that ended or are cut off.
	minUnfinished = 8
	// abortLevel is the probability below which a difference is not taken for noise. It is
	// small because it is tested several times a second. finalLevel applies once, at the
	// deadline. Both are for the whole service and time; the probability of differences in
	// one of the windows or routes is multiplied by manyTests, as there are many of them.
	abortLevel = 1e-5
	finalLevel = 3e-4
	manyTests  = 5
	// Below lastingLevel a difference counts that lasts for lastingTime, so that a bad
	// version gets no calls for long after its 50th bad answer.
	lastingLevel = 1e-4
	lastingTime  = 2 * time.Second
	// Below smallSample answers of the new version and smallService of the old one the
	// probability is divided by smallFactor: a bad version is then missed more often than a
	// good one has three failures.
	smallSample  = 60
	smallService = 500
	smallFactor  = 10
	// minBad is the least number of bad answers that a verdict rests on.
	minBad = 3
	// leastVariance is assumed of the bucket of a single answer.
	leastVariance = 0.25
	// minBaseline is the number of answers of the old version that a comparison needs. A
	// route with fewer is compared by its failures to all routes.
	minBaseline = 10
	// A finding must hold at confirmLevel against each confirmPart of the last seconds of
	// the old version that has leastLatest answers.
	confirmPart  = 600 * time.Millisecond
	confirmLevel = 0.05
	leastLatest  = 50
	// unfinishedAfter is the age from which a call without answer counts as unfinished.
	unfinishedAfter = 1500 * time.Millisecond
	// biasedAbove is the number of answers from which the whole time is not compared while
	// all calls go to the new version: its answers are then of another time than those of
	// the old version, and the fleet's load may have changed.
	biasedAbove = 100
)

// baselineStep is by how much a window is extended back for the old version.
const baselineStep = 300 * time.Millisecond

// windows are the times back from now that are compared, apart from the whole time.
var windows = []time.Duration{time.Second, 3 * time.Second}

// historyLength is how long samples are kept.
const historyLength = 5 * time.Second

// sample is the merged evidence at a time.
type sample struct {
	at    time.Duration
	total Evidence
}

// scope says which comparisons are fair.
type scope struct {
	// allNew is set while all calls go to the new version.
	allNew bool
	// uneven is set if the share has varied: the answers of the new version may be of
	// another time than most of the old one's.
	uneven bool
	// silent is set if the counts of some VMs are not known: their calls seem unfinished.
	silent bool
	// since is left out of the comparison of the whole time.
	since sample
	// From probeStart to tailEnd the answers that arrive are mainly slow ones of the probe.
	// Latencies are not compared over times that begin then.
	probeStart time.Duration
	tailEnd    time.Duration
}

func (s scope) biased(from time.Duration) bool { return from > s.probeStart && from <= s.tailEnd }

// finding is the most significant difference between the versions.
type finding struct {
	probability float64
	slow        bool
	reason      string
}

// completed returns the number of calls that have ended.
func (c Counts) completed() int64 { return c.Answered + c.Failed }

// minus returns the counts since an earlier time.
func (c Counts) minus(o Counts) Counts {
	c.Sent = max(0, c.Sent-o.Sent)
	c.Answered = max(0, c.Answered-o.Answered)
	c.Failed = max(0, c.Failed-o.Failed)
	for i := range c.Latency {
		c.Latency[i] = max(0, c.Latency[i]-o.Latency[i])
	}
	return c
}

// side returns the counts of all routes of a side.
func (e Evidence) side(s Side) Counts {
	var sum Counts
	for k, n := range e {
		if k.Side != s {
			continue
		}
		sum.Sent += n.Sent
		sum.Answered += n.Answered
		sum.Failed += n.Failed
		for i := range n.Latency {
			sum.Latency[i] += n.Latency[i]
		}
	}
	return sum
}

// counts returns the counts of a side and route; the empty route stands for all.
func (e Evidence) counts(s Side, route string) Counts {
	if route == "" {
		return e.side(s)
	}
	return e[Key{Side: s, Route: route}]
}

// routes returns the routes with calls to the new version, and last the empty route for all.
func (e Evidence) routes() []string {
	var out []string
	for k := range e {
		if k.Side == New && k.Route != "" {
			out = append(out, k.Route)
		}
	}
	sort.Strings(out)
	return append(out, "")
}

// compare returns the most significant difference in the evidence up to now. The history
// is in order of time; its last sample is the newest. With allNew set, all calls go to the
// new version.
func compare(history []sample, s scope) finding {
	best := finding{probability: 1}
	if len(history) == 0 {
		return best
	}
	now := history[len(history)-1]
	all := now.total.side(Old)
	routes := now.total.routes()
	// The first of shifts is of the whole time, the others of the windows.
	shifts := make([]shift, 1+len(windows))
	judge := func(i int, r string, fresh, base Counts) {
		found := []finding{compareCounts(r, fresh, base, all).among(i > 0 || r != "")}
		if r != "" || len(routes) == 1 {
			var one shift
			one.add(fresh.Latency, base.Latency)
			shifts[i].add(fresh.Latency, base.Latency)
			found = append(found, one.finding(r).among(true))
		}
		if r == "" {
			found = append(found, shifts[i].finding(r).among(i > 0))
		}
		for _, f := range found {
			if s.uneven {
				f = confirm(f, r, fresh, history)
			}
			best = least(best, f)
		}
	}
	for _, r := range routes {
		fresh, base := now.total.counts(New, r), now.total.counts(Old, r)
		wholeFresh, wholeBase := fresh, base
		if s.since.total != nil {
			wholeFresh, wholeBase = fresh.minus(s.since.total.counts(New, r)), base.minus(s.since.total.counts(Old, r))
			if s.biased(s.since.at) {
				wholeFresh.Latency = [LatencyBuckets]int64{}
			}
		}
		if !s.allNew || wholeFresh.completed() < biasedAbove {
			judge(0, r, wholeFresh, wholeBase)
		}
		for i, w := range windows {
			from := before(history, now.at-w)
			recent := fresh.minus(from.total.counts(New, r))
			if s.biased(from.at) {
				recent.Latency = [LatencyBuckets]int64{}
			}
			reference := base.minus(from.total.counts(Old, r))
			// While few calls go to the old version, its last ones are the baseline.
			for from.at > history[0].at && reference.completed() < max(minBaseline, recent.completed()/2) {
				from = before(history, from.at-baselineStep)
				reference = base.minus(from.total.counts(Old, r))
			}
			judge(i+1, r, recent, reference)
		}
		from := before(history, now.at-unfinishedAfter)
		if !s.silent && now.at-from.at >= unfinishedAfter {
			best = least(best, compareUnfinished(r, fresh, base, from.total).among(true))
		}
	}
	if now.total.side(New).completed() < smallSample && all.completed() < smallService {
		best.probability /= smallFactor
	}
	return best
}

// confirm drops a finding that does not hold against each part of the last seconds of the
// old version that has enough answers, because the fleet's load may have changed.
func confirm(f finding, route string, fresh Counts, history []sample) finding {
	if f.probability > 2*finalLevel {
		return f
	}
	end := history[len(history)-1]
	first := end.at - windows[len(windows)-1]
	for end.at > first && end.at > history[0].at {
		start := before(history, end.at-confirmPart)
		part := end.total.counts(Old, route).minus(start.total.counts(Old, route))
		if part.completed() >= leastLatest && compareCounts(route, fresh, part, part).probability > confirmLevel {
			return finding{probability: 1}
		}
		end = start
	}
	return f
}

// among returns the finding as one of many tests.
func (f finding) among(many bool) finding {
	if many {
		f.probability = min(1, f.probability*manyTests)
	}
	return f
}

func least(a, b finding) finding {
	if b.probability < a.probability {
		return b
	}
	return a
}

// before returns the newest sample that is no newer than at, or the oldest one.
func before(history []sample, at time.Duration) sample {
	i := sort.Search(len(history), func(i int) bool { return history[i].at > at })
	return history[max(0, i-1)]
}

// compareCounts compares failures and latencies. All are the old version's counts of all
// routes.
func compareCounts(route string, fresh, base, all Counts) finding {
	out := finding{probability: 1}
	n := fresh.completed()
	reference := base
	if reference.completed() < minBaseline {
		reference = all
	}
	if reference.completed() < minBaseline {
		// Without a baseline one failure in thirty is taken for normal.
		reference = Counts{Answered: 29, Failed: 1}
	}
	p := difference(fresh.Failed, n, reference.Failed, reference.completed(), minFailureDifference)
	if p < out.probability {
		out = finding{probability: p, reason: fmt.Sprintf("%d of %d calls failed, %d of %d of the old version%s",
			fresh.Failed, n, reference.Failed, reference.completed(), on(route))}
	}
	freshTotal, baseTotal := total(fresh.Latency), total(base.Latency)
	if baseTotal < minBaseline {
		return out
	}
	// The buckets are powers of two: a version that is less than twice as slow has, for
	// every i, at most as many answers from bucket i as the old one from bucket i-1. So a
	// change across a bucket's limit alone never counts.
	freshSlow, baseSlow := freshTotal-fresh.Latency[0], baseTotal
	for i := 1; i < LatencyBuckets; i++ {
		p := difference(freshSlow, freshTotal, baseSlow, baseTotal, minSlowDifference)
		if p < out.probability {
			out = finding{probability: p, slow: true, reason: fmt.Sprintf(
				"%d of %d answers took %v or more, %d of %d of the old version half of it%s",
				freshSlow, freshTotal, limit(i), baseSlow, baseTotal, on(route))}
		}
		freshSlow -= fresh.Latency[i]
		baseSlow -= base.Latency[i-1]
	}
	return out
}

// shift tests whether the mean bucket of the new version exceeds that of the old one by more
// than one, which is a factor of two. No version that is less than twice as slow has a mean
// shift above one, however the limits of buckets lie. Routes are compared one by one and
// averaged, because they differ in latency more than the versions do.
type shift struct {
	answers, sum, variance float64
}

// add takes in the latencies of a route, unless the old version has too few.
func (s *shift) add(fresh, base [LatencyBuckets]int64) {
	n, baseN := total(fresh), total(base)
	if n == 0 || baseN < minBaseline {
		return
	}
	mean, variance := moments(fresh, n)
	baseMean, baseVariance := moments(base, baseN)
	// A few answers may all be in one bucket by chance.
	variance = max(variance, baseVariance, leastVariance)
	s.answers += float64(n)
	s.sum += float64(n) * (mean - baseMean)
	s.variance += float64(n)*variance + float64(n*n)*baseVariance/float64(baseN)
}

// finding returns the probability that noise alone gives this shift.
func (s *shift) finding(route string) finding {
	if s.answers < 2*minBad {
		return finding{probability: 1}
	}
	z := (s.sum - s.answers) / math.Sqrt(s.variance)
	return finding{probability: math.Erfc(z/math.Sqrt2) / 2, slow: true, reason: fmt.Sprintf(
		"%.0f answers were %.1f times as slow on average as those of the old version%s",
		s.answers, math.Exp2(s.sum/s.answers), on(route))}
}

func total(h [LatencyBuckets]int64) int64 {
	var sum int64
	for _, k := range h {
		sum += k
	}
	return sum
}

// moments returns mean and variance of the bucket.
func moments(h [LatencyBuckets]int64, n int64) (mean, variance float64) {
	for i, k := range h {
		mean += float64(i) * float64(k) / float64(n)
	}
	for i, k := range h {
		variance += (float64(i) - mean) * (float64(i) - mean) * float64(k) / float64(n)
	}
	return mean, variance
}

// limit returns the lower limit of a latency bucket.
func limit(bucket int) time.Duration { return FirstLatencyBucket << (bucket - 1) }

// compareUnfinished compares the calls that had been sent at an earlier time and have no
// answer. It finds versions that do not answer at all.
func compareUnfinished(route string, fresh, base Counts, earlier Evidence) finding {
	freshSent, baseSent := earlier.counts(New, route).Sent, earlier.counts(Old, route).Sent
	freshOpen, baseOpen := max(0, freshSent-fresh.completed()), max(0, baseSent-base.completed())
	if baseSent < minBaseline || freshOpen < minUnfinished {
		return finding{probability: 1}
	}
	return finding{
		probability: difference(freshOpen, freshSent, baseOpen, baseSent, minUnfinishedDifference),
		slow:        true,
		reason: fmt.Sprintf("%d of %d calls have no answer after %v, %d of %d of the old version%s",
			freshOpen, freshSent, unfinishedAfter, baseOpen, baseSent, on(route)),
	}
}

func on(route string) string {
	if route == "" {
		return ""
	}
	return ", route " + route
}

// difference returns the probability that noise alone gives the new version at least so
// many bad calls (Fisher's exact test, one-sided), and 1 if the fractions differ by less
// than least. The normal approximation of this test gives false alarms where one side has
// ten calls and the other thousands.
func difference(bad, n, baseBad, baseN int64, least float64) float64 {
	if n == 0 || baseN == 0 || bad < minBad {
		return 1
	}
	if float64(bad)/float64(n)-float64(baseBad)/float64(baseN) < least {
		return 1
	}
	allBad, all := bad+baseBad, n+baseN
	term := math.Exp(choose(allBad, bad) + choose(all-allBad, n-bad) - choose(all, n))
	sum := term
	for k := bad; k < min(n, allBad) && term > sum*1e-6; k++ {
		term *= float64(allBad-k) * float64(n-k) / (float64(k+1) * float64(all-allBad-n+k+1))
		sum += term
	}
	return min(1, sum)
}

// choose returns the logarithm of the binomial coefficient.
func choose(n, k int64) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
