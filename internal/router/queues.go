package router

import (
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/team"
)

// Bounds of a model's queue in one router.
const (
	queueWaiting     = 512
	queueTeamWaiting = 192
	// overcommit is how much of the engines' slots all routers of a region
	// together let through, so that uneven arrivals leave none idle.
	overcommit = 2
	// minimumRunning keeps a model alive whose engines are few.
	minimumRunning = 4
)

// queues holds one queue for each model.
type queues struct {
	mu     sync.Mutex // guards the field below
	models map[string]*team.Queue
}

func newQueues() *queues { return &queues{models: make(map[string]*team.Queue)} }

func (q *queues) get(r *Router, model string) *team.Queue {
	running := r.runningLimit(model)
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.models[model]
	if queue == nil {
		queue = team.NewQueue(team.QueueLimits{
			Running: running, Waiting: queueWaiting, TeamWaiting: queueTeamWaiting,
		})
		q.models[model] = queue
	}
	return queue
}

// resize adapts every queue to the engines and routers known now.
func (q *queues) resize(r *Router) {
	q.mu.Lock()
	known := make(map[string]*team.Queue, len(q.models))
	for model, queue := range q.models {
		known[model] = queue
	}
	q.mu.Unlock()
	for model, queue := range known {
		queue.SetRunning(r.runningLimit(model))
	}
}

// runningLimit returns this router's part of a model's slots.
func (r *Router) runningLimit(model string) int {
	slots := 0
	for _, e := range r.reachable(model) {
		slots += e.Slots
	}
	routers := max(1, r.neighbours())
	return max(minimumRunning, overcommit*slots/routers)
}

// neighbours returns the number of live routers in the own region.
func (r *Router) neighbours() int {
	c := r.configTracker.Current()
	own, _ := c.Zones().Get(r.settings.Zone)
	n := 0
	for _, vm := range r.view.Routers("") {
		if zone, _ := c.Zones().Get(vm.Zone); zone.Region == own.Region {
			n++
		}
	}
	return n
}

// QueueState is one model's queue as a state dump shows it.
type QueueState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// state returns every queue by model.
func (q *queues) state() map[string]QueueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]QueueState, len(q.models))
	for model, queue := range q.models {
		running, waiting := queue.Depth()
		out[model] = QueueState{Running: running, Waiting: waiting}
	}
	return out
}
