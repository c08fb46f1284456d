package quarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// newSoundTracker returns a Tracker that has seen calls without suspect parts succeed.
func newSoundTracker() *Tracker {
	t := NewTracker()
	for i := range 200 {
		t.RecordOutcome([]string{"sound"}, true, true, time.Duration(i)*100*time.Millisecond)
	}
	return t
}

// scriptedBreak is a break in a test: of an engine, for a request, at a time in
// milliseconds, of a call with parts.
type scriptedBreak struct {
	engine  string
	request uint64
	at      int
	parts   string
}

func (s scriptedBreak) asBreak() Break {
	return Break{Engine: Engine{ID: s.engine}, Request: s.request, At: time.Duration(s.at) * time.Millisecond, Head: true, Parts: strings.Fields(s.parts)}
}

func partsOf(active []Quarantine) string {
	var names []string
	for _, q := range active {
		names = append(names, q.Part)
	}
	return strings.Join(names, " ")
}

// Each rule keeps a sound part from being refused, or lets one that crashes engines be
// found.
func TestWhatPutsAPartInQuarantine(t *testing.T) {
	three := []scriptedBreak{{"e1", 1, 1000, "p"}, {"e2", 2, 2000, "p"}, {"e3", 3, 3000, "p"}}
	tests := []struct {
		name   string
		breaks []scriptedBreak
		// before and after are called before and after the breaks.
		before, after func(t *Tracker)
		want          string
	}{
		{"three engines, requests and instants", three, nil, nil, "p"},
		{"two engines", []scriptedBreak{{"e1", 1, 1000, "p"}, {"e2", 2, 2000, "p"}, {"e2", 3, 3000, "p"}}, nil, nil, ""},
		{"two requests", []scriptedBreak{{"e1", 1, 1000, "p"}, {"e2", 2, 2000, "p"}, {"e3", 2, 3000, "p"}}, nil, nil, ""},
		{"two instants", []scriptedBreak{{"e1", 1, 1000, "p"}, {"e2", 2, 2000, "p"}, {"e3", 3, 2100, "p"}}, nil, nil, ""},
		{"one instant, many engines", []scriptedBreak{
			{"e1", 1, 1000, "p"}, {"e2", 2, 1010, "p"}, {"e3", 3, 1020, "p"}, {"e4", 4, 1030, "p"}, {"e5", 5, 1040, "p"}, {"e6", 6, 1050, "p"},
		}, nil, nil, ""},
		{"two instants, many engines", []scriptedBreak{
			{"e1", 1, 1000, "p"}, {"e2", 2, 1010, "p"}, {"e3", 3, 1020, "p"}, {"e4", 4, 1030, "p"}, {"e5", 5, 1500, "p"},
		}, nil, nil, "p"},
		{"another call succeeded between", three, nil, func(t *Tracker) { t.RecordSuccess([]string{"p"}, 1500*time.Millisecond) }, ""},
		{"another call had succeeded before", three, func(t *Tracker) { t.RecordSuccess([]string{"p"}, 500*time.Millisecond) }, nil, ""},
		{"another call had succeeded before, five engines", append(three[:3:3], scriptedBreak{"e4", 4, 4000, "p"}, scriptedBreak{"e5", 5, 5000, "p"}),
			func(t *Tracker) { t.RecordSuccess([]string{"p"}, 500*time.Millisecond) }, nil, "p"},
		{"an engine answered afterwards", three[:2], nil, func(t *Tracker) {
			t.RecordAnswer(Engine{ID: "e1"}, 1400*time.Millisecond)
			t.RecordBreak(three[2].asBreak())
		}, ""},
		{"an engine and its next incarnation answered afterwards", three[:2], nil, func(t *Tracker) {
			t.RecordAnswer(Engine{ID: "e1"}, 1400*time.Millisecond)
			t.RecordAnswer(Engine{ID: "e1", Born: 7}, 2900*time.Millisecond)
			t.RecordBreak(three[2].asBreak())
		}, "p"},
		{"an engine's last words were read late", three[:2], nil, func(t *Tracker) {
			t.RecordAnswer(Engine{ID: "e1"}, 1200*time.Millisecond)
			t.RecordBreak(three[2].asBreak())
		}, "p"},
		{"a new incarnation answered", three[:2], nil, func(t *Tracker) {
			t.RecordAnswer(Engine{ID: "e1", Born: 7}, 1400*time.Millisecond)
			t.RecordBreak(three[2].asBreak())
		}, "p"},
		{"other calls are broken off as often", three, func(t *Tracker) {
			for i := range 200 {
				t.RecordOutcome([]string{"other"}, false, true, time.Duration(i)*100*time.Millisecond)
			}
		}, nil, ""},
		{"nested parts", []scriptedBreak{{"e1", 1, 1000, "o p i"}, {"e2", 2, 2000, "o p j"}, {"e3", 3, 3000, "o p i"}}, nil, nil, "p"},
		{"nested parts, always together", []scriptedBreak{{"e1", 1, 1000, "o p"}, {"e2", 2, 2000, "o p"}, {"e3", 3, 3000, "o p"}}, nil, nil, "p"},
		{"the outer of two parts, found after the inner one", []scriptedBreak{
			{"e1", 1, 1000, "p i"}, {"e2", 2, 2000, "p i"}, {"e3", 3, 3000, "p i"}, {"e4", 4, 4000, "p j"}, {"e5", 5, 5000, "p j"},
		}, nil, nil, "i p"},
		{"a bystander on one of the engines", []scriptedBreak{
			{"e1", 1, 1000, "p"}, {"e1", 11, 1000, "x"}, {"e2", 2, 2000, "p"}, {"e3", 3, 3000, "p"},
		}, nil, nil, "p"},
		{"unrelated parts on the same engines", []scriptedBreak{
			{"e1", 11, 1000, "x"}, {"e1", 1, 1000, "p"}, {"e2", 12, 2000, "x"}, {"e2", 2, 2000, "p"}, {"e3", 13, 3000, "x"}, {"e3", 3, 3000, "p"},
		}, nil, nil, ""},
		{"unrelated parts on the same engines, one more crash", []scriptedBreak{
			{"e1", 11, 1000, "x"}, {"e1", 1, 1000, "p"}, {"e2", 12, 2000, "x"}, {"e2", 2, 2000, "p"}, {"e3", 13, 3000, "x"}, {"e3", 3, 3000, "p"},
			{"e4", 4, 4000, "p"},
		}, nil, nil, "p"},
		{"two parts that crash engines", []scriptedBreak{
			{"e1", 1, 1000, "p"}, {"e2", 2, 2000, "p"}, {"e3", 3, 3000, "p"}, {"e4", 4, 4000, "q"}, {"e5", 5, 5000, "q"}, {"e6", 6, 6000, "q"},
		}, nil, nil, "p q"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newSoundTracker()
			if tt.before != nil {
				tt.before(tr)
			}
			var last time.Duration
			for i, s := range tt.breaks {
				b := s.asBreak()
				last = b.At
				if tt.after != nil && i == len(tt.breaks)-1 && len(tt.breaks) == 3 {
					tt.after(tr)
				}
				_, added := tr.RecordBreak(b)
				require.True(t, added)
				if next := i + 1; next == len(tt.breaks) || tt.breaks[next].at > s.at {
					tr.Review(b.At + ReviewDelay)
				}
			}
			if tt.after != nil && len(tt.breaks) < 3 {
				tt.after(tr)
			}
			tr.Review(last + second)
			require.Equal(t, tt.want, partsOf(tr.Active()))
		})
	}
}

// The times of crashes tell a part that crashes engines from chance if there are no other
// calls, and only if it is known that the engines have ended.
func TestTimesOfCrashesWithoutOtherCalls(t *testing.T) {
	const soon = 5 * time.Millisecond
	tests := []struct {
		name      string
		sinceHead time.Duration
		crashes   int
		gap       time.Duration
		change    func(tr *Tracker, b *Break)
		refused   bool
	}{
		{"soon after the heads", soon, 3, second, nil, true},
		{"after some time, often", 250 * time.Millisecond, 5, second, nil, true},
		{"after some time", 250 * time.Millisecond, 3, second, nil, false},
		{"not known when", 0, 8, second, nil, false},
		{"long after the heads", 3 * second, 8, 2 * second, nil, false},
		{"of engines that have just started", soon, 3, second, func(_ *Tracker, b *Break) { b.Uptime = 40 * time.Millisecond }, false},
		{"of engines that have run for an unknown time", soon, 8, second, func(_ *Tracker, b *Break) { b.Uptime = 0 }, false},
		{"at one instant", soon, 8, time.Millisecond, nil, false},
		{"the engines may run", soon, 8, second, func(_ *Tracker, b *Break) { b.Engine.Born = 1 }, false},
		{"without heads", soon, 8, second, func(_ *Tracker, b *Break) { b.Head = false }, false},
		{"many calls each time", 500 * time.Millisecond, 4, second, func(tr *Tracker, b *Break) {
			for i := range uint64(8) {
				other := *b
				other.Request += 100 * (i + 1)
				tr.RecordBreak(other)
			}
		}, false},
		{"other calls crash engines as well", soon, 8, second, func(tr *Tracker, b *Break) {
			other := *b
			other.Engine.ID, other.Parts = "other "+b.Engine.ID, []string{fmt.Sprint("other ", b.Request)}
			tr.RecordBreak(other)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := NewTracker()
			now := second
			for i := range tt.crashes {
				b := scriptedBreak{fmt.Sprint("e", i), uint64(i), 0, "o p"}.asBreak()
				b.At, b.SinceHead, b.Uptime = now, tt.sinceHead, 10*second
				if tt.change != nil {
					tt.change(tr, &b)
				}
				tr.RecordBreak(b)
				tr.RecordEnd(Engine{ID: b.Engine.ID})
				tr.Review(now + settleDelay)
				now += tt.gap
			}
			tr.Review(now + settleDelay)
			require.Equal(t, tt.refused, len(tr.Active()) > 0, "%v", tr.Active())
		})
	}
}

// Two crashes that an answer may still refute are not enough with a third.
// A crash that an answer refutes must not count, however many others are kept in case the
// next incarnations of their engines prove them.
func TestRefutedCrashesDoNotCount(t *testing.T) {
	tr := newSoundTracker()
	for i := range maxCrashes + 1 {
		b := scriptedBreak{fmt.Sprint("e", i), uint64(i), 1000, "p"}.asBreak()
		tr.RecordBreak(b)
		require.True(t, tr.RecordAnswer(b.Engine, b.At+settleDelay))
	}
	require.Empty(t, tr.evidence.crashes)
	tr.Expire(second + restorePeriod + 1)
	require.False(t, tr.HasEvidence())
}

func TestUnsettledCrashesWait(t *testing.T) {
	tr := newSoundTracker()
	for i, at := range []int{1000, 1260, 1520} {
		b := scriptedBreak{fmt.Sprint("e", i), uint64(i), at, "p"}.asBreak()
		tr.RecordBreak(b)
	}
	require.Empty(t, tr.Review(1640*time.Millisecond))
	require.Len(t, tr.Review(1700*time.Millisecond), 1)
}

// quarantined returns a Tracker with part "p" in quarantine since 3 s.
func quarantined(t *testing.T) *Tracker {
	t.Helper()
	tr := newSoundTracker()
	for i := range 3 {
		b := scriptedBreak{fmt.Sprint("e", i), uint64(i), 1000 * (i + 1), "p"}.asBreak()
		tr.RecordBreak(b)
	}
	require.Len(t, tr.Review(3*second+ReviewDelay), 1)
	return tr
}

func TestTrialsBecomeRarer(t *testing.T) {
	tr := quarantined(t)
	now, parts := 3*second+ReviewDelay, []string{"o", "p"}
	for i, hold := range []time.Duration{20 * second, 40 * second, 80 * second, 160 * second, 300 * second, 300 * second} {
		part, after := tr.Check(parts, now)
		require.Equal(t, "p", part)
		require.Equal(t, hold, after)
		require.False(t, tr.StartTrial(parts, now+hold-1), "too early")
		now += hold
		require.True(t, tr.StartTrial(parts, now))
		require.False(t, tr.StartTrial(parts, now+1), "one at a time")
		_, after = tr.Check(parts, now)
		require.Equal(t, minRetryAfter, after)
		b := Break{Engine: Engine{ID: fmt.Sprint("t", i)}, Request: uint64(100 + i), Parts: parts, Head: true, At: now}
		v, _ := tr.RecordBreak(b)
		require.Nil(t, v.Case)
		require.NotNil(t, v.Quarantine)
	}
	// A trial without an outcome is made again.
	now += maxHold
	require.True(t, tr.StartTrial(parts, now))
	require.True(t, tr.StartTrial(parts, now+trialTimeout))
	_, ended := tr.RecordSuccess(parts, now+second)
	require.Equal(t, []string{"p"}, ended)
	part, _ := tr.Check(parts, now)
	require.Empty(t, part)
}

// Calls that were sent before a part was put in quarantine do not prolong the hold.
func TestLateBreaksDoNotDoubleTheHold(t *testing.T) {
	tr := quarantined(t)
	b := scriptedBreak{"e9", 9, 4000, "p"}.asBreak()
	v, added := tr.RecordBreak(b)
	require.True(t, added)
	require.Nil(t, v.Quarantine)
	require.Equal(t, firstHold, tr.Active()[0].Hold)
	require.Equal(t, 4*second+firstHold, tr.Active()[0].Until)
}

func TestMergeOfQuarantines(t *testing.T) {
	q := Quarantine{Part: "p", Since: second, Until: 30 * second, Hold: 20 * second, AskedAt: 9 * second}
	tr := NewTracker()
	added, _ := tr.Merge(q, 10*second)
	require.True(t, added)
	// What VMs tell each other again and again grows by the delays of messages.
	for range 100 {
		q.Until, q.AskedAt = tr.Active()[0].Until+10*time.Millisecond, tr.Active()[0].AskedAt+10*time.Millisecond
		added, _ = tr.Merge(q, 10*second)
		require.False(t, added)
	}
	require.Equal(t, 30*second, tr.Active()[0].Until)
	require.Equal(t, 9*second, tr.Active()[0].AskedAt)
	q.Hold, q.Until = 40*second, 60*second
	tr.Merge(q, 20*second)
	require.Equal(t, 60*second, tr.Active()[0].Until)
	require.Equal(t, 40*second, tr.Active()[0].Hold)
	// A VM that knows of a success tells the one that does not.
	tr.RecordSuccess([]string{"p"}, 61*second)
	added, refuted := tr.Merge(q, 62*second)
	require.False(t, added)
	require.Equal(t, &Success{Part: "p", At: 61 * second}, refuted)
	require.Empty(t, tr.Active())
}

// A part that no call asks for any more is forgotten.
func TestQuarantinesAreForgotten(t *testing.T) {
	tr := quarantined(t)
	asked := time.Minute
	tr.Check([]string{"p"}, asked)
	require.Empty(t, tr.Expire(asked+forgetAfter))
	require.Equal(t, []string{"p"}, tr.Expire(asked+forgetAfter+1))
	added, _ := tr.Merge(Quarantine{Part: "p", Since: second, Until: 23 * second, Hold: firstHold, AskedAt: asked}, asked+forgetAfter+1)
	require.False(t, added, "it does not come back from another VM")
}

// The state stays bounded, however many engines crash and parts occur.
func TestStateIsBounded(t *testing.T) {
	tr := NewTracker()
	for i := range 20000 {
		at := time.Duration(i) * time.Millisecond
		part := fmt.Sprint("p", i%9000)
		tr.RecordBreak(Break{Engine: Engine{ID: fmt.Sprint("e", i/40)}, Request: uint64(i), Parts: []string{"o", part}, Head: i%3 == 0, At: at})
		tr.RecordOutcome([]string{part}, true, true, at)
		if i%7 == 0 {
			tr.RecordSuccess([]string{part}, at)
		}
	}
	require.LessOrEqual(t, len(tr.evidence.crashes), maxCrashes)
	require.LessOrEqual(t, len(tr.evidence.byPart), maxCrashes*maxBreaksPerCrash+1)
	require.LessOrEqual(t, len(tr.evidence.byPart["o"]), maxBreaksPerPart)
	require.LessOrEqual(t, len(tr.undecided), maxUndecided)
	require.LessOrEqual(t, len(tr.active), maxQuarantines)
	require.LessOrEqual(t, len(tr.succeeded.current)+len(tr.succeeded.previous), 2*successMemory)
	tr.Expire(time.Hour)
	require.Empty(t, tr.evidence.crashes)
	require.Empty(t, tr.evidence.byPart)
}

// The state stays bounded, however many parts the prompts of calls have.
func TestStateOfPromptsWithManyPartsIsBounded(t *testing.T) {
	tr := NewTracker()
	parts := make([]string, 2000)
	for i := range 2000 {
		at := time.Duration(i) * time.Millisecond
		for j := range parts {
			parts[j] = fmt.Sprint("p", i*len(parts)+j)
		}
		tr.RecordBreak(Break{Engine: Engine{ID: fmt.Sprint("e", i)}, Request: uint64(i), Parts: slices.Clone(parts), Head: true, At: at})
		tr.RecordOutcome(parts, true, true, at)
		tr.RecordSuccess(parts, at-time.Second)
	}
	require.LessOrEqual(t, tr.evidence.parts, maxEvidenceParts)
	require.LessOrEqual(t, len(tr.evidence.byPart), maxEvidenceParts)
	require.LessOrEqual(t, tr.outcomes.parts, maxOutcomeParts)
	require.LessOrEqual(t, len(tr.succeeded.current)+len(tr.succeeded.previous), 2*successMemory)
	tr.Expire(time.Hour)
	require.Zero(t, tr.evidence.parts)
	require.Empty(t, tr.evidence.byPart)
}

// Parts of a prompt that are told one after the other must come together again, in the order
// of the prompt.
func TestPartsOfABreakAreMerged(t *testing.T) {
	tr := newSoundTracker()
	tell := func(i, at int, parts string, positions ...int) bool {
		b := scriptedBreak{fmt.Sprint("e", i), uint64(i), at, parts}.asBreak()
		b.Positions = positions
		_, added := tr.RecordBreak(b)
		return added
	}
	for i, at := range []int{1000, 2000, 3000} {
		require.True(t, tell(i, at, "inner", 7))
		require.True(t, tell(i, at, "first p", 0, 6))
		require.False(t, tell(i, at, "p inner", 6, 7), "nothing is new")
		require.Equal(t, []string{"first", "p", "inner"}, tr.evidence.crashes[Engine{ID: fmt.Sprint("e", i)}].breaks[0].Parts)
	}
	require.Len(t, tr.Review(4*second), 1)
	require.Equal(t, "inner", partsOf(tr.Active()))
}

// A part must not be refused for crashes that a part of fewer calls explains as well, whichever
// call is looked at first.
func TestPartOfFewerCallsIsPreferred(t *testing.T) {
	tr := newSoundTracker()
	tr.RecordBreak(scriptedBreak{"e1", 11, 1000, "first"}.asBreak())
	for i := range 3 {
		tr.RecordBreak(scriptedBreak{fmt.Sprint("e", i+1), uint64(i), 1000 * (i + 1), "first p"}.asBreak())
	}
	tr.Review(4 * second)
	require.Equal(t, "p", partsOf(tr.Active()))
}

// BenchmarkRecordSuccess is the cost of a call whose prompt has many parts.
func BenchmarkRecordSuccess(b *testing.B) {
	for _, n := range []int{3, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tr, parts := NewTracker(), make([]string, n)
			for i := range parts {
				parts[i] = fmt.Sprintf("%08x", i)
			}
			for i := range b.N {
				tr.RecordOutcome(parts, true, true, time.Duration(i))
				tr.RecordSuccess(parts, time.Duration(i))
			}
		})
	}
}
