package quarantine

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// firstHold is how long calls are refused before the first trial; each failed trial
	// doubles the time, up to maxHold.
	firstHold = 20 * time.Second
	maxHold   = 5 * time.Minute
	// forgetAfter is how long after the last call with its part a quarantine ends.
	forgetAfter = 10 * time.Minute
	// trialTimeout is how long a trial without an outcome holds up the next one.
	trialTimeout = 10 * time.Second
	// minRetryAfter bounds the time until a refused caller may return, once a trial is
	// due.
	minRetryAfter = time.Second
	// tellPeriod is how long the other VMs are expected to remember a success that they were
	// told.
	tellPeriod = 10 * time.Second
	// updateStep is the least progress of a time that is taken over from another VM:
	// times that VMs send each other grow by the delay of each message.
	updateStep = time.Second
	// maxQuarantines bounds the parts in quarantine, successMemory the parts whose last
	// success is remembered.
	maxQuarantines = 64
	successMemory  = 32 << 10
	// ReviewDelay is how long after a break it may decide on a part: by then, what other
	// VMs have seen of the same crash is known. decisionPeriod is how long it may still
	// do so, and maxUndecided bounds the number of such breaks.
	ReviewDelay    = 100 * time.Millisecond
	decisionPeriod = 3 * time.Second
	maxUndecided   = 128
)

// Quarantine is a part that crashes engines.
type Quarantine struct {
	Part string
	// Since is the time of the first break. A later success ends the quarantine.
	Since time.Duration
	// Until is when a trial may be made, and Hold the time from the last crash to Until.
	Until time.Duration
	Hold  time.Duration
	// AskedAt is when a call with the part was last refused.
	AskedAt time.Duration
}

// entry is a quarantine and its trial.
type entry struct {
	Quarantine
	// trialAt is when the last trial of this VM began; zero means none since the hold
	// began.
	trialAt time.Duration
}

// Tracker tracks the parts that crash engines. All times are on one clock. It is safe
// for concurrent use.
type Tracker struct {
	// crashes is the number of crashes in evidence.
	crashes atomic.Int32

	mu       sync.Mutex // guards the fields below
	evidence *evidence
	// undecided holds breaks of the last decisionPeriod, which may decide on a part once
	// more is known.
	undecided []*Break
	// outcomes are those of this VM's calls.
	outcomes outcomes
	active   map[string]*entry
	// succeeded holds when calls with a part last succeeded, by the part's hash.
	succeeded *recent[uint64, time.Duration]
	// toldSuccesses holds when a success with a part was last told because of a break.
	toldSuccesses *recent[uint64, time.Duration]
	seed          maphash.Seed
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		evidence: newEvidence(), active: make(map[string]*entry), seed: maphash.MakeSeed(),
		succeeded: newRecent[uint64, time.Duration](successMemory), toldSuccesses: newRecent[uint64, time.Duration](successMemory),
	}
}

// hash returns the hash by which a part is remembered. Callers cannot foresee it.
func (t *Tracker) hash(part string) uint64 { return maphash.String(t.seed, part) }

// lastSuccess returns when a call with a part last succeeded.
func (t *Tracker) lastSuccess(part string) (time.Duration, bool) {
	return t.succeeded.get(t.hash(part))
}

func (t *Tracker) inQuarantine(part string) bool { return t.active[part] != nil }

// Verdict is what one or more breaks lead to.
type Verdict struct {
	// Case is the evidence of a new quarantine, and Quarantine the new or renewed one;
	// nil if there is none.
	Case       *Case
	Quarantine *Quarantine
	// Refuted holds the parts of the call with which another call has succeeded since, and
	// when. Earlier holds those with which one had succeeded before, unless that was told
	// lately; other VMs should know of these as well before they decide.
	Refuted, Earlier []Success
	// Local is set if a call of this VM was decisive.
	Local bool
}

// Success is a call with a part that succeeded.
type Success struct {
	Part string
	At   time.Duration
}

// RecordBreak records a break of a call on this VM or another one, or further parts of its
// prompt. It reports whether any was new.
func (t *Tracker) RecordBreak(b Break) (Verdict, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restore(b.Engine)
	v := Verdict{}
	refuted := make(map[string]bool)
	for _, p := range b.Parts {
		if at, ok := t.lastSuccess(p); ok && at >= b.At {
			refuted[p] = true
			v.Refuted = append(v.Refuted, Success{Part: p, At: at})
		}
	}
	recorded, added := t.evidence.add(&b, func(part string) bool { return refuted[part] })
	if recorded == nil {
		return Verdict{}, false
	}
	t.countCrashes()
	for _, p := range added {
		if at, ok := t.lastSuccess(p); ok && !refuted[p] && t.shouldTell(p, b.At) {
			v.Earlier = append(v.Earlier, Success{Part: p, At: at})
		}
		if e := t.active[p]; e != nil && !refuted[p] {
			if b.At >= e.Until {
				e.Hold, e.trialAt = min(2*e.Hold, maxHold), 0
				v.Quarantine = &e.Quarantine
			}
			e.Until = max(e.Until, b.At+e.Hold)
		}
	}
	if v.Quarantine != nil {
		renewed := *v.Quarantine
		v.Quarantine = &renewed
		return v, true
	}
	if !slices.Contains(t.undecided, recorded) {
		if len(t.undecided) == maxUndecided {
			t.undecided = slices.Delete(t.undecided, 0, 1)
		}
		t.undecided = append(t.undecided, recorded)
	}
	return v, true
}

// shouldTell reports whether the success of a part is to be told, and takes note of that. One
// that was told counts for tellPeriod.
func (t *Tracker) shouldTell(part string, now time.Duration) bool {
	if toldAt, ok := t.toldSuccesses.get(t.hash(part)); ok && now-toldAt < tellPeriod {
		return false
	}
	t.toldSuccesses.set(t.hash(part), now)
	return true
}

// Review puts parts in quarantine on the evidence recorded up to ReviewDelay before. It
// must be called several times a second.
func (t *Tracker) Review(now time.Duration) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Verdict
	for len(t.active) < maxQuarantines {
		k, i, found := newReview(t, now).best(t.undecided)
		if !found {
			break
		}
		e := &entry{Quarantine: Quarantine{Part: k.Part, Since: k.Since, Until: now + firstHold, Hold: firstHold, AskedAt: now}}
		t.active[k.Part] = e
		begun := e.Quarantine
		out = append(out, Verdict{Case: &k, Quarantine: &begun, Local: t.undecided[i].Local})
		t.undecided = slices.Delete(t.undecided, i, i+1)
	}
	t.undecided = slices.DeleteFunc(t.undecided, func(b *Break) bool { return now-b.At >= decisionPeriod })
	return out
}

// RecordOutcome records whether an engine began to generate for a call of this VM or
// broke it off before. head is set if the head of a response had arrived.
func (t *Tracker) RecordOutcome(parts []string, begun, head bool, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := outcome{parts: make([]uint32, len(parts)), begun: begun, head: head, at: at}
	for i, p := range parts {
		x.parts[i] = uint32(t.hash(p))
	}
	t.outcomes.add(x)
}

// RecordSuccess records that an engine generated tokens for a call with the given
// parts, on this VM or another one. It returns the parts that were suspect, whose
// success other VMs should know, and those whose quarantine ends.
func (t *Tracker) RecordSuccess(parts []string, at time.Duration) (suspect, ended []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if last, ok := t.lastSuccess(p); !ok || at > last {
			t.succeeded.set(t.hash(p), at)
		}
		refuted := t.evidence.refute(p, at)
		if e := t.active[p]; e != nil && at > e.Since {
			delete(t.active, p)
			ended = append(ended, p)
			refuted = true
		}
		if refuted {
			suspect = append(suspect, p)
		}
	}
	return suspect, ended
}

// HasEvidence reports whether any crash is known.
func (t *Tracker) HasEvidence() bool { return t.crashes.Load() > 0 }

// RecordAnswer records that something of an incarnation of an engine arrived at a
// time. It reports whether that refutes a crash of the engine.
func (t *Tracker) RecordAnswer(id Engine, at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restore(id)
	if cutAt, cut := t.evidence.cuts[id]; cut && at > cutAt+AnswerDelay {
		delete(t.evidence.cuts, id)
	}
	c := t.evidence.crashes[id]
	if c == nil || at <= c.at+AnswerDelay || at > c.at+refutationPeriod {
		return false
	}
	t.evidence.setAnswered(id)
	t.countCrashes()
	return true
}

// RecordCut records that an incarnation of an engine broke off a call that it had begun, on
// this VM or another one. It reports whether nothing is known yet of a crash of it.
func (t *Tracker) RecordCut(id Engine, at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.evidence.cuts[id]; known || t.evidence.crashes[id] != nil || len(t.evidence.cuts) >= maxCrashes {
		return false
	}
	t.evidence.cuts[id] = at
	return true
}

// RecordEnd records that an incarnation of an engine takes no connections. It reports
// whether that is news of a crash.
func (t *Tracker) RecordEnd(id Engine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.evidence.crashes[id]
	if c == nil || c.ended {
		return false
	}
	c.ended = true
	return true
}

// restore takes the next incarnation of an engine as proof of a crash that had been
// refuted.
func (t *Tracker) restore(id Engine) {
	breaks := t.evidence.restore(id, func(part string, at time.Duration) bool {
		last, ok := t.lastSuccess(part)
		return ok && last >= at
	})
	if len(breaks) == 0 {
		return
	}
	t.undecided = append(t.undecided, breaks[:min(len(breaks), maxUndecided-len(t.undecided))]...)
	t.countCrashes()
}

// countCrashes publishes the number of crashes for HasEvidence. Those that were refuted
// count, since the next incarnations of their engines matter.
func (t *Tracker) countCrashes() {
	t.crashes.Store(int32(len(t.evidence.crashes) + len(t.evidence.answered)))
}

// Known reports whether a break of an engine with the head of a response is known.
func (t *Tracker) Known(id Engine) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.evidence.crashes[id]
	return c != nil && c.head
}

// Check returns the part of a call that is in quarantine, if any, and the time until
// the quarantine may end.
func (t *Tracker) Check(parts []string, now time.Duration) (part string, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.active) == 0 {
		return "", 0
	}
	for _, p := range parts {
		if e := t.active[p]; e != nil {
			e.AskedAt = now
			part, retryAfter = p, max(retryAfter, e.Until-now, minRetryAfter)
		}
	}
	return part, retryAfter
}

// StartTrial reports whether a call with the given parts may be sent as a trial, and
// if so begins the trial. Only one VM may ask for each part.
func (t *Tracker) StartTrial(parts []string, now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*entry
	for _, p := range parts {
		if e := t.active[p]; e != nil {
			if now < e.Until || e.trialAt > 0 && now-e.trialAt < trialTimeout {
				return false
			}
			due = append(due, e)
		}
	}
	for _, e := range due {
		e.trialAt = now
	}
	return len(due) > 0
}

// CancelTrial ends a trial that was begun at a time and has reached no engine, so that
// another call may be the trial.
func (t *Tracker) CancelTrial(parts []string, begunAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if e := t.active[p]; e != nil && e.trialAt == begunAt {
			e.trialAt = 0
		}
	}
}

// Suspect reports whether another engine has broken off a call of another request with
// one of the given parts, and none has succeeded since.
func (t *Tracker) Suspect(parts []string, id Engine, request uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		for _, b := range t.evidence.byPart[p] {
			if c := t.evidence.crashes[b.Engine]; b.Engine != id && b.Request != request && c != nil && c.counts(b) {
				return true
			}
		}
	}
	return false
}

// BySuspicion returns the indexes of parts, with those first that are most likely to crash
// engines: no call with them has succeeded, or not for long, and other engines have broken
// off calls with them.
func (t *Tracker) BySuspicion(parts []string) []int {
	type suspect struct {
		index       int
		unsucceeded bool
		known       bool
		succeeded   time.Duration
	}
	t.mu.Lock()
	suspects := make([]suspect, len(parts))
	for i, p := range parts {
		at, ok := t.lastSuccess(p)
		suspects[i] = suspect{index: i, unsucceeded: !ok, known: len(t.evidence.byPart[p]) > 1, succeeded: at}
	}
	t.mu.Unlock()
	first := func(x, y bool) int {
		switch {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	}
	slices.SortStableFunc(suspects, func(x, y suspect) int {
		return cmp.Or(first(x.unsucceeded, y.unsucceeded), first(x.known, y.known), cmp.Compare(x.succeeded, y.succeeded))
	})
	order := make([]int, len(parts))
	for i, s := range suspects {
		order[i] = s.index
	}
	return order
}

// Active returns the parts in quarantine, by name.
func (t *Tracker) Active() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := make([]Quarantine, 0, len(t.active))
	for _, e := range t.active {
		active = append(active, e.Quarantine)
	}
	sort.Slice(active, func(i, j int) bool { return active[i].Part < active[j].Part })
	return active
}

// Expire discards old evidence and ends the quarantines that no call has asked for
// within forgetAfter. It returns their parts.
func (t *Tracker) Expire(now time.Duration) (forgotten []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evidence.expire(now)
	t.countCrashes()
	for p, e := range t.active {
		if now-e.AskedAt > forgetAfter && now > e.Until {
			delete(t.active, p)
			forgotten = append(forgotten, p)
		}
	}
	return forgotten
}

// Merge takes over a quarantine of another VM or of the store, whose clock may be wrong:
// it began by now, and ends no later than one that a call has just renewed. Merge reports
// whether the quarantine is new, or the success that refutes it.
func (t *Tracker) Merge(q Quarantine, now time.Duration) (added bool, refuted *Success) {
	q.Since, q.AskedAt, q.Until = min(q.Since, now), min(q.AskedAt, now), min(q.Until, now+q.Hold)
	t.mu.Lock()
	defer t.mu.Unlock()
	if at, ok := t.lastSuccess(q.Part); ok && at > q.Since {
		return false, &Success{Part: q.Part, At: at}
	}
	if now-q.AskedAt > forgetAfter && now > q.Until || q.Hold < firstHold || q.Hold > maxHold {
		return false, nil
	}
	e := t.active[q.Part]
	if e == nil {
		if len(t.active) >= maxQuarantines {
			return false, nil
		}
		t.active[q.Part] = &entry{Quarantine: q}
		return true, nil
	}
	e.Since = min(e.Since, q.Since)
	if q.Hold > e.Hold {
		e.Hold, e.trialAt = q.Hold, 0
	}
	if q.Until > e.Until+updateStep {
		e.Until = q.Until
	}
	if q.AskedAt > e.AskedAt+updateStep {
		e.AskedAt = q.AskedAt
	}
	return false, nil
}
