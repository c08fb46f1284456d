package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// minRequests is the number of different requests with a part, and minEngines that
	// of the engines, that must have been broken off for a quarantine.
	minRequests = 3
	minEngines  = 3
	// minEnginesWithoutHead applies if one of the engines sent none of its callers the
	// head of a response: a call without a response may not have begun.
	minEnginesWithoutHead = 4
	// minEnginesOfKnownPart applies to a part with which calls have succeeded before.
	minEnginesOfKnownPart = 5
	// minSettled is the number of crashes that must be older than settleDelay: an engine
	// that has not crashed is likely to answer another call by then.
	minSettled  = 2
	settleDelay = AnswerDelay + 100*time.Millisecond
	// minInstants is the number of instants, at least instantGap apart, at which calls
	// must have been broken off: an outage breaks off many calls at once.
	minInstants = 3
	instantGap  = 250 * time.Millisecond
	// manyEngines is the number of engines beyond which two instants are enough, and a
	// choice between unrelated parts is no longer put off.
	manyEngines       = 5
	minInstantsOfMany = 2
	// minUnexplained is the number of engines that no part in quarantine explains.
	minUnexplained = 2
	// outerPartLead is how many more engines an outer part must explain than an inner
	// one to be chosen before it.
	outerPartLead = 2
	// evidenceTTL is how long a break counts.
	evidenceTTL = 5 * time.Minute
	// The numbers of crashes, of breaks, and of their parts in all bound the evidence.
	maxCrashes        = 256
	maxBreaksPerCrash = 16
	maxBreaksPerPart  = 64
	maxEvidenceParts  = 64 << 10
	// AnswerDelay is how long an engine that has crashed may seem to answer calls,
	// since callers read late what it had sent. After refutationPeriod, a new incarnation
	// may answer in its place.
	AnswerDelay      = 300 * time.Millisecond
	refutationPeriod = 2 * time.Second
	// restorePeriod is how long after a crash the next incarnation of its engine may show
	// that an answer did not refute it.
	restorePeriod = 10 * time.Second
)

// Engine identifies an incarnation of an engine.
type Engine struct {
	ID   string
	Born int64
}

// Break is a call that an engine broke off before it had generated anything for it.
type Break struct {
	Engine Engine
	// Request distinguishes requests.
	Request uint64
	// Parts are the parts of the prompt that other calls share, in prompt order. More of them
	// may be told later; Positions holds then where in the prompt they are.
	Parts     []string
	Positions []int
	// Head is set if the engine had sent the head of a response.
	Head bool
	// SinceHead is the time from the head to the break, and Uptime that for which the engine
	// is known to have run; zero if they are not known.
	SinceHead time.Duration
	Uptime    time.Duration
	At        time.Duration
	// Local is set if this VM made the call.
	Local bool
}

// crash is what is known of the calls that one incarnation of an engine broke off.
type crash struct {
	at time.Duration
	// head is set once a break with a head is known. The others then do not count:
	// their calls were not the ones that the engine had begun.
	head   bool
	breaks []*Break
	// ended is set once the engine is known to have ended: it takes no connections.
	ended bool
}

// position returns where in the prompt the part with an index is.
func (b *Break) position(i int) int {
	if b.Positions == nil {
		return i
	}
	return b.Positions[i]
}

// merge adds parts that another VM has told later, and returns those that are new.
func (b *Break) merge(other *Break) []string {
	known := make(map[string]bool, len(b.Parts))
	for _, p := range b.Parts {
		known[p] = true
	}
	type placed struct {
		part     string
		position int
	}
	var all []placed
	var added []string
	for i, p := range b.Parts {
		all = append(all, placed{part: p, position: b.position(i)})
	}
	for i, p := range other.Parts {
		if !known[p] {
			known[p] = true
			added = append(added, p)
			all = append(all, placed{part: p, position: other.position(i)})
		}
	}
	if len(added) == 0 {
		return nil
	}
	slices.SortStableFunc(all, func(x, y placed) int { return x.position - y.position })
	b.Parts, b.Positions = make([]string, len(all)), make([]int, len(all))
	for i, x := range all {
		b.Parts[i], b.Positions[i] = x.part, x.position
	}
	return added
}

func (c *crash) counts(b *Break) bool { return b.Head || !c.head }

// evidence holds the breaks that no later success has refuted.
type evidence struct {
	crashes map[Engine]*crash
	// parts is the number of parts of all breaks.
	parts int
	// byPart holds the breaks by the parts of their calls, in order of arrival.
	byPart map[string][]*Break
	// answered holds, by the engine's ID, the last crash that an answer has refuted. The
	// next incarnation proves that the engine did crash: the answer had been read late.
	answered map[string]*answeredCrash
	// cuts holds when incarnations of engines broke off calls that they had begun. That
	// says nothing of the calls, but that engines also crash at other times.
	cuts map[Engine]time.Duration
}

// answeredCrash is a crash that an answer has refuted.
type answeredCrash struct {
	*crash
	engine Engine
}

func newEvidence() *evidence {
	return &evidence{crashes: make(map[Engine]*crash), byPart: make(map[string][]*Break), answered: make(map[string]*answeredCrash), cuts: make(map[Engine]time.Duration)}
}

// setAnswered removes a crash that an answer refutes, and keeps it for restore.
func (e *evidence) setAnswered(id Engine) {
	if _, known := e.answered[id.ID]; known || len(e.answered) < maxCrashes {
		e.answered[id.ID] = &answeredCrash{crash: e.crashes[id], engine: id}
	}
	e.removeCrash(id)
}

// restore brings a crash back that an answer had refuted, once a later incarnation of the
// engine shows that it has ended. It returns the breaks.
func (e *evidence) restore(id Engine, refuted func(part string, at time.Duration) bool) []*Break {
	a := e.answered[id.ID]
	if a == nil || id.Born <= a.engine.Born {
		return nil
	}
	delete(e.answered, id.ID)
	for _, b := range a.breaks {
		e.add(b, func(part string) bool { return refuted(part, b.At) })
	}
	if c := e.crashes[a.engine]; c != nil {
		c.ended = true
	}
	return a.breaks
}

// add records a break, or further parts of a known one. It returns the break that holds the
// parts, and those that are new; the break is nil if it is known or not needed.
func (e *evidence) add(b *Break, refuted func(part string) bool) (*Break, []string) {
	c := e.crashes[b.Engine]
	if c == nil {
		if len(e.crashes) >= maxCrashes {
			e.removeOldest(b.Engine)
		}
		c = &crash{at: b.At}
		e.crashes[b.Engine] = c
	}
	for len(e.crashes) > 1 && e.parts+len(b.Parts) > maxEvidenceParts {
		e.removeOldest(b.Engine)
	}
	if e.parts+len(b.Parts) > maxEvidenceParts {
		return nil, nil
	}
	for _, known := range c.breaks {
		if known.Request == b.Request && (known.Head || !b.Head) {
			added := known.merge(b)
			if len(added) == 0 {
				return nil, nil
			}
			e.index(known, added, refuted)
			return known, added
		}
	}
	if !c.counts(b) || len(c.breaks) >= maxBreaksPerCrash && (c.head || !b.Head) {
		return nil, nil
	}
	c.at, c.head = min(c.at, b.At), c.head || b.Head
	c.breaks = append(c.breaks, b)
	e.index(b, b.Parts, refuted)
	return b, b.Parts
}

// index lists a break under parts of it.
func (e *evidence) index(b *Break, parts []string, refuted func(part string) bool) {
	e.parts += len(parts)
	for _, p := range parts {
		if !refuted(p) && len(e.byPart[p]) < maxBreaksPerPart {
			e.byPart[p] = append(e.byPart[p], b)
		}
	}
}

// removeOldest removes the oldest crash other than that of an engine.
func (e *evidence) removeOldest(keep Engine) {
	var oldest Engine
	first := true
	for id, c := range e.crashes {
		if id != keep && (first || c.at < e.crashes[oldest].at) {
			oldest, first = id, false
		}
	}
	if !first {
		e.removeCrash(oldest)
	}
}

func (e *evidence) removeCrash(id Engine) {
	c := e.crashes[id]
	delete(e.crashes, id)
	for _, b := range c.breaks {
		e.parts -= len(b.Parts)
		for _, p := range b.Parts {
			e.filter(p, func(x *Break) bool { return x.Engine != id })
		}
	}
}

// filter keeps the breaks of a part for which keep returns true. It reports whether
// it removed any.
func (e *evidence) filter(part string, keep func(*Break) bool) bool {
	old := e.byPart[part]
	kept := slices.DeleteFunc(slices.Clone(old), func(b *Break) bool { return !keep(b) })
	if len(kept) == 0 {
		delete(e.byPart, part)
	} else {
		e.byPart[part] = kept
	}
	return len(kept) < len(old)
}

// refute removes the breaks of a part up to a time at which a call with it succeeded.
func (e *evidence) refute(part string, at time.Duration) bool {
	if len(e.byPart[part]) == 0 {
		return false
	}
	return e.filter(part, func(b *Break) bool { return b.At > at })
}

func (e *evidence) expire(now time.Duration) {
	for id, a := range e.answered {
		if now-a.at > restorePeriod {
			delete(e.answered, id)
		}
	}
	for id, at := range e.cuts {
		if now-at > evidenceTTL {
			delete(e.cuts, id)
		}
	}
	for id, c := range e.crashes {
		if now-c.at > evidenceTTL {
			e.removeCrash(id)
		}
	}
}

// Case is the evidence against a part.
type Case struct {
	Part string
	// Since is the time of the first break.
	Since time.Duration
	// Engines, Requests and Instants are numbers of different ones.
	Engines, Requests, Instants int
	// settled is the number of crashes older than settleDelay.
	settled int
	// known is set if calls with the part have succeeded before.
	known bool
	// unexplained is the number of engines that have broken off no call with a part in
	// quarantine.
	unexplained int
	// crashed holds the engines.
	crashed map[Engine]bool
	// begun is the number of engines that crashed when they had sent a head to a call with
	// the part. alike is the number of those that have crashed since when they had sent one
	// to other calls only, and unrelated that of all others that have crashed since. Crashes
	// that a part in quarantine explains count in neither.
	begun, alike, unrelated int
	// timing is the probability that engines which crash at any time do so as soon after
	// the heads of responses to calls with the part as these did, whatever others do.
	timing float64
	// headless is set if one of the engines sent no head of a response.
	headless bool
}

// caseAgainst weighs the breaks of a part.
func (e *evidence) caseAgainst(part string, now time.Duration, explained func(c *crash) bool) Case {
	k := Case{Part: part, crashed: make(map[Engine]bool)}
	requests := make(map[uint64]bool)
	timings := make(map[*crash]*crashTiming)
	for _, b := range e.byPart[part] {
		c := e.crashes[b.Engine]
		if c == nil || !c.counts(b) {
			continue
		}
		requests[b.Request] = true
		k.headless = k.headless || !c.head
		if timings[c] == nil {
			timings[c] = newCrashTiming(c)
		}
		timings[c].add(b)
		if k.crashed[b.Engine] {
			continue
		}
		k.crashed[b.Engine] = true
		if c.head {
			k.begun++
		}
		if now-c.at >= settleDelay {
			k.settled++
		}
		if !explained(c) {
			k.unexplained++
		}
	}
	k.Engines, k.Requests = len(k.crashed), len(requests)
	k.Since, k.Instants, k.timing = weighTimings(slices.Collect(maps.Values(timings)))
	return k
}

// countOthers sets Case.alike and Case.unrelated.
func (e *evidence) countOthers(k *Case, explained func(c *crash) bool) {
	for _, c := range e.crashes {
		hasPart := slices.ContainsFunc(c.breaks, func(b *Break) bool { return c.counts(b) && slices.Contains(b.Parts, k.Part) })
		switch {
		case c.at < k.Since || hasPart && c.head || explained(c):
		case c.head:
			k.alike++
		default:
			k.unrelated++
		}
	}
	for id, at := range e.cuts {
		if e.crashes[id] == nil && at >= k.Since {
			k.unrelated++
		}
	}
}

// explained reports whether a crash follows from a part in quarantine.
func (e *evidence) explained(c *crash, inQuarantine func(part string) bool) bool {
	return slices.ContainsFunc(c.breaks, func(b *Break) bool { return c.counts(b) && slices.ContainsFunc(b.Parts, inQuarantine) })
}

// convincing reports whether a case is enough for a quarantine.
func (k Case) convincing() bool {
	engines, instants := minEngines, minInstants
	switch {
	case k.known:
		engines = minEnginesOfKnownPart
	case k.headless:
		engines = minEnginesWithoutHead
	}
	if k.Engines >= manyEngines {
		instants = minInstantsOfMany
	}
	return k.Engines >= engines && k.Requests >= minRequests && k.Instants >= instants &&
		k.unexplained >= minUnexplained && k.settled >= minSettled
}

// tied reports whether a part that occurs in no call with the part of a case was
// broken off on the same engines.
func (e *evidence) tied(k Case) bool {
	related := make(map[string]bool)
	for _, b := range e.byPart[k.Part] {
		for _, p := range b.Parts {
			related[p] = true
		}
	}
	engines := make(map[string]map[Engine]bool)
	for id := range k.crashed {
		c := e.crashes[id]
		for _, b := range c.breaks {
			for _, p := range b.Parts {
				if related[p] || !c.counts(b) || !slices.Contains(e.byPart[p], b) {
					continue
				}
				if engines[p] == nil {
					engines[p] = make(map[Engine]bool)
				}
				if engines[p][id] = true; len(engines[p]) == k.Engines {
					return true
				}
			}
		}
	}
	return false
}
