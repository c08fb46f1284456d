package weights

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// Errors that an EngineClient returns for an order.
var (
	// ErrBusy means that the engine is executing another order, or has accepted
	// one since its last report.
	ErrBusy = errors.New("engine is executing or has accepted another order")
	// ErrRefused means that the engine rejected the order as invalid.
	ErrRefused = errors.New("engine refused the order")
	// ErrWrongEngine means that a different engine answered at the address.
	ErrWrongEngine = errors.New("a different engine answered at the address")
)

const (
	// minConcurrentLoads is how many engines of a service of any size may load at
	// once. Two don't slow each other down, according to the users' documents on
	// their smallest service.
	minConcurrentLoads = 2
	// enginesPerConcurrentLoad allows one concurrent load for this many engines of
	// a larger service.
	enginesPerConcurrentLoad = 5
	// announceLead is the delay between announcing a reload to the other VMs and
	// ordering it. It covers one message between zones and a scheduling delay.
	announceLead = 40 * time.Millisecond
	// drainTimeout bounds the wait for an engine's running calls before its order.
	// Calls that are still running then continue under the new weights.
	drainTimeout = 700 * time.Millisecond
	// drainPollInterval is the pause between two checks of an engine that drains.
	drainPollInterval = 30 * time.Millisecond
	// reportPollInterval is the pause between two reports of an engine that loads.
	reportPollInterval = 150 * time.Millisecond
	// orderRetryDelay is the delay before an order whose answer was lost is sent
	// again, if the engine's report does not show it. Reports lag by
	// some hundred milliseconds.
	orderRetryDelay = 300 * time.Millisecond
	// loadTimeout bounds the orders and reports for one engine. An engine that has
	// not loaded by then is selected again later.
	loadTimeout = 7 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = 300 * time.Millisecond
	// minServingFraction is the fraction of a service's engines that keep taking
	// calls while others drain and load, as far as that many are healthy.
	minServingFraction = 0.5
	// failureCooldown is how long an engine is skipped after a failure.
	failureCooldown = time.Second
)

// Order tells an engine to load weights.
type Order struct {
	Model   string
	Version int64
	Holder  string
	Fence   int64
	// ExpectedOrders is the number of orders that the engine must have accepted so
	// far; otherwise it rejects this one.
	ExpectedOrders int64
	// KeepRunningCalls lets running calls continue under the new weights.
	// Otherwise the engine waits for them to end.
	KeepRunningCalls bool
}

// Report is the state that an engine reports.
type Report struct {
	Models map[string]int64
	Busy   bool
	// AcceptedOrders counts the orders accepted since the engine started.
	AcceptedOrders int64
}

// EngineClient sends orders to engines and reads their reports.
type EngineClient interface {
	Order(ctx context.Context, s backend.Server, o Order) error
	Report(ctx context.Context, s backend.Server) (Report, error)
}

// Lease grants the right to send orders.
type Lease interface {
	AcquireOrRenew(ctx context.Context) (bool, error)
	Held() (fence int64, held bool)
}

// Announcer tells the other VMs about reloads.
type Announcer interface {
	// Reloading announces that an engine incarnation is about to load a version.
	Reloading(s backend.Server, model string, version int64)
	// Reloaded announces the version that an engine incarnation now runs.
	Reloaded(s backend.Server, model string, version int64)
	// ReloadCanceled revokes Reloading: no order was sent.
	ReloadCanceled(s backend.Server, model string, version int64)
}

// Options configure an Updater.
type Options struct {
	Holder    string
	Catalog   *catalog.Tracker
	Table     *backend.Table
	Engines   EngineClient
	Lease     Lease
	History   *History
	Announcer Announcer
	Now       func() time.Duration
	Log       log.Interface
}

// Updater updates engines to the named versions while its VM holds the lease.
type Updater struct {
	options Options

	mu sync.Mutex // guards the fields below
	// inProgress holds the IDs of the engines that are being updated.
	inProgress map[string]bool
	// activeLoads counts, for each service, the engines that were ordered to load
	// and are not known to have finished.
	activeLoads map[string]int
	// cooldownUntil is when an engine that failed may be selected again, by ID.
	cooldownUntil map[string]time.Duration
	workers       sync.WaitGroup
}

// New returns an Updater. It does nothing until Step is called.
func New(o Options) *Updater {
	return &Updater{options: o, inProgress: make(map[string]bool), activeLoads: make(map[string]int), cooldownUntil: make(map[string]time.Duration)}
}

// task is an engine that runs an older version of a model than the named one.
type task struct {
	server  backend.Status
	model   string
	version int64
}

// Step starts the update of outdated engines, within the limits on concurrency.
// It must be called several times a second.
func (o *Updater) Step(ctx context.Context) {
	tasks, counts := o.pendingTasks()
	if len(tasks) == 0 {
		return
	}
	held, err := o.options.Lease.AcquireOrRenew(ctx)
	if err != nil {
		event.OrderLeaseFailed.Log(o.options.Log, err, log.Fields{"held": held})
	}
	if !held {
		return
	}
	if err := o.options.History.Save(ctx); err != nil {
		event.VersionHistoryFailed.Log(o.options.Log, err, nil)
	}
	for _, t := range o.selectTasks(tasks, counts) {
		o.workers.Go(func() {
			defer o.finish(t.server.Server.ID)
			o.updateEngine(ctx, t, maxConcurrentLoads(counts[t.server.Server.Service].listed))
		})
	}
}

// Wait returns when no engine is being updated.
func (o *Updater) Wait() { o.workers.Wait() }

// engineCount counts the engines of a service: those that are listed, and those
// of them that take calls.
type engineCount struct{ listed, serving int }

// pendingTasks returns the outdated engines, and the engine counts by service.
func (o *Updater) pendingTasks() ([]task, map[string]engineCount) {
	targets := o.options.Catalog.TargetVersions()
	sizes := make(map[string]engineCount)
	var out []task
	now := o.options.Now()
	for _, s := range o.options.Table.Statuses("", now) {
		if s.Server.Draining || len(s.Server.Models) == 0 {
			continue
		}
		c := sizes[s.Server.Service]
		c.listed++
		if !s.InBackoff && !s.Reloading {
			c.serving++
		}
		sizes[s.Server.Service] = c
		for model := range s.Server.Models {
			if t, ok := targets[model]; ok && s.Versions[model] < t.Version {
				out = append(out, task{server: s, model: model, version: t.Version})
			}
		}
	}
	return out, sizes
}

// maxConcurrentLoads returns how many engines of a service may load at once.
func maxConcurrentLoads(size int) int { return max(minConcurrentLoads, size/enginesPerConcurrentLoad) }

// maxUnavailable returns how many engines of a service may be out of service at
// once: those that load, and those that drain in order to load next.
func maxUnavailable(size int) int { return maxConcurrentLoads(size) + maxConcurrentLoads(size)/2 + 1 }

// mayTakeOut reports whether one more engine may be taken out of service while
// unavailable ones already are. A single engine always may, since otherwise an
// update would never complete.
func (c engineCount) mayTakeOut(unavailable int) bool {
	if unavailable == 0 {
		return true
	}
	return unavailable < maxUnavailable(c.listed) && float64(c.serving-1) >= minServingFraction*float64(c.listed)
}

// selectTasks returns the tasks to start now: the oldest versions first, then
// spread over zones, then the least loaded engine first.
func (o *Updater) selectTasks(tasks []task, sizes map[string]engineCount) []task {
	now := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	inZone := make(map[string]int)
	inService := make(map[string]int)
	for _, t := range tasks {
		if s := t.server.Server; o.inProgress[s.ID] {
			inZone[s.Zone]++
			inService[s.Service]++
		}
	}
	var selected []task
	for {
		free := slices.DeleteFunc(slices.Clone(tasks), func(t task) bool {
			s := t.server.Server
			return o.inProgress[s.ID] || now < o.cooldownUntil[s.ID] || !sizes[s.Service].mayTakeOut(inService[s.Service])
		})
		if len(free) == 0 {
			return selected
		}
		t := slices.MinFunc(free, func(a, b task) int {
			return cmp.Or(
				// Engines that fail calls go last, since they would occupy a slot in vain.
				compareBool(a.server.InBackoff, b.server.InBackoff),
				cmp.Compare(a.server.Versions[a.model], b.server.Versions[b.model]),
				cmp.Compare(inZone[a.server.Server.Zone], inZone[b.server.Server.Zone]),
				cmp.Compare(a.server.Load, b.server.Load),
				cmp.Compare(a.server.Server.ID, b.server.Server.ID))
		})
		s := t.server.Server
		o.inProgress[s.ID] = true
		inZone[s.Zone]++
		inService[s.Service]++
		c := sizes[s.Service]
		c.serving--
		sizes[s.Service] = c
		selected = append(selected, t)
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (o *Updater) finish(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inProgress, id)
}

func (o *Updater) startCooldown(id string) {
	now := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for other, until := range o.cooldownUntil {
		if until < now {
			delete(o.cooldownUntil, other)
		}
	}
	o.cooldownUntil[id] = now + failureCooldown
}

// updateEngine works on one engine until it runs a newer version of the model,
// the lease is lost, or the engine fails. It does not wait for a version that is
// named after the load began, since engines with older weights go first.
func (o *Updater) updateEngine(ctx context.Context, t task, maxLoads int) {
	s := t.server.Server
	if _, err := o.queryReport(ctx, s); err != nil {
		o.recordFailure(s, "report", err)
		return
	}
	o.options.Announcer.Reloading(s, t.model, t.version)
	announced := t.version
	var ordered time.Duration
	var expect int64 = -1
	defer func() {
		if ordered == 0 {
			o.options.Announcer.ReloadCanceled(s, t.model, announced)
		}
	}()
	if !timer.Sleep(ctx, announceLead) || !o.waitDrained(ctx, s, maxLoads) {
		return
	}
	defer o.releaseLoadSlot(s.Service)
	began := o.options.Now()
	for o.options.Now()-began < loadTimeout {
		rep, err := o.queryReport(ctx, s)
		if err != nil {
			o.recordFailure(s, "report", err)
			return
		}
		target, _ := o.options.Catalog.TargetVersion(t.model)
		if rep.Models[t.model] > t.server.Versions[t.model] {
			o.options.Announcer.Reloaded(s, t.model, rep.Models[t.model])
			return
		}
		lost := rep.AcceptedOrders == expect && o.options.Now()-ordered > orderRetryDelay
		if !rep.Busy && (expect < 0 || rep.AcceptedOrders != expect || lost) {
			fence, held := o.options.Lease.Held()
			if !held {
				return
			}
			if announced < target.Version {
				o.options.Announcer.Reloading(s, t.model, target.Version)
				announced = target.Version
			}
			expect, ordered = rep.AcceptedOrders, o.options.Now()
			if err := o.sendOrder(ctx, s, Order{Model: t.model, Version: target.Version, Holder: o.options.Holder, Fence: fence, ExpectedOrders: expect, KeepRunningCalls: true}); err != nil {
				if errors.Is(err, ErrWrongEngine) || errors.Is(err, ErrRefused) {
					o.recordFailure(s, "order", err)
					return
				}
				event.OrderFailed.Log(o.options.Log, err, log.Fields{"engine": s.ID, "model": t.model, "version": target.Version})
			}
		}
		if !timer.Sleep(ctx, reportPollInterval) {
			return
		}
	}
	o.recordFailure(s, "load", context.DeadlineExceeded)
}

// waitDrained waits until an engine has no calls or drainTimeout has passed, and
// then for a load slot. It reports false if the lease or the context ended first.
func (o *Updater) waitDrained(ctx context.Context, s backend.Server, maxLoads int) bool {
	for began := o.options.Now(); ; {
		if _, held := o.options.Lease.Held(); !held {
			return false
		}
		empty := o.options.Table.Load(s.ID, o.options.Now()) == 0 || o.options.Now()-began > drainTimeout
		if empty && o.acquireLoadSlot(s.Service, maxLoads) {
			return true
		}
		if !timer.Sleep(ctx, drainPollInterval) {
			return false
		}
	}
}

// acquireLoadSlot takes one of the load slots of a service, if one is free.
func (o *Updater) acquireLoadSlot(service string, maxLoads int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.activeLoads[service] >= maxLoads {
		return false
	}
	o.activeLoads[service]++
	return true
}

func (o *Updater) releaseLoadSlot(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.activeLoads[service]--
}

func (o *Updater) recordFailure(s backend.Server, step string, err error) {
	event.OrderFailed.Log(o.options.Log, err, log.Fields{"engine": s.ID, "step": step})
	o.startCooldown(s.ID)
}

func (o *Updater) queryReport(ctx context.Context, s backend.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.options.Engines.Report(ctx, s)
}

func (o *Updater) sendOrder(ctx context.Context, s backend.Server, order Order) error {
	event.OrderSent.Log(o.options.Log, nil, log.Fields{
		"engine": s.ID, "model": order.Model, "version": order.Version, "fence": order.Fence, "expect": order.ExpectedOrders,
	})
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.options.Engines.Order(ctx, s, order)
}
