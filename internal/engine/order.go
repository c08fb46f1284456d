package engine

import (
	"slices"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// MaxConcurrentLoads is how many engines of one group may load weights together.
const MaxConcurrentLoads = 2

// orderAgain is how long an order is left to take effect before it is sent
// again.
const orderAgain = 30 * time.Second

// Order tells an engine to load weights.
type Order struct {
	Kind    string `json:"kind"`
	Version string `json:"version"`
	// Fence is the epoch under which the orderer holds the group's slot.
	Fence uint64 `json:"fence"`
}

// OrderLoad is the kind of an order to load weights.
const OrderLoad = "load"

// Observation is what the orderer last saw of one engine of its group.
type Observation struct {
	Name    string
	Version string
	// Reachable is false when the engine could not be asked.
	Reachable bool
}

// LoadScheduler decides which engines of one group to order next. It is not safe for
// concurrent use.
type LoadScheduler struct {
	// ordered holds when each engine still loading was ordered.
	ordered map[string]timer.Instant
}

// NewLoadScheduler returns an orderer that starts with no knowledge of former orders.
func NewLoadScheduler() *LoadScheduler { return &LoadScheduler{ordered: make(map[string]timer.Instant)} }

// Plan returns the engines to order to a version now. At most LoadsAtOnce are
// loading at any time. An engine that cannot be asked keeps its place for as
// long as its load may go on.
func (l *LoadScheduler) Plan(sights []Observation, version string, now timer.Instant) []string {
	l.settle(sights, version, now)
	var next []string
	for _, s := range sights {
		_, loading := l.ordered[s.Name]
		if !s.Reachable || s.Version == version || loading {
			continue
		}
		if len(l.ordered) >= MaxConcurrentLoads {
			break
		}
		l.ordered[s.Name] = now
		next = append(next, s.Name)
	}
	slices.Sort(next)
	return next
}

func (l *LoadScheduler) settle(sights []Observation, version string, now timer.Instant) {
	for _, s := range sights {
		if s.Reachable && s.Version == version {
			delete(l.ordered, s.Name)
		}
	}
	for name, at := range l.ordered {
		if now.Sub(at) > orderAgain {
			delete(l.ordered, name)
		}
	}
}

// Loading reports whether an order to an engine may still be taking effect.
func (l *LoadScheduler) Loading(name string) bool {
	_, ok := l.ordered[name]
	return ok
}

// RecordRefusal takes back an order that its engine did not accept.
func (l *LoadScheduler) RecordRefusal(name string) { delete(l.ordered, name) }
