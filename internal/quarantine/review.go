package quarantine

import "time"

// review is a round of decisions on the same evidence. It weighs each part and crash once:
// prompts may have thousands of parts in common.
type review struct {
	tracker   *Tracker
	now       time.Duration
	cases     map[string]Case
	explained map[*crash]bool
}

func newReview(t *Tracker, now time.Duration) *review {
	return &review{tracker: t, now: now, cases: make(map[string]Case), explained: make(map[*crash]bool)}
}

// isExplained reports whether a crash follows from a part in quarantine.
func (r *review) isExplained(c *crash) bool {
	if len(r.tracker.active) == 0 {
		return false
	}
	explained, ok := r.explained[c]
	if !ok {
		explained = r.tracker.evidence.explained(c, r.tracker.inQuarantine)
		r.explained[c] = explained
	}
	return explained
}

// weigh returns the case against a part.
func (r *review) weigh(part string) Case {
	k, ok := r.cases[part]
	if !ok {
		k = r.tracker.evidence.caseAgainst(part, r.now, r.isExplained)
		_, k.known = r.tracker.lastSuccess(part)
		r.cases[part] = k
	}
	return k
}

// decide returns the part to quarantine after a break, if any. Among the parts of the
// call it prefers the one with the most crashed engines, and of nested parts the
// innermost: other calls share the outer ones. A tie with a part of unrelated calls is
// decided by the next crash.
func (r *review) decide(b *Break) (Case, bool) {
	e := r.tracker.evidence
	var best Case
	found := false
	for _, p := range b.Parts {
		if len(e.byPart[p]) < minEngines || r.tracker.inQuarantine(p) {
			continue
		}
		if k := r.weigh(p); k.convincing() && (!found || k.Engines > best.Engines-outerPartLead) {
			best, found = k, true
		}
	}
	if !found || best.Engines < manyEngines && e.tied(best) {
		return Case{}, false
	}
	e.countOthers(&best, r.isExplained)
	return best, !r.tracker.outcomes.mayBeChance(best, r.tracker.hash(best.Part))
}

// best returns the best case after any of the breaks, and the break.
func (r *review) best(breaks []*Break) (best Case, at int, found bool) {
	for i, b := range breaks {
		if r.now-b.At < ReviewDelay {
			continue
		}
		if k, ok := r.decide(b); ok && (!found || k.explainsMore(best)) {
			best, at, found = k, i, true
		}
	}
	return best, at, found
}

// explainsMore reports whether a case is to be preferred to another one: that of a part which
// explains clearly more crashes, or the same with fewer calls.
func (k Case) explainsMore(other Case) bool {
	if lead := k.Engines - other.Engines; lead >= outerPartLead || lead <= -outerPartLead {
		return lead > 0
	}
	return k.Requests < other.Requests
}
