package prefix

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an engine to which a request can be sent.
type Candidate struct {
	Name        string
	Incarnation string
	// InFlight counts the requests of this router on the engine. Load is the number
	// of requests from all routers that the engine last reported.
	InFlight int
	Load     int
	Slots    int
}

// requests estimates the number of requests on the engine.
func (c Candidate) requests() int { return max(c.InFlight, c.Load) }

// Policy orders candidates for a prompt, best first. It must be safe for
// concurrent use.
type Policy interface {
	Order(p Prompt, candidates []Candidate) []int
}

// PlacementObserver is implemented by policies that track what engines have
// cached.
type PlacementObserver interface {
	// Placed records that a prompt was sent to an engine and returns how many of
	// its blocks the engine was believed to have cached.
	Placed(p Prompt, engine, incarnation string) (believed int)
	// Answered records how many of the prompt's tokens the engine had cached.
	Answered(p Prompt, engine, incarnation string, believed, cached int)
	// CacheLost records that an engine's cache is empty.
	CacheLost(engine string)
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// RoundRobin uses the candidates in turn.
type RoundRobin struct{ next atomic.Uint64 }

// Order implements Policy.
func (r *RoundRobin) Order(_ Prompt, candidates []Candidate) []int {
	order := indexes(len(candidates))
	if len(order) == 0 {
		return order
	}
	turn := int(r.next.Add(1) % uint64(len(order)))
	return append(order[turn:], order[:turn]...)
}

// LeastLoad prefers the candidate with the fewest requests per slot.
type LeastLoad struct{}

// Order implements Policy.
func (LeastLoad) Order(_ Prompt, candidates []Candidate) []int {
	order := indexes(len(candidates))
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(utilization(candidates[a]), utilization(candidates[b]))
	})
	return order
}

func utilization(c Candidate) float64 { return float64(c.requests()) / float64(max(1, c.Slots)) }

// Rendezvous places prompts by rendezvous hashing of their first block.
type Rendezvous struct{}

// Order implements Policy.
func (Rendezvous) Order(p Prompt, candidates []Candidate) []int {
	return rendezvous(prefixHash(p, min(1, len(p.chain))), candidates)
}

// prefixHash returns the rendezvous key for the first n blocks of a prompt. With
// no block, it is the length of the prompt.
func prefixHash(p Prompt, n int) Hash {
	if n == 0 {
		return Hash(p.bytes)
	}
	return p.chain[n-1]
}

func rendezvous(key Hash, candidates []Candidate) []int {
	order := indexes(len(candidates))
	scores := make([]uint64, len(candidates))
	for i, c := range candidates {
		scores[i] = uint64(combineHash(key, xxhash.Sum64String(c.Name)))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// SharedPrefix places prompts by rendezvous hashing of their longest prefix that
// is shared often. Candidates whose load exceeds a bound come last.
type SharedPrefix struct {
	sketch *Sketch
	// loadBound is the highest load of a preferred candidate, relative to the mean
	// load; zero disables the bound.
	loadBound float64
}

// NewSharedPrefix returns a SharedPrefix policy. The bound is on the load of
// preferred candidates, relative to the mean load; zero disables it.
func NewSharedPrefix(loadBound float64) *SharedPrefix {
	return &SharedPrefix{sketch: NewSketch(), loadBound: loadBound}
}

// Order implements Policy.
func (s *SharedPrefix) Order(p Prompt, candidates []Candidate) []int {
	s.sketch.Add(p)
	order := rendezvous(prefixHash(p, s.sketch.Depth(p)), candidates)
	if s.loadBound > 0 {
		order = overloadedLast(order, candidates, s.loadBound)
	}
	return order
}

// overloadedLast moves candidates loaded beyond bound times the mean load behind
// the others.
func overloadedLast(order []int, candidates []Candidate, bound float64) []int {
	total := 0
	for _, c := range candidates {
		total += c.requests()
	}
	limit := math.Ceil(bound * float64(total+1) / float64(max(1, len(candidates))))
	var under, over []int
	for _, i := range order {
		if float64(candidates[i].requests()) < limit {
			under = append(under, i)
		} else {
			over = append(over, i)
		}
	}
	return append(under, over...)
}

// CostWeights are the parameters of a Cost policy. It expresses both causes of a
// late first token, missing blocks and queueing, in tokens to prefill.
type CostWeights struct {
	// QueuedRequestTokens is the cost of one request ahead on an engine without a
	// free slot.
	QueuedRequestTokens float64
	// MinCachedShare is the fraction of a prompt that an engine must be known to
	// have cached for its cached blocks to count at all.
	MinCachedShare float64
	// HomeAdvantageTokens is how much higher the cost of the home engine, the first
	// in rendezvous order, may be for it to be preferred still.
	HomeAdvantageTokens float64
}

// Cost prefers the engine with the lowest total cost of missing blocks and
// queueing. Ties are resolved in the rendezvous order of the shared prefix.
type Cost struct {
	sketch    *Sketch
	directory *Directory
	weights   CostWeights
}

// NewCost returns a Cost policy.
func NewCost(w CostWeights) *Cost {
	return &Cost{sketch: NewSketch(), directory: NewDirectory(), weights: w}
}

// Order implements Policy.
func (c *Cost) Order(p Prompt, candidates []Candidate) []int {
	c.sketch.Add(p)
	order := rendezvous(prefixHash(p, c.sketch.Depth(p)), candidates)
	cost := make([]float64, len(candidates))
	for rank, i := range order {
		cost[i] = c.cost(p, candidates[i])
		if rank > 0 {
			cost[i] += c.weights.HomeAdvantageTokens
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(cost[a], cost[b]) })
	return order
}

func (c *Cost) cost(p Prompt, e Candidate) float64 {
	cached := c.directory.Match(p, e.Name, e.Incarnation)
	if float64(cached) < c.weights.MinCachedShare*float64(len(p.chain)) {
		// A short common prefix is soon cached on every engine. Counting it would
		// send all prompts that start with it to the engine that had it first.
		cached = 0
	}
	missing := float64(len(p.chain)-cached) * BlockTokens
	queued := float64(max(0, e.requests()+1-e.Slots))
	return missing + queued*c.weights.QueuedRequestTokens
}

// Placed implements PlacementObserver.
func (c *Cost) Placed(p Prompt, engine, incarnation string) int {
	believed := c.directory.Match(p, engine, incarnation)
	c.directory.Add(p, engine, incarnation)
	return believed
}

// Answered implements PlacementObserver.
func (c *Cost) Answered(p Prompt, engine, incarnation string, believed, cached int) {
	if cached/BlockTokens < believed {
		c.directory.DropOlder(engine)
	}
	c.directory.Add(p, engine, incarnation)
}

// CacheLost implements PlacementObserver.
func (c *Cost) CacheLost(engine string) { c.directory.RemoveEngine(engine) }
