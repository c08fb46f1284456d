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
	// minConcurrentLoads is the limit on concurrent loads for the smallest
	// services. Two loads don't slow each other down, according to the users'
	// documents on their smallest service.
	minConcurrentLoads = 2
	// enginesPerConcurrentLoad is the number of engines in a larger service for
	// each load that may run at once.
	enginesPerConcurrentLoad = 5
	// announceLead is the delay between announcing a reload to the other VMs and
	// ordering it. It covers the delivery of one message between zones and a
	// scheduling delay.
	announceLead = 40 * time.Millisecond
	// announcePeriod is the interval at which the reload of an engine is announced again
	// until it has loaded. The other VMs take an engine that they hear nothing of for an
	// available one after backend.reloadTimeout, which one lost message must not exceed.
	announcePeriod = 1200 * time.Millisecond
	// drainTimeout bounds the wait for an engine's running calls before the order.
	// Calls that are still running then continue under the new weights.
	drainTimeout = 700 * time.Millisecond
	// drainPollInterval is the delay between two checks of a draining engine.
	drainPollInterval = 30 * time.Millisecond
	// reportPollInterval is the delay between two requests for the report of a
	// loading engine.
	reportPollInterval = 150 * time.Millisecond
	// orderRetryDelay is the delay before an order without a response is sent
	// again, if the engine's report does not show it as accepted. Reports lag by
	// some hundred milliseconds.
	orderRetryDelay = 300 * time.Millisecond
	// loadTimeout bounds the load on one engine, from the end of draining to the
	// report of the new version. An engine that takes longer is selected again later.
	loadTimeout = 7 * time.Second
	// engineRequestTimeout bounds one order or report request to an engine.
	engineRequestTimeout = 300 * time.Millisecond
	// minServingFraction is the fraction of a service's engines that must keep taking
	// calls while others drain and load. If fewer are healthy, one engine at a time
	// is still updated.
	minServingFraction = 0.5
	// failureCooldown is how long an engine is skipped after a failure.
	failureCooldown = time.Second
)

// Order tells an engine to load a version of a model's weights.
type Order struct {
	Model   string
	Version int64
	// Holder is the VM that holds the lease, Fence its fencing token.
	Holder string
	Fence  int64
	// ExpectedOrders is the number of orders that the engine must have accepted so
	// far; otherwise it rejects this one.
	ExpectedOrders int64
	// KeepRunningCalls lets running calls continue under the new weights.
	// Otherwise the engine waits for them to end.
	KeepRunningCalls bool
	// Permit must be called right before the order is written, which it then allows or
	// not: the lease may have ended since the order was decided.
	Permit func() bool
}

// Report is the state that an engine reports.
type Report struct {
	// Models maps each model to the version that the engine runs.
	Models map[string]int64
	// Busy is set while the engine executes an order.
	Busy bool
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
	// ReloadCanceled revokes the announcement made by Reloading, since no order was
	// sent.
	ReloadCanceled(s backend.Server, model string, version int64)
}

// Options configure an Updater.
type Options struct {
	// Holder identifies this VM in orders.
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

// Updater updates engines to the target versions of their models while its VM
// holds the lease.
type Updater struct {
	options Options

	mu sync.Mutex // guards the fields below
	// inProgress holds the IDs of the engines that are being updated.
	inProgress map[string]bool
	// activeLoads counts, for each service, the engines that were ordered to load
	// and are not known to have finished.
	activeLoads map[string]int
	// cooldownUntil maps the ID of an engine that failed to the time at which it may
	// be selected again.
	cooldownUntil map[string]time.Duration
	// loadTimes holds, for each service, how long its last completed load took from the
	// order on, and loadsBegan when the loads in progress were ordered, by engine.
	loadTimes  map[string]time.Duration
	loadsBegan map[string]map[string]time.Duration
	workers    sync.WaitGroup
}

// New returns an Updater. It does nothing until Step is called.
func New(o Options) *Updater {
	return &Updater{
		options: o, inProgress: make(map[string]bool), activeLoads: make(map[string]int), cooldownUntil: make(map[string]time.Duration),
		loadTimes: make(map[string]time.Duration), loadsBegan: make(map[string]map[string]time.Duration),
	}
}

// task is the update of one engine that runs an older version of a model than the
// target version.
type task struct {
	server  backend.Status
	model   string
	version int64
}

// Step starts updates of outdated engines, within the limits on concurrency.
// It must be called several times a second.
func (u *Updater) Step(ctx context.Context) {
	tasks, counts := u.pendingTasks()
	if len(tasks) == 0 {
		return
	}
	held, err := u.options.Lease.AcquireOrRenew(ctx)
	if err != nil {
		event.OrderLeaseFailed.Log(u.options.Log, err, log.Fields{"held": held})
	}
	if !held {
		return
	}
	if err := u.options.History.Save(ctx); err != nil {
		event.VersionHistoryFailed.Log(u.options.Log, err, nil)
	}
	for _, t := range u.selectTasks(tasks, counts) {
		u.workers.Go(func() {
			defer u.finish(t.server.Server.ID)
			u.updateEngine(ctx, t, maxConcurrentLoads(counts[t.server.Server.Service].listed))
		})
	}
}

// Wait returns when no engine is being updated.
func (u *Updater) Wait() { u.workers.Wait() }

// engineCount counts the engines of a service: all that run models and are not
// leaving the service (listed), and those of them that take calls (serving).
type engineCount struct{ listed, serving int }

// pendingTasks returns a task for each outdated model of an engine, and the engine
// counts by service.
func (u *Updater) pendingTasks() ([]task, map[string]engineCount) {
	targets := u.options.Catalog.TargetVersions()
	counts := make(map[string]engineCount)
	var out []task
	now := u.options.Now()
	for _, s := range u.options.Table.Statuses("", now) {
		if s.Server.Draining || len(s.Server.Models) == 0 {
			continue
		}
		c := counts[s.Server.Service]
		c.listed++
		if !s.InBackoff && !s.Reloading {
			c.serving++
		}
		counts[s.Server.Service] = c
		for model := range s.Server.Models {
			if t, ok := targets[model]; ok && s.Versions[model] < t.Version {
				out = append(out, task{server: s, model: model, version: t.Version})
			}
		}
	}
	return out, counts
}

// maxConcurrentLoads returns how many engines of a service of the given size may
// load at once.
func maxConcurrentLoads(size int) int { return max(minConcurrentLoads, size/enginesPerConcurrentLoad) }

// maxDraining returns how many engines of a service of the given size may drain at once
// in order to load next, beside those that load.
func maxDraining(size int) int { return maxConcurrentLoads(size)/2 + 1 }

// drainAllowance returns how many engines of a service may drain beside those that load.
// When loads take longer than draining, only as many may as loads will have ended by then:
// an engine that is drained earlier waits for a load slot in place of serving.
func (u *Updater) drainAllowance(service string, size int, now time.Duration) int {
	length := u.loadTimes[service]
	if length <= announceLead+drainTimeout {
		return maxDraining(size)
	}
	ending := 0
	for _, began := range u.loadsBegan[service] {
		if began+length <= now+announceLead+drainTimeout {
			ending++
		}
	}
	return min(ending, maxDraining(size))
}

// beginLoad records that the load of an engine was ordered, and endLoad that it has
// ended, completed or not.
func (u *Updater) beginLoad(s backend.Server, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.loadsBegan[s.Service] == nil {
		u.loadsBegan[s.Service] = make(map[string]time.Duration)
	}
	if _, ok := u.loadsBegan[s.Service][s.ID]; !ok {
		u.loadsBegan[s.Service][s.ID] = now
	}
}

func (u *Updater) endLoad(s backend.Server, completed bool, now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if began, ok := u.loadsBegan[s.Service][s.ID]; ok && completed {
		u.loadTimes[s.Service] = now - began
	}
	delete(u.loadsBegan[s.Service], s.ID)
}

// mayTakeOut reports whether one more engine may be taken out of service while the
// given number is already unavailable; draining of them may drain beside those that load.
// The first engine always may, since otherwise an update might never complete.
func (c engineCount) mayTakeOut(unavailable, draining int) bool {
	if unavailable == 0 {
		return true
	}
	return unavailable < maxConcurrentLoads(c.listed)+draining && float64(c.serving-1) >= minServingFraction*float64(c.listed)
}

// selectTasks returns the tasks to start now and marks their engines as in
// progress. It prefers healthy engines, then the oldest version, then the zone with
// the fewest updates in progress, then the least loaded engine.
func (u *Updater) selectTasks(tasks []task, counts map[string]engineCount) []task {
	now := u.options.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	inZone := make(map[string]int)
	inService := make(map[string]int)
	for _, t := range tasks {
		if s := t.server.Server; u.inProgress[s.ID] {
			inZone[s.Zone]++
			inService[s.Service]++
		}
	}
	var selected []task
	for {
		candidates := slices.DeleteFunc(slices.Clone(tasks), func(t task) bool {
			s := t.server.Server
			return u.inProgress[s.ID] || now < u.cooldownUntil[s.ID] || !counts[s.Service].mayTakeOut(inService[s.Service], u.drainAllowance(s.Service, counts[s.Service].listed, now))
		})
		if len(candidates) == 0 {
			return selected
		}
		t := slices.MinFunc(candidates, func(a, b task) int {
			return cmp.Or(
				// Engines that fail calls go last: their update would probably fail too and
				// take the place of another.
				compareBool(a.server.InBackoff, b.server.InBackoff),
				cmp.Compare(a.server.Versions[a.model], b.server.Versions[b.model]),
				cmp.Compare(inZone[a.server.Server.Zone], inZone[b.server.Server.Zone]),
				cmp.Compare(a.server.Load, b.server.Load),
				cmp.Compare(a.server.Server.ID, b.server.Server.ID))
		})
		s := t.server.Server
		u.inProgress[s.ID] = true
		inZone[s.Zone]++
		inService[s.Service]++
		c := counts[s.Service]
		c.serving--
		counts[s.Service] = c
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

func (u *Updater) finish(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.inProgress, id)
}

func (u *Updater) startCooldown(id string) {
	now := u.options.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	for otherID, until := range u.cooldownUntil {
		if until < now {
			delete(u.cooldownUntil, otherID)
		}
	}
	u.cooldownUntil[id] = now + failureCooldown
}

// updateEngine executes a task until the engine runs a newer version of the model,
// the lease is lost, or the engine fails. If the target version changes after the
// load began, it does not order a second load, since engines with older weights go
// first.
func (u *Updater) updateEngine(ctx context.Context, t task, maxLoads int) {
	s := t.server.Server
	if _, err := u.queryReport(ctx, s); err != nil {
		u.recordFailure(s, "report", err)
		return
	}
	a := u.announce(s, t.model, t.version)
	var lastOrderAt time.Duration
	var expectedOrders int64 = -1 // negative until the first order
	defer func() {
		if lastOrderAt == 0 {
			u.options.Announcer.ReloadCanceled(s, t.model, a.version)
		}
	}()
	if !timer.Sleep(ctx, announceLead) || !u.waitDrained(ctx, s, maxLoads, a) {
		return
	}
	defer u.releaseLoadSlot(s.Service)
	completed := false
	defer func() { u.endLoad(s, completed, u.options.Now()) }()
	began := u.options.Now()
	for u.options.Now()-began < loadTimeout {
		rep, err := u.queryReport(ctx, s)
		if err != nil {
			u.recordFailure(s, "report", err)
			return
		}
		target, _ := u.options.Catalog.TargetVersion(t.model)
		if rep.Models[t.model] > t.server.Versions[t.model] {
			u.options.Announcer.Reloaded(s, t.model, rep.Models[t.model])
			completed = true
			return
		}
		orderLost := rep.AcceptedOrders == expectedOrders && u.options.Now()-lastOrderAt > orderRetryDelay
		if !rep.Busy && (expectedOrders < 0 || rep.AcceptedOrders != expectedOrders || orderLost) {
			fence, held := u.options.Lease.Held()
			if !held {
				return
			}
			a.raise(target.Version)
			expectedOrders, lastOrderAt = rep.AcceptedOrders, u.options.Now()
			u.beginLoad(s, lastOrderAt)
			if err := u.sendOrder(ctx, s, Order{Model: t.model, Version: target.Version, Holder: u.options.Holder, Fence: fence, ExpectedOrders: expectedOrders, KeepRunningCalls: true, Permit: u.holdsLease(fence)}); err != nil {
				if errors.Is(err, ErrWrongEngine) || errors.Is(err, ErrRefused) {
					u.recordFailure(s, "order", err)
					return
				}
				event.OrderFailed.Log(u.options.Log, err, log.Fields{"engine": s.ID, "model": t.model, "version": target.Version})
			}
		}
		if !timer.Sleep(ctx, reportPollInterval) {
			return
		}
		a.renew()
	}
	u.recordFailure(s, "load", context.DeadlineExceeded)
}

// announcement is the announced reload of an engine.
type announcement struct {
	updater *Updater
	server  backend.Server
	model   string
	version int64
	// sentAt is when it was last announced.
	sentAt time.Duration
}

// announce announces the reload of an engine.
func (u *Updater) announce(s backend.Server, model string, version int64) *announcement {
	a := &announcement{updater: u, server: s, model: model, version: version}
	a.send()
	return a
}

func (a *announcement) send() {
	a.sentAt = a.updater.options.Now()
	a.updater.options.Announcer.Reloading(a.server, a.model, a.version)
}

// raise announces a newer version.
func (a *announcement) raise(version int64) {
	if version > a.version {
		a.version = version
		a.send()
	}
}

// renew repeats the announcement if it is due.
func (a *announcement) renew() {
	if a.updater.options.Now()-a.sentAt >= announcePeriod {
		a.send()
	}
}

// holdsLease returns a function that reports whether the lease is still held with the
// given fencing token.
func (u *Updater) holdsLease(fence int64) func() bool {
	return func() bool {
		current, held := u.options.Lease.Held()
		return held && current == fence
	}
}

// waitDrained waits until an engine has no running calls or drainTimeout has
// passed, and then until it acquires a load slot. It reports false if the lease or
// the context ended first.
func (u *Updater) waitDrained(ctx context.Context, s backend.Server, maxLoads int, a *announcement) bool {
	for began := u.options.Now(); ; {
		if _, held := u.options.Lease.Held(); !held {
			return false
		}
		drained := u.options.Table.Load(s.ID, u.options.Now()) == 0 || u.options.Now()-began > drainTimeout
		if drained && u.acquireLoadSlot(s.Service, maxLoads) {
			return true
		}
		if !timer.Sleep(ctx, drainPollInterval) {
			return false
		}
		a.renew()
	}
}

// acquireLoadSlot takes one of the maxLoads load slots of a service and reports
// whether one was free.
func (u *Updater) acquireLoadSlot(service string, maxLoads int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.activeLoads[service] >= maxLoads {
		return false
	}
	u.activeLoads[service]++
	return true
}

func (u *Updater) releaseLoadSlot(service string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.activeLoads[service]--
}

func (u *Updater) recordFailure(s backend.Server, step string, err error) {
	event.OrderFailed.Log(u.options.Log, err, log.Fields{"engine": s.ID, "step": step})
	u.startCooldown(s.ID)
}

func (u *Updater) queryReport(ctx context.Context, s backend.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, engineRequestTimeout)
	defer cancel()
	return u.options.Engines.Report(ctx, s)
}

func (u *Updater) sendOrder(ctx context.Context, s backend.Server, order Order) error {
	event.OrderSent.Log(u.options.Log, nil, log.Fields{
		"engine": s.ID, "model": order.Model, "version": order.Version, "fence": order.Fence, "expect": order.ExpectedOrders,
	})
	ctx, cancel := context.WithTimeout(ctx, engineRequestTimeout)
	defer cancel()
	return u.options.Engines.Order(ctx, s, order)
}
