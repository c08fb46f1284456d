package router

import (
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/team"
)

// Limits of a model's queue in one router.
const (
	maxQueueWaiting = 512
	maxTeamWaiting  = 192
	// slotOvercommitFactor is how many requests per engine slot the routers of
	// a region together let run, so that uneven arrivals leave no slot idle.
	slotOvercommitFactor = 2
	// minRunning keeps a model with few engine slots per router available.
	minRunning = 4
)

// queues holds one queue per model.
type queues struct {
	mu      sync.Mutex // guards the field below
	byModel map[string]*team.Queue
}

func newQueues() *queues { return &queues{byModel: make(map[string]*team.Queue)} }

func (q *queues) forModel(r *Router, model string) *team.Queue {
	running := r.runningLimit(model)
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.byModel[model]
	if queue == nil {
		queue = team.NewQueue(team.QueueLimits{
			Running: running, Waiting: maxQueueWaiting, TeamWaiting: maxTeamWaiting,
		})
		q.byModel[model] = queue
	}
	return queue
}

// resize adapts all queues to the current numbers of engine slots and routers.
func (q *queues) resize(r *Router) {
	q.mu.Lock()
	known := make(map[string]*team.Queue, len(q.byModel))
	for model, queue := range q.byModel {
		known[model] = queue
	}
	q.mu.Unlock()
	for model, queue := range known {
		queue.SetRunning(r.runningLimit(model))
	}
}

// runningLimit returns how many requests of a model this router may run at
// once.
func (r *Router) runningLimit(model string) int {
	slots := 0
	for _, e := range r.regionEngines(model) {
		slots += e.Slots
	}
	routers := max(1, r.regionRouters())
	return max(minRunning, slotOvercommitFactor*slots/routers)
}

// regionRouters returns the number of live routers in the local region.
func (r *Router) regionRouters() int {
	c := r.configTracker.Current()
	localZone, _ := c.Zones().Get(r.settings.Zone)
	n := 0
	for _, vm := range r.view.Routers("") {
		if zone, _ := c.Zones().Get(vm.Zone); zone.Region == localZone.Region {
			n++
		}
	}
	return n
}

// QueueState is the state of one model's queue in a dump.
type QueueState struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// state returns the state of all queues by model.
func (q *queues) state() map[string]QueueState {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]QueueState, len(q.byModel))
	for model, queue := range q.byModel {
		running, waiting := queue.Depth()
		out[model] = QueueState{Running: running, Waiting: waiting}
	}
	return out
}
