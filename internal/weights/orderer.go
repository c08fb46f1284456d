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

// Errors of orders.
var (
	// ErrBusy means that the engine carries out another order, or has accepted
	// one since it was last asked.
	ErrBusy = errors.New("engine has another order")
	// ErrRefused means that the engine does not take the order as it is.
	ErrRefused = errors.New("engine refused the order")
	// ErrOther means that another engine answers at the address.
	ErrOther = errors.New("another engine answered")
)

const (
	// least is how many engines load at once without slowing each other, as the
	// users' pages state for their smallest service.
	least = 2
	// share is the part of a larger service's engines that load at once.
	share = 5
	// notice is how long before an order the other VMs are told: one message
	// between zones, and a wake-up.
	notice = 40 * time.Millisecond
	// emptying bounds the wait for an engine's running calls before its order;
	// those that remain go on under the new weights.
	emptying = 700 * time.Millisecond
	// glance is the pause between two looks at an engine that empties.
	glance = 30 * time.Millisecond
	// look is the pause between two looks at an engine that loads.
	look = 150 * time.Millisecond
	// repeat is after how long an order whose answer was lost is given again if
	// the engine does not show it: reports lag by some hundred ms.
	repeat = 300 * time.Millisecond
	// patience bounds the work on one engine before it takes its turn again.
	patience = 7 * time.Second
	// callTimeout bounds one call of an engine.
	callTimeout = 300 * time.Millisecond
	// kept is the part of a service's engines that go on taking calls while
	// others empty and load, as far as that many are sound.
	kept = 0.5
	// rest is how long an engine that failed an order is left alone.
	rest = time.Second
)

// Order tells an engine to load weights.
type Order struct {
	Model   string
	Version int64
	Holder  string
	Fence   int64
	// Expect is the count of accepted orders that the engine must have.
	Expect int64
	// Through lets the engine's running calls go on under the new weights; else
	// the engine waits for their end.
	Through bool
}

// Report is what an engine says of itself.
type Report struct {
	Models map[string]int64
	Busy   bool
	// Orders counts the orders accepted since the engine's start.
	Orders int64
}

// Engines gives orders to engines.
type Engines interface {
	Order(ctx context.Context, s backend.Server, o Order) error
	Report(ctx context.Context, s backend.Server) (Report, error)
}

// Duty grants the right to give orders.
type Duty interface {
	Keep(ctx context.Context) (bool, error)
	Held() (fence int64, held bool)
}

// Announcer tells the other VMs of orders.
type Announcer interface {
	// Reloading tells that an incarnation is about to load a version.
	Reloading(s backend.Server, model string, version int64)
	// Reloaded tells which version an incarnation now runs.
	Reloaded(s backend.Server, model string, version int64)
	// Spared takes Reloading back: no order was given.
	Spared(s backend.Server, model string, version int64)
}

// Options are what an Orderer works with.
type Options struct {
	Holder   string
	Catalog  *catalog.Holder
	Table    *backend.Table
	Engines  Engines
	Duty     Duty
	History  *History
	Announce Announcer
	Now      func() time.Duration
	Log      log.Interface
}

// Orderer is one VM's part in bringing engines to their versions.
type Orderer struct {
	options Options

	mu sync.Mutex // guards the fields below
	// loading holds the engines that are being worked on, by ID.
	loading map[string]bool
	// ordered counts the engines of each service that were ordered to load and
	// are not known to have done so.
	ordered map[string]int
	rested  map[string]time.Duration
	running sync.WaitGroup
}

// New returns an orderer; Step makes it work.
func New(o Options) *Orderer {
	return &Orderer{options: o, loading: make(map[string]bool), ordered: make(map[string]int), rested: make(map[string]time.Duration)}
}

// task is an engine that runs an older version than was named.
type task struct {
	server  backend.Status
	model   string
	version int64
}

// Step looks for engines to order and starts on some. It is to be called
// several times a second.
func (o *Orderer) Step(ctx context.Context) {
	tasks, census := o.tasks()
	if len(tasks) == 0 {
		return
	}
	held, err := o.options.Duty.Keep(ctx)
	if err != nil {
		event.LeaseUnkept.Log(o.options.Log, err, log.Fields{"held": held})
	}
	if !held {
		return
	}
	if err := o.options.History.Save(ctx); err != nil {
		event.HistoryUnsaved.Log(o.options.Log, err, nil)
	}
	for _, t := range o.pick(tasks, census) {
		o.running.Go(func() {
			defer o.done(t.server.Server.ID)
			o.load(ctx, t, atOnce(census[t.server.Server.Service].listed))
		})
	}
}

// Wait returns when no order is being worked on.
func (o *Orderer) Wait() { o.running.Wait() }

// census counts the engines of a service: those that are listed, and those of
// them that take calls.
type census struct{ listed, sound int }

// tasks returns what is to be done, and the engines of each service.
func (o *Orderer) tasks() ([]task, map[string]census) {
	targets := o.options.Catalog.Targets()
	sizes := make(map[string]census)
	var out []task
	now := o.options.Now()
	for _, s := range o.options.Table.Statuses("", now) {
		if s.Server.Draining || len(s.Server.Models) == 0 {
			continue
		}
		c := sizes[s.Server.Service]
		c.listed++
		if !s.InBackoff && !s.Reloading {
			c.sound++
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

// atOnce returns how many of a service's engines may load together.
func atOnce(size int) int { return max(least, size/share) }

// inWork returns how many engines are kept free of new calls together: those
// that load, and those that empty so as to load next.
func inWork(size int) int { return atOnce(size) + atOnce(size)/2 + 1 }

// spares reports whether one engine more may be kept free of calls while
// several already are. One at a time always may: weights have to come in force.
func (c census) spares(inWorkNow int) bool {
	if inWorkNow == 0 {
		return true
	}
	return inWorkNow < inWork(c.listed) && float64(c.sound-1) >= kept*float64(c.listed)
}

// pick takes the tasks to start on now: the oldest versions first, spread over
// zones, the idlest engine first.
func (o *Orderer) pick(tasks []task, sizes map[string]census) []task {
	now := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	inZone := make(map[string]int)
	inService := make(map[string]int)
	for _, t := range tasks {
		if s := t.server.Server; o.loading[s.ID] {
			inZone[s.Zone]++
			inService[s.Service]++
		}
	}
	var picked []task
	for {
		free := slices.DeleteFunc(slices.Clone(tasks), func(t task) bool {
			s := t.server.Server
			return o.loading[s.ID] || now < o.rested[s.ID] || !sizes[s.Service].spares(inService[s.Service])
		})
		if len(free) == 0 {
			return picked
		}
		t := slices.MinFunc(free, func(a, b task) int {
			return cmp.Or(
				// Engines that fail calls would hold a place in vain.
				compareBool(a.server.InBackoff, b.server.InBackoff),
				cmp.Compare(a.server.Versions[a.model], b.server.Versions[b.model]),
				cmp.Compare(inZone[a.server.Server.Zone], inZone[b.server.Server.Zone]),
				cmp.Compare(a.server.Load, b.server.Load),
				cmp.Compare(a.server.Server.ID, b.server.Server.ID))
		})
		s := t.server.Server
		o.loading[s.ID] = true
		inZone[s.Zone]++
		inService[s.Service]++
		c := sizes[s.Service]
		c.sound--
		sizes[s.Service] = c
		picked = append(picked, t)
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

func (o *Orderer) done(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.loading, id)
}

func (o *Orderer) rest(id string) {
	now := o.options.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for other, until := range o.rested {
		if until < now {
			delete(o.rested, other)
		}
	}
	o.rested[id] = now + rest
}

// load works on one engine until it runs a newer version of a model, or until
// this VM may not or cannot. A version that is named meanwhile waits for its
// turn, since engines with older weights go first.
func (o *Orderer) load(ctx context.Context, t task, atOnce int) {
	s := t.server.Server
	if _, err := o.report(ctx, s); err != nil {
		o.failed(s, "report", err)
		return
	}
	o.options.Announce.Reloading(s, t.model, t.version)
	announced := t.version
	var ordered time.Duration
	var expect int64 = -1
	defer func() {
		if ordered == 0 {
			o.options.Announce.Spared(s, t.model, announced)
		}
	}()
	if !timer.Sleep(ctx, notice) || !o.emptied(ctx, s, atOnce) {
		return
	}
	defer o.loaded(s.Service)
	began := o.options.Now()
	for o.options.Now()-began < patience {
		rep, err := o.report(ctx, s)
		if err != nil {
			o.failed(s, "report", err)
			return
		}
		target, _ := o.options.Catalog.Named(t.model)
		if rep.Models[t.model] > t.server.Versions[t.model] {
			o.options.Announce.Reloaded(s, t.model, rep.Models[t.model])
			return
		}
		lost := rep.Orders == expect && o.options.Now()-ordered > repeat
		if !rep.Busy && (expect < 0 || rep.Orders != expect || lost) {
			fence, held := o.options.Duty.Held()
			if !held {
				return
			}
			if announced < target.Version {
				o.options.Announce.Reloading(s, t.model, target.Version)
				announced = target.Version
			}
			expect, ordered = rep.Orders, o.options.Now()
			if err := o.order(ctx, s, Order{Model: t.model, Version: target.Version, Holder: o.options.Holder, Fence: fence, Expect: expect, Through: true}); err != nil {
				if errors.Is(err, ErrOther) || errors.Is(err, ErrRefused) {
					o.failed(s, "order", err)
					return
				}
				event.OrderFailed.Log(o.options.Log, err, log.Fields{"engine": s.ID, "model": t.model, "version": target.Version})
			}
		}
		if !timer.Sleep(ctx, look) {
			return
		}
	}
	o.failed(s, "load", context.DeadlineExceeded)
}

// emptied waits until an engine has no calls, or long enough, and until it may
// load beside others. It reports false if the duty ended meanwhile.
func (o *Orderer) emptied(ctx context.Context, s backend.Server, atOnce int) bool {
	for began := o.options.Now(); ; {
		if _, held := o.options.Duty.Held(); !held {
			return false
		}
		empty := o.options.Table.Load(s.ID, o.options.Now()) == 0 || o.options.Now()-began > emptying
		if empty && o.turn(s.Service, atOnce) {
			return true
		}
		if !timer.Sleep(ctx, glance) {
			return false
		}
	}
}

// turn takes one of the places to load, if one is free.
func (o *Orderer) turn(service string, atOnce int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ordered[service] >= atOnce {
		return false
	}
	o.ordered[service]++
	return true
}

func (o *Orderer) loaded(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ordered[service]--
}

func (o *Orderer) failed(s backend.Server, step string, err error) {
	event.OrderFailed.Log(o.options.Log, err, log.Fields{"engine": s.ID, "step": step})
	o.rest(s.ID)
}

func (o *Orderer) report(ctx context.Context, s backend.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.options.Engines.Report(ctx, s)
}

func (o *Orderer) order(ctx context.Context, s backend.Server, order Order) error {
	event.OrderSent.Log(o.options.Log, nil, log.Fields{
		"engine": s.ID, "model": order.Model, "version": order.Version, "fence": order.Fence, "expect": order.Expect,
	})
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return o.options.Engines.Order(ctx, s, order)
}
