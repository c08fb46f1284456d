package prefix

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an engine that could take a request.
type Candidate struct {
	Name        string
	Incarnation string
	// InFlight counts this router's requests on the engine; Load is what the
	// engine last said of all its requests.
	InFlight int
	Load     int
	Slots    int
}

// busy returns the best guess of the requests on the engine.
func (c Candidate) busy() int { return max(c.InFlight, c.Load) }

// Policy orders candidates for a prompt, best first. It must be safe for
// concurrent use.
type Policy interface {
	Order(p Prompt, candidates []Candidate) []int
}

// PlacementObserver is a Policy that learns from answers.
type PlacementObserver interface {
	// Placed records that a prompt went to an engine and returns how many of
	// its blocks the engine was believed to hold.
	Placed(p Prompt, engine, incarnation string) (believed int)
	// Answered records how many of the prompt's tokens the engine reused.
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

// RoundRobin takes the candidates in turn.
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

// LeastLoad prefers the candidate with the fewest requests for its slots.
type LeastLoad struct{}

// Order implements Policy.
func (LeastLoad) Order(_ Prompt, candidates []Candidate) []int {
	order := indexes(len(candidates))
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(fill(candidates[a]), fill(candidates[b]))
	})
	return order
}

func fill(c Candidate) float64 { return float64(c.busy()) / float64(max(1, c.Slots)) }

// Rendezvous prefers the candidate with the highest hash together with the
// prompt's first block.
type Rendezvous struct{}

// Order implements Policy.
func (Rendezvous) Order(p Prompt, candidates []Candidate) []int {
	return rendezvous(keyAt(p, min(1, len(p.chain))), candidates)
}

// keyAt returns the hash that stands for the first n blocks.
func keyAt(p Prompt, n int) Hash {
	if n == 0 {
		return Hash(p.bytes)
	}
	return p.chain[n-1]
}

func rendezvous(key Hash, candidates []Candidate) []int {
	order := indexes(len(candidates))
	scores := make([]uint64, len(candidates))
	for i, c := range candidates {
		scores[i] = uint64(link(key, xxhash.Sum64String(c.Name)))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// SharedPrefix prefers by rendezvous on the deepest level of the nest that is
// shared often, and passes over candidates that are loaded beyond a bound.
type SharedPrefix struct {
	sketch *Sketch
	// bound is the load, relative to the mean, that is passed over; zero
	// switches spreading off.
	bound float64
}

// NewSharedPrefix returns a Level policy.
func NewSharedPrefix(bound float64) *SharedPrefix {
	return &SharedPrefix{sketch: NewSketch(), bound: bound}
}

// Order implements Policy.
func (l *SharedPrefix) Order(p Prompt, candidates []Candidate) []int {
	l.sketch.Add(p)
	order := rendezvous(keyAt(p, l.sketch.Depth(p)), candidates)
	if l.bound > 0 {
		order = spread(order, candidates, l.bound)
	}
	return order
}

// spread moves candidates above bound times the mean load behind the others.
func spread(order []int, candidates []Candidate, bound float64) []int {
	total := 0
	for _, c := range candidates {
		total += c.busy()
	}
	limit := math.Ceil(bound * float64(total+1) / float64(max(1, len(candidates))))
	var under, over []int
	for _, i := range order {
		if float64(candidates[i].busy()) < limit {
			under = append(under, i)
		} else {
			over = append(over, i)
		}
	}
	return append(under, over...)
}

// CostWeights price the two things that make a first token late, in tokens of
// prefill.
type CostWeights struct {
	// QueuedRequestTokens is the price of one request ahead on an engine without a free slot.
	QueuedRequestTokens float64
	// MinCachedShare is the part of a prompt that an engine must be known to hold for
	// its blocks to count at all.
	MinCachedShare float64
	// HomeAdvantageTokens is how much dearer the home engine may be and still be taken.
	HomeAdvantageTokens float64
}

// Cost prefers the engine where missing blocks and waiting together cost
// least, and the rendezvous order of the shared level among equals.
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
	order := rendezvous(keyAt(p, c.sketch.Depth(p)), candidates)
	price := make([]float64, len(candidates))
	for rank, i := range order {
		price[i] = c.price(p, candidates[i])
		if rank > 0 {
			price[i] += c.weights.HomeAdvantageTokens
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(price[a], price[b]) })
	return order
}

func (c *Cost) price(p Prompt, e Candidate) float64 {
	known := c.directory.Match(p, e.Name, e.Incarnation)
	if float64(known) < c.weights.MinCachedShare*float64(len(p.chain)) {
		// A short common opening is soon everywhere; following it would gather
		// all sections on the engine that saw it first.
		known = 0
	}
	missing := float64(len(p.chain)-known) * BlockTokens
	waiting := float64(max(0, e.busy()+1-e.Slots))
	return missing + waiting*c.weights.QueuedRequestTokens
}

// Placed implements Learner.
func (c *Cost) Placed(p Prompt, engine, incarnation string) int {
	believed := c.directory.Match(p, engine, incarnation)
	c.directory.Add(p, engine, incarnation)
	return believed
}

// Answered implements Learner.
func (c *Cost) Answered(p Prompt, engine, incarnation string, believed, cached int) {
	if cached/BlockTokens < believed {
		c.directory.DropOlder(engine)
	}
	c.directory.Add(p, engine, incarnation)
}

// Lost implements Learner.
func (c *Cost) Lost(engine string) { c.directory.RemoveEngine(engine) }
