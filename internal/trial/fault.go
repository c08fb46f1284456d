package trial

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/standin"
)

// FaultKind is a kind of trouble that a run can have.
type FaultKind string

// The kinds of fault.
const (
	// FaultEngineRestart restarts one engine with an empty cache.
	FaultEngineRestart FaultKind = "engine"
	// FaultHotSetShift moves the hot sets.
	FaultHotSetShift FaultKind = "shift"
	// FaultRouterLoss takes one router away.
	FaultRouterLoss FaultKind = "vm"
	// FaultRestartAll replaces every router by one that knows nothing.
	FaultRestartAll FaultKind = "herd"
	// FaultEngineHang silences one engine for hangTime, its connections open.
	FaultEngineHang FaultKind = "hang"
	// FaultPlatformOutage stops the platform for the rest of the run.
	FaultPlatformOutage FaultKind = "platform"
)

// hangTime is how long a hung engine is silent.
const hangTime = 5 * time.Second

// Fault is planned trouble.
type Fault struct {
	kind FaultKind
	at   time.Duration
}

// ErrInvalidFault means that a fault does not parse.
var ErrInvalidFault = errors.New("trial: a fault is KIND@TIME with engine, shift, hang, vm, herd or platform")

// ParseFault reads KIND@TIME.
func ParseFault(text string) (Fault, error) {
	kind, when, _ := strings.Cut(text, "@")
	at, err := time.ParseDuration(when)
	known := []FaultKind{FaultEngineRestart, FaultHotSetShift, FaultEngineHang, FaultRouterLoss, FaultRestartAll, FaultPlatformOutage}
	if err != nil || !slices.Contains(known, FaultKind(kind)) {
		return Fault{}, fmt.Errorf("%w: %q", ErrInvalidFault, text)
	}
	return Fault{kind: FaultKind(kind), at: at}, nil
}

// bring makes a fault happen.
func (r *run) bring(ctx context.Context, f Fault) error {
	c := r.cluster
	switch f.kind {
	case FaultEngineRestart:
		names := sortedKeys(c.Engines)
		c.Engines[names[0]].Restart()
	case FaultEngineHang:
		hung := c.Engines[sortedKeys(c.Engines)[0]]
		hung.SetFaults(standin.EngineFaults{Hang: true})
		time.AfterFunc(hangTime, func() { hung.SetFaults(standin.EngineFaults{}) })
	case FaultPlatformOutage:
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	case FaultRouterLoss:
		return r.loseVM()
	case FaultRestartAll:
		return r.herd(ctx)
	case FaultHotSetShift:
	}
	return nil
}

// loseVM takes the last router away at once, as the platform's list then says.
func (r *run) loseVM() error {
	r.mu.Lock()
	last := len(r.entries) - 1
	r.entries = r.entries[:last]
	r.mu.Unlock()
	lost := r.cluster.Routers[last]
	name := lost.Status().VM
	r.cluster.Routers = r.cluster.Routers[:last]
	go lost.Close()
	r.cluster.Platform.DropVM(name)
	return nil
}

// herd starts every router anew. Callers go on at the new ones.
func (r *run) herd(ctx context.Context) error {
	old := r.cluster.Routers
	r.cluster.Routers = nil
	for _, o := range old {
		s := o.Status()
		r.cluster.Platform.PutVM(platform.VM{Name: s.VM, Zone: s.Zone, Role: platform.RoleRouter, State: platform.StateLeaving})
		fresh, err := r.cluster.StartRouter(s.VM+"-new", s.Zone)
		if err != nil {
			return err
		}
		r.cluster.Routers = append(r.cluster.Routers, fresh)
	}
	r.use(r.cluster.Routers)
	for _, o := range old {
		go func() { _ = o.Shutdown(ctx) }()
	}
	return nil
}
