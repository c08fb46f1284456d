package admission

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/placement"
	"github.com/marjoramrock/marjoramrock/internal/quota"
	"github.com/stretchr/testify/require"
)

const (
	simEngines, simSlots, simMemory, simEngineQueue = 20, 32, 105000, 96
	simParts, simPartTokens                         = 40, 6300
	simLength, faultFrom, faultUntil                = 8 * time.Second, 2 * time.Second, 6 * time.Second
	simTimeout                                      = 6 * time.Second
	// simPatience is how long a refused caller goes on to return.
	simPatience = 4 * time.Second
)

// kind is a kind of calls of one team.
type kind struct {
	name, team  string
	priority    int
	own, output int
	shared      bool
	goal        time.Duration
	perSecond   float64
}

var kinds = []kind{
	{"urgent", "a", 0, 680, 200, false, 600 * time.Millisecond, 180},
	{"long", "b", 1, 2300, 600, true, time.Second, 150},
	{"bulk", "hot", 1, 680, 200, false, time.Second, 300},
	{"bulk", "rare", 1, 680, 200, false, time.Second, 30},
}

// scenario is a fault between faultFrom and faultUntil.
type scenario struct {
	name string
	// burst multiplies the rate of the kind with index burstKind.
	burst     float64
	burstKind int
	// lost engines fail. Turns of loading engines refuse calls for two seconds each.
	lost, loading int
	// vms is the number of VMs, 12 if it is zero.
	vms int
	// minShare and minWorst are the least shares of the kinds that are served in the goal,
	// over all and in the worst 2 s.
	minShare, minWorst [4]float64
}

// policy is a way to place calls. The VMs of a policy learn of each other's calls late,
// or at once if there is only one.
type policy struct {
	name string
	vms  int
	// queued is set if calls wait in a Queue, ordered if by its order and not by arrival.
	queued, ordered bool
}

// tally is what the callers of one kind got.
type tally struct {
	calls, served, inGoal, refusals, lost int
	bySecond                              [simLength / time.Second][2]int
}

func (t *tally) share() float64 { return float64(t.inGoal) / float64(max(1, t.calls)) }

// worst returns the least share of calls in the goal among those that arrived within 2 s.
func (t *tally) worst() float64 {
	least := 1.0
	for i := range len(t.bySecond) - 1 {
		a, b := t.bySecond[i], t.bySecond[i+1]
		least = min(least, float64(a[1]+b[1])/float64(max(1, a[0]+b[0])))
	}
	return least
}

type simCall struct {
	*kind
	kindIndex             int
	part                  int
	firstAt, startedAt    time.Duration
	admission             Call
	attempts              int
	excluded              map[int]bool
	waiter                *Waiter
	release               func(time.Duration)
	vm                    *simVM
	engine                int
	preempted, begun, end bool
}

type simVM struct {
	table   *backend.Table
	queue   *Queue
	retries *quota.RetryBudget
	waiting map[*Waiter]*simCall
}

type simEngine struct {
	loadingUntil     time.Duration
	lost             bool
	running, waiting []*simCall
	cached           map[int]bool
}

type simEvent struct {
	at  time.Duration
	n   int
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs a scenario against simulated engines.
type simulation struct {
	scenario
	policy
	random *rand.Rand
	// calls are the random numbers of arrivals, which are the same for all policies.
	calls   []*rand.Rand
	now     time.Duration
	events  simEvents
	n       int
	vms     []*simVM
	engines []*simEngine
	tallies []tally
}

func (s *simulation) after(d time.Duration, run func()) {
	s.n++
	heap.Push(&s.events, simEvent{s.now + d, s.n, run})
}

func play(sc scenario, p policy, seed uint64) []tally {
	s := &simulation{scenario: sc, policy: p, random: rand.New(rand.NewPCG(seed, 1)), tallies: make([]tally, len(kinds))}
	for i := range simEngines {
		s.engines = append(s.engines, &simEngine{cached: map[int]bool{i: true, i + simEngines: true}})
	}
	for range p.vms {
		v := &simVM{table: backend.NewTable(), queue: NewQueue(), waiting: make(map[*Waiter]*simCall)}
		v.retries = quota.NewRetryBudget(0.16, 10*time.Second, func() float64 { return 40 / float64(p.vms) })
		v.table.SetVMs(p.vms)
		for i := range simEngines {
			v.table.Put(backend.Server{ID: strconv.Itoa(i), Born: int64(i), Service: "s", Slots: simSlots})
		}
		s.vms = append(s.vms, v)
		s.every(25*time.Millisecond, func() { s.wake(v, 4) })
	}
	if p.vms > 1 {
		for i := range s.vms {
			s.every(300*time.Millisecond, func() { s.report(i) })
		}
	}
	for i := range kinds {
		s.calls = append(s.calls, rand.New(rand.NewPCG(seed, uint64(i+2))))
		s.arrivals(i)
	}
	s.after(faultFrom, func() {
		for i := range s.lost {
			s.engines[i].lost = true
		}
	})
	s.after(faultUntil, func() {
		for i := range s.lost {
			s.engines[i].lost = false
		}
	})
	for turn := 0; s.loading > 0 && turn*s.loading < simEngines; turn++ {
		s.after(faultFrom+time.Duration(turn)*2*time.Second, func() {
			for i := turn * s.loading; i < min(simEngines, (turn+1)*s.loading); i++ {
				s.engines[i].loadingUntil = s.now + 2*time.Second
			}
		})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s.tallies
}

func (s *simulation) every(period time.Duration, run func()) {
	var tick func()
	tick = func() {
		run()
		if s.now < simLength+2*simPatience {
			s.after(period, tick)
		}
	}
	s.after(time.Duration(s.random.Float64()*float64(period)), tick)
}

// report tells the other VMs the loads of one.
func (s *simulation) report(i int) {
	loads := s.vms[i].table.Loads()
	for j, o := range s.vms {
		if i != j {
			o.table.SetPeerLoads(strconv.Itoa(i), loads, s.now)
		}
	}
}

func (s *simulation) arrivals(i int) {
	k := &kinds[i]
	rate := k.perSecond
	if s.burst > 0 && i == s.burstKind && s.now >= faultFrom && s.now < faultUntil {
		rate *= s.burst
	}
	s.after(time.Duration(s.calls[i].ExpFloat64()/rate*float64(time.Second)), func() {
		if s.now >= simLength {
			return
		}
		c := &simCall{kind: k, kindIndex: i, part: s.calls[i].IntN(simParts), firstAt: s.now}
		s.tallies[i].calls++
		s.tallies[i].bySecond[s.now/time.Second][0]++
		s.arrive(c)
		s.arrivals(i)
	})
}

// arrive is the arrival of a call, or of one that returns, at any of the VMs.
func (s *simulation) arrive(c *simCall) {
	c.vm, c.startedAt, c.attempts, c.excluded, c.waiter = s.vms[s.random.IntN(len(s.vms))], s.now, 0, make(map[int]bool), nil
	prefill := time.Duration(c.own/30) * time.Millisecond
	c.admission = Call{
		Priority: c.priority, Team: c.team, Route: c.name, Tokens: c.own + c.output,
		GoalStart: s.now + c.goal - prefill, LatestStart: s.now + min(simTimeout/2, 4*c.goal),
	}
	if c.shared {
		c.admission.Tokens += simPartTokens
	}
	if !s.ordered {
		c.admission = Call{GoalStart: math.MaxInt64, LatestStart: c.admission.LatestStart}
	}
	if s.queued {
		c.vm.queue.Arrive(&c.admission, s.now)
	}
	s.place(c)
}

// look selects an engine as the gateway does.
func (s *simulation) look(c *simCall) (engine int, retry, ok bool) {
	statuses := c.vm.table.Statuses("s", s.now)
	slices.SortFunc(statuses, func(a, b backend.Status) int { return int(a.Server.Born - b.Server.Born) })
	v := &placement.View{VMs: s.policy.vms, KnownTokens: map[string]int{}, MaxOutdated: time.Minute}
	ids := make([]int, len(statuses))
	for i, st := range statuses {
		id := int(st.Server.Born)
		ids[i] = id
		sv := placement.Server{Load: st.Load, Slots: simSlots, TokensPerMilli: 30, Version: 1, OutdatedFor: -1, InBackoff: st.InBackoff, Excluded: c.excluded[id]}
		if s.queued {
			sv.Reloading = s.policy.vms == 1 && s.now < s.engines[id].loadingUntil
			sv.Refusing, sv.Accepting, sv.MemoryTokens, sv.CapacityTokens = st.Refusing, st.Accepting, st.HeldTokens, simMemory
		}
		if c.shared && s.engines[id].cached[c.part] {
			sv.HeldTokens = simPartTokens
		}
		v.Servers = append(v.Servers, sv)
	}
	pc := &placement.Call{Model: "m", InputTokens: c.own, LatencyGoal: c.goal}
	if c.shared {
		pc.SharedTokens = simPartTokens
		pc.InputTokens += simPartTokens
	}
	if s.queued {
		pc.MemoryTokens, pc.Priority = c.own+c.output, c.priority
		pc.HeadroomTokens = c.vm.queue.Headroom(pc.MemoryTokens, s.now)
	}
	pc.AvoidIdle = s.queued && c.vm.queue.AvoidIdle(c.attempts, s.now, s.random.Float64)
	choice, found := placement.Choose(pc, v, s.random.Float64)
	if !found || s.queued && choice.Free == 0 {
		return 0, false, false
	}
	if c.attempts > 0 && !c.vm.retries.Take("s", s.now, 0.15) {
		return 0, true, false
	}
	return ids[choice.Index], false, true
}

func (s *simulation) place(c *simCall) {
	q := c.vm.queue
	retry := false
	if !s.queued || !q.MustWait(&c.admission, s.now) {
		engine, needsRetry, ok := s.look(c)
		if ok {
			q.BeginAtOnce(s.now)
			s.send(c, engine)
			return
		}
		retry = needsRetry
	}
	switch {
	case s.queued && retry && s.now >= c.admission.GoalStart, !s.queued && (retry || s.now >= c.startedAt+c.goal/2):
		s.refuse(c, 150*time.Millisecond)
	case !s.queued:
		s.after(25*time.Millisecond, func() { clear(c.excluded); s.place(c) })
	default:
		c.admission.NeedsRetry = retry
		w, displaced, r := q.Enter(c.admission, max(16, simEngines*simSlots/len(s.vms)), s.now, s.random.Float64)
		if displaced != nil {
			s.refuse(c.vm.waiting[displaced], q.Refuse(displaced, Full, s.now, s.random.Float64).RetryAfter)
			delete(c.vm.waiting, displaced)
		}
		if r != nil {
			s.refuse(c, r.RetryAfter)
			return
		}
		c.waiter = w
		c.vm.waiting[w] = c
	}
}

// wake lets the waiting calls of a VM look for an engine, up to a number in vain.
func (s *simulation) wake(v *simVM, looks int) {
	noRetry := false
	for _, w := range v.queue.Order(s.now) {
		c := v.waiting[w]
		if c == nil || noRetry && w.NeedsRetry && s.now < w.GoalStart {
			continue
		}
		if s.now >= w.LatestStart || w.NeedsRetry && s.now >= w.GoalStart {
			delete(v.waiting, w)
			s.refuse(c, v.queue.Refuse(w, TooLate, s.now, s.random.Float64).RetryAfter)
			continue
		}
		if looks <= 0 {
			continue
		}
		clear(c.excluded)
		engine, retry, ok := s.look(c)
		if w.NeedsRetry = retry; !ok {
			looks--
			noRetry = noRetry || retry
			continue
		}
		v.queue.Begin(w, s.now)
		delete(v.waiting, w)
		s.send(c, engine)
	}
}

// refuse ends a call, whose caller returns if it is patient.
func (s *simulation) refuse(c *simCall, after time.Duration) {
	t := &s.tallies[c.kindIndex]
	t.refusals++
	if s.now+after-c.firstAt > simPatience {
		t.lost++
		return
	}
	s.after(after, func() { s.arrive(c) })
}

func (s *simulation) send(c *simCall, engine int) {
	id, v := strconv.Itoa(engine), c.vm
	if c.attempts++; c.attempts == 1 {
		v.retries.RecordCall("s", s.now)
	}
	e := s.engines[engine]
	v.table.BeginProbe(id, s.now)
	if e.lost || s.now < e.loadingUntil || len(e.waiting) >= simEngineQueue {
		c.excluded[engine] = true
		if e.lost {
			n, backoff := v.table.RecordFailure(id, s.now)
			s.after(200*time.Millisecond, func() {
				for _, o := range s.vms {
					if o != v {
						o.table.RecordPeerFailure(id, int64(engine), n, backoff, s.now)
					}
				}
			})
		} else if s.queued {
			v.table.RecordRefusal(id, s.now)
			v.queue.RecordRefusal(s.now)
		}
		s.after(2*time.Millisecond, func() { s.place(c) })
		return
	}
	v.table.RecordAccepted(id, s.now)
	v.table.RecordSuccess(id, s.now)
	v.table.Begin(id, 0)
	var shared []backend.Part
	if c.shared {
		shared = []backend.Part{{Key: strconv.Itoa(c.part), Tokens: simPartTokens}}
	}
	c.release, c.engine, c.begun, c.preempted, c.end = v.table.Hold(id, c.own+c.output, shared, s.now), engine, false, false, false
	e.waiting = append(e.waiting, c)
	s.step(e)
}

// used returns the tokens in the memory of an engine.
func (e *simEngine) used() int {
	n, parts := 0, make(map[int]bool)
	for _, c := range e.running {
		n += c.own
		if c.end {
			n += c.output
		}
		if c.shared && !parts[c.part] {
			parts[c.part] = true
			n += simPartTokens
		}
	}
	return n
}

// step begins waiting calls of an engine, the most urgent first.
func (s *simulation) step(e *simEngine) {
	for len(e.running) < simSlots && len(e.waiting) > 0 {
		best := slices.MinFunc(e.waiting, func(a, b *simCall) int { return a.priority - b.priority })
		if e.used()+best.own > simMemory {
			return
		}
		e.waiting = slices.DeleteFunc(e.waiting, func(c *simCall) bool { return c == best })
		e.running = append(e.running, best)
		s.run(e, best)
	}
}

func (s *simulation) run(e *simEngine, c *simCall) {
	prefill := time.Duration(c.own/30) * time.Millisecond
	if c.shared && !e.cached[c.part] {
		prefill += simPartTokens / 30 * time.Millisecond
		e.cached[c.part] = true
	}
	s.after(prefill, func() {
		c.begun = true
		if t := &s.tallies[c.kindIndex]; s.now-c.firstAt <= c.goal {
			t.inGoal++
			t.bySecond[c.firstAt/time.Second][1]++
		}
	})
	generates := time.Duration(400+s.random.IntN(600)) * time.Millisecond
	// The output has grown to its full length in the middle: an engine over its memory
	// then preempts the newest of the least urgent calls.
	s.after(prefill+generates/2, func() {
		c.end = true
		for e.used() > simMemory {
			last := e.running[0]
			for _, o := range e.running {
				if o.priority >= last.priority {
					last = o
				}
			}
			last.preempted = true
			s.tallies[last.kindIndex].lost++
			s.finish(e, last)
		}
	})
	s.after(prefill+generates, func() {
		if !c.preempted {
			s.tallies[c.kindIndex].served++
			s.finish(e, c)
		}
	})
}

func (s *simulation) finish(e *simEngine, c *simCall) {
	e.running = slices.DeleteFunc(e.running, func(o *simCall) bool { return o == c })
	c.vm.table.End(strconv.Itoa(c.engine))
	c.release(s.now)
	s.step(e)
	if s.queued {
		s.wake(c.vm, 2)
	}
}

// Callers must get what they got when one kind of calls surges, engines fail, or engines
// refuse calls while they load weights: the kinds that do not surge keep their share, and
// VMs with reports that lag come close to one queue that knows everything.
func TestLoads(t *testing.T) {
	all, others := [4]float64{0.97, 0.97, 0.97, 0.97}, [4]float64{0.97, 0.95, 0.6, 0.95}
	for _, sc := range []scenario{
		{name: "calm", minShare: all, minWorst: all},
		{name: "burst of bulk calls", burst: 2.4, burstKind: 2, minShare: others, minWorst: [4]float64{0.95, 0.9, 0.2, 0.9}},
		{name: "burst of long calls", burst: 2.4, burstKind: 1, minShare: all, minWorst: [4]float64{0.95, 0.9, 0.9, 0.9}},
		{name: "a quarter of the engines lost", lost: simEngines / 4, minShare: all, minWorst: [4]float64{0.95, 0.9, 0.9, 0.9}},
		{
			name: "engines load weights in turns, seen by 120 VMs", loading: simEngines / 5, vms: 120,
			minShare: [4]float64{0.92, 0.92, 0.92, 0.9}, minWorst: [4]float64{0.8, 0.8, 0.8, 0.8},
		},
		{name: "engines load weights in turns", loading: simEngines / 5, minShare: all, minWorst: [4]float64{0.95, 0.9, 0.9, 0.9}},
	} {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			vms, slack, maxRefusals := cmp.Or(sc.vms, 12), 0.03, 50
			if vms > 12 {
				slack, maxRefusals = 0.1, 400
			}
			results := make(map[string][]tally)
			for _, p := range []policy{{"at once", vms, false, false}, {"first come", vms, true, false}, {"queue", vms, true, true}, {"one queue", 1, true, true}} {
				results[p.name] = play(sc, p, 1)
				for i, x := range results[p.name] {
					t.Logf("%-10s %-6s %-4s: %5d calls, in goal %.3f, worst 2 s %.3f, served %.3f, lost %d, refusals %d",
						p.name, kinds[i].name, kinds[i].team, x.calls, x.share(), x.worst(), float64(x.served)/float64(x.calls), x.lost, x.refusals)
				}
			}
			queue, first, whole := results["queue"], results["first come"], results["one queue"]
			for i, x := range queue {
				require.GreaterOrEqual(t, x.share(), sc.minShare[i], "%s of %s", kinds[i].name, kinds[i].team)
				require.GreaterOrEqual(t, x.worst(), sc.minWorst[i], "%s of %s", kinds[i].name, kinds[i].team)
				if sc.burst == 0 || i != sc.burstKind {
					require.Greater(t, x.share(), whole[i].share()-slack, "%s of %s", kinds[i].name, kinds[i].team)
					require.Greater(t, x.share(), first[i].share()-0.02, "%s of %s", kinds[i].name, kinds[i].team)
				}
				require.Greater(t, x.share(), whole[i].share()-0.2, "%s of %s", kinds[i].name, kinds[i].team)
			}
			require.GreaterOrEqual(t, queue[0].share(), queue[2].share()-0.01, "urgent calls and less urgent ones")
			require.GreaterOrEqual(t, 2*queue[1].share(), queue[2].share(), "long calls and short ones")
			if sc.loading > 0 {
				require.Less(t, queue[0].refusals+queue[1].refusals+queue[2].refusals+queue[3].refusals, maxRefusals)
			}
		})
	}
}
