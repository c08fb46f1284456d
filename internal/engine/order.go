package engine

import (
	"slices"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// MaxConcurrentLoads bounds how many engines of one group load weights at the same
// time.
const MaxConcurrentLoads = 2

// orderTimeout is how long an order may take to have an effect before it is sent
// again.
const orderTimeout = 30 * time.Second

// Order tells an engine to load weights.
type Order struct {
	Kind    string `json:"kind"`
	Version string `json:"version"`
	// Fence is the epoch under which the sender of the order holds the group's slot.
	Fence uint64 `json:"fence"`
}

// OrderLoad is the kind of an order to load weights.
const OrderLoad = "load"

// Observation is the last observed state of one engine of a group.
type Observation struct {
	Name    string
	Version string
	// Reachable is false if the engine could not be asked.
	Reachable bool
}

// LoadScheduler decides which engines of one group to order next. It is not safe for
// concurrent use.
type LoadScheduler struct {
	// orderedAt holds the time of the order to each engine that is still loading.
	orderedAt map[string]timer.Instant
}

// NewLoadScheduler returns a scheduler that knows of no earlier orders.
func NewLoadScheduler() *LoadScheduler {
	return &LoadScheduler{orderedAt: make(map[string]timer.Instant)}
}

// Plan returns the engines to order to a version now. At most MaxConcurrentLoads
// engines load at any time. An engine that cannot be asked counts as loading until
// orderTimeout, since its load may still be in progress.
func (l *LoadScheduler) Plan(observations []Observation, version string, now timer.Instant) []string {
	l.removeFinished(observations, version, now)
	var next []string
	for _, s := range observations {
		_, loading := l.orderedAt[s.Name]
		if !s.Reachable || s.Version == version || loading {
			continue
		}
		if len(l.orderedAt) >= MaxConcurrentLoads {
			break
		}
		l.orderedAt[s.Name] = now
		next = append(next, s.Name)
	}
	slices.Sort(next)
	return next
}

func (l *LoadScheduler) removeFinished(observations []Observation, version string, now timer.Instant) {
	for _, s := range observations {
		if s.Reachable && s.Version == version {
			delete(l.orderedAt, s.Name)
		}
	}
	for name, at := range l.orderedAt {
		if now.Sub(at) > orderTimeout {
			delete(l.orderedAt, name)
		}
	}
}

// Loading reports whether an order to an engine may still be taking effect.
func (l *LoadScheduler) Loading(name string) bool {
	_, ok := l.orderedAt[name]
	return ok
}

// RecordRefusal discards an order that its engine did not accept.
func (l *LoadScheduler) RecordRefusal(name string) { delete(l.orderedAt, name) }
