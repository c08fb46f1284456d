package placement

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/stretchr/testify/require"
)

// load is a sequence of calls on engines that this test simulates: each processes one
// prompt after another, generates for all its calls at once, and evicts the parts that
// were used least recently.
type load struct {
	engines        int
	tokensPerMilli float64
	capacityTokens int
	// callsPerSecond come at random, each with one of the shared parts, by a skewed
	// choice. A burst multiplies the rate of one part between two times.
	callsPerSecond          float64
	sharedParts             int
	sharedTokens, ownTokens int
	generates               time.Duration
	goal                    time.Duration
	length                  time.Duration
	burstFrom, burstUntil   time.Duration
	burstFactor             float64
	// lostAt is when lostEngines are lost with their caches.
	lostAt      time.Duration
	lostEngines int
}

// result is what callers got.
type result struct {
	calls int
	// inGoal counts the calls whose first event came within the goal.
	inGoal int
	// readTokens counts the shared tokens that engines processed, againTokens those of
	// them that some engine had processed before.
	readTokens, againTokens int
	// leastAgainTokens is what one cache of the size of all would have to process again.
	leastAgainTokens int
	// worstSecond is the lowest share of calls in the goal that arrived in a second.
	worstSecond float64
}

type simulatedEngine struct {
	lost    bool
	freeAt  time.Duration
	running []run
	// cached lists the parts, most recently used first.
	cached *list.List
	byID   map[string]*list.Element
	tokens int
}

type run struct {
	firstAt, endsAt time.Duration
	tokens          int
}

// use makes a part the most recently used one. Calls that are generating keep their own
// tokens; those that wait hold nothing.
func (e *simulatedEngine) use(p parts.Part, capacity int, now time.Duration) (hit bool) {
	if item := e.byID[p.ID]; item != nil {
		e.cached.MoveToFront(item)
		return true
	}
	e.byID[p.ID] = e.cached.PushFront(p)
	e.tokens += p.Tokens
	busy := 0
	for _, r := range e.running {
		if r.firstAt <= now {
			busy += r.tokens
		}
	}
	for e.tokens > max(p.Tokens, capacity-busy) && e.cached.Len() > 1 {
		last := e.cached.Back()
		e.cached.Remove(last)
		delete(e.byID, last.Value.(parts.Part).ID)
		e.tokens -= last.Value.(parts.Part).Tokens
	}
	return false
}

// fetchMillis is the time of a transfer between engines.
const fetchMillis = 12

func (l load) play(seed uint64) result {
	random := rand.New(rand.NewPCG(seed, 1))
	engines := make([]*simulatedEngine, l.engines)
	for i := range engines {
		engines[i] = &simulatedEngine{cached: list.New(), byID: make(map[string]*list.Element)}
	}
	directory := parts.NewDirectory(64 << 20)
	readBefore := make(map[string]bool)
	whole := &simulatedEngine{cached: list.New(), byID: make(map[string]*list.Element)}
	var out result
	seconds := make(map[time.Duration][2]int)
	for now, n := time.Duration(0), 0; now < l.length; n++ {
		rate, part := l.callsPerSecond, int(float64(l.sharedParts)*random.Float64()*random.Float64())
		if now >= l.burstFrom && now < l.burstUntil {
			if rate *= l.burstFactor; random.Float64() > 1/l.burstFactor {
				part = l.sharedParts - 1
			}
		}
		now += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		for i := range l.lostEngines {
			if now >= l.lostAt && !engines[i].lost {
				engines[i] = &simulatedEngine{lost: true, cached: list.New(), byID: make(map[string]*list.Element)}
				directory.RemoveHolder(strconv.Itoa(i))
			}
		}
		shared, own := parts.Part{ID: "shared" + strconv.Itoa(part), Tokens: l.sharedTokens}, parts.Part{ID: "own" + strconv.Itoa(n), Tokens: l.ownTokens}
		if known := readBefore[shared.ID]; !whole.use(shared, l.engines*l.capacityTokens, now) && known {
			out.leastAgainTokens += l.sharedTokens
		}
		whole.use(own, l.engines*l.capacityTokens, now)
		first := l.serve(random, engines, directory, now, shared, own, readBefore, &out)
		out.calls++
		second := seconds[now/time.Second]
		second[0]++
		if first-now <= l.goal {
			out.inGoal++
			second[1]++
		}
		seconds[now/time.Second] = second
	}
	out.worstSecond = 1
	for _, s := range seconds {
		out.worstSecond = min(out.worstSecond, float64(s[1])/float64(s[0]))
	}
	return out
}

// view returns what the fleet knows of the engines.
func (l load) view(engines []*simulatedEngine, directory *parts.Directory, now time.Duration, shared parts.Part) *View {
	v := &View{Zone: "a", VMs: 9, KnownTokens: make(map[string]int), MaxOutdated: time.Minute}
	for i, e := range engines {
		e.running = slices.DeleteFunc(e.running, func(r run) bool { return r.endsAt <= now })
		s := Server{Zone: "a", Load: len(e.running), Slots: 128, TokensPerMilli: l.tokensPerMilli, Excluded: e.lost, Version: 1, OutdatedFor: -1}
		if e.freeAt > now {
			s.PendingTokens = int(float64(e.freeAt-now) / float64(time.Millisecond) * l.tokensPerMilli)
		}
		lookups := []parts.CacheLookup{{Holder: parts.Holder{ID: strconv.Itoa(i)}, Since: parts.NoAgeLimit}}
		directory.Lookup(lookups, []parts.Part{shared}, now)
		s.HeldTokens = lookups[0].HeldTokens
		v.KnownTokens[""] = max(v.KnownTokens[""], s.HeldTokens)
		if ready := lookups[0].ReadyTokens; ready > 0 {
			v.Sources = append(v.Sources, Source{Server: i, ReadyTokens: ready, Address: strconv.Itoa(i), Zone: "a"})
		}
		v.Servers = append(v.Servers, s)
	}
	return v
}

// serve places a call and returns the time of its first event.
func (l load) serve(random *rand.Rand, engines []*simulatedEngine, directory *parts.Directory, now time.Duration, shared, own parts.Part, readBefore map[string]bool, out *result) time.Duration {
	call := &Call{Model: "m", InputTokens: l.sharedTokens + l.ownTokens, SharedTokens: l.sharedTokens, LatencyGoal: l.goal, BytesPerToken: 131072, LinkMbps: 550000}
	choice, ok := Choose(call, l.view(engines, directory, now, shared), random.Float64)
	if !ok {
		return now + time.Hour
	}
	e := engines[choice.Index]
	millis := float64(l.ownTokens) / l.tokensPerMilli
	if hit := e.use(shared, l.capacityTokens, now); !hit {
		source, err := strconv.Atoi(choice.FetchFrom)
		if err == nil && engines[source].byID[shared.ID] != nil {
			engines[source].use(shared, l.capacityTokens, now)
			millis += fetchMillis
		} else {
			millis += float64(l.sharedTokens) / l.tokensPerMilli
			out.readTokens += l.sharedTokens
			if readBefore[shared.ID] {
				out.againTokens += l.sharedTokens
			}
			readBefore[shared.ID] = true
		}
	}
	e.use(own, l.capacityTokens, now)
	first := max(now, e.freeAt) + time.Duration(millis*float64(time.Millisecond))
	e.freeAt = first
	e.running = append(e.running, run{firstAt: first, endsAt: first + l.generates, tokens: l.ownTokens})
	holder := parts.Holder{ID: strconv.Itoa(choice.Index)}
	directory.Add(holder, l.capacityTokens, "", shared, now, first)
	directory.Add(holder, l.capacityTokens, "", own, now, first)
	return first
}

// Loads of the kind that the users' engines bear, on engines whose caches hold each
// shared part once or twice.
func TestLoads(t *testing.T) {
	calm := load{
		engines: 12, tokensPerMilli: 30, capacityTokens: 77000, callsPerSecond: 40, sharedParts: 100, sharedTokens: 6300, ownTokens: 2900,
		generates: 400 * time.Millisecond, goal: time.Second, length: 30 * time.Second,
	}
	burst, crash := calm, calm
	burst.burstFrom, burst.burstUntil, burst.burstFactor = 10*time.Second, 14*time.Second, 2
	crash.lostAt, crash.lostEngines = 10*time.Second, 3
	tests := []struct {
		name string
		load load
		// minWorstSecond is the least share of the calls of a second in the goal.
		minWorstSecond float64
	}{{"calm", calm, 0.95}, {"a burst at one prefix", burst, 0.95}, {"a quarter of the engines lost", crash, 0.7}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range uint64(3) {
				r := tt.load.play(seed)
				t.Logf("seed %d: %d calls, %d in goal, worst second %.2f, shared tokens read %d, again %d, least %d",
					seed, r.calls, r.inGoal, r.worstSecond, r.readTokens, r.againTokens, r.leastAgainTokens)
				require.Greater(t, r.worstSecond, tt.minWorstSecond)
				require.LessOrEqual(t, float64(r.againTokens), maxAgainFactor*float64(r.leastAgainTokens+lostTokens(tt.load)))
			}
		})
	}
}

// maxAgainFactor is how many times as many shared tokens may be processed again as by
// one cache of the size of all.
const maxAgainFactor = 2.0

// lostTokens returns the tokens in the caches of the engines that are lost.
func lostTokens(l load) int { return l.lostEngines * l.capacityTokens }
