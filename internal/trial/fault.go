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

// FaultKind is the kind of a fault that is injected into a run.
type FaultKind string

// The kinds of fault.
const (
	// FaultEngineRestart restarts one engine with an empty cache.
	FaultEngineRestart FaultKind = "engine"
	// FaultHotSetShift changes which prompt sections are requested most often.
	FaultHotSetShift FaultKind = "shift"
	// FaultRouterLoss stops one router and removes its VM without notice.
	FaultRouterLoss FaultKind = "vm"
	// FaultRestartAll replaces all routers at once by new ones without any state.
	FaultRestartAll FaultKind = "herd"
	// FaultEngineHang makes one engine send nothing for hangDuration while its
	// connections stay open.
	FaultEngineHang FaultKind = "hang"
	// FaultPlatformOutage makes the platform unavailable for the rest of the run.
	FaultPlatformOutage FaultKind = "platform"
)

const hangDuration = 5 * time.Second

// Fault is a fault planned for a given time after the start of a run.
type Fault struct {
	kind FaultKind
	at   time.Duration
}

// ErrInvalidFault means that the text of a fault is malformed.
var ErrInvalidFault = errors.New("trial: fault must be KIND@TIME, where KIND is engine, shift, hang, vm, herd or platform")

// ParseFault parses KIND@TIME.
func ParseFault(text string) (Fault, error) {
	kind, when, _ := strings.Cut(text, "@")
	at, err := time.ParseDuration(when)
	known := []FaultKind{FaultEngineRestart, FaultHotSetShift, FaultEngineHang, FaultRouterLoss, FaultRestartAll, FaultPlatformOutage}
	if err != nil || !slices.Contains(known, FaultKind(kind)) {
		return Fault{}, fmt.Errorf("%w: %q", ErrInvalidFault, text)
	}
	return Fault{kind: FaultKind(kind), at: at}, nil
}

// injectFault injects f now. A FaultHotSetShift is part of the plan of arrivals and
// needs nothing here.
func (r *run) injectFault(ctx context.Context, f Fault) error {
	c := r.cluster
	switch f.kind {
	case FaultEngineRestart:
		names := sortedKeys(c.Engines)
		c.Engines[names[0]].Restart()
	case FaultEngineHang:
		hung := c.Engines[sortedKeys(c.Engines)[0]]
		hung.SetFaults(standin.EngineFaults{Hang: true})
		time.AfterFunc(hangDuration, func() { hung.SetFaults(standin.EngineFaults{}) })
	case FaultPlatformOutage:
		c.Platform.SetFaults(standin.PlatformFaults{Down: true})
	case FaultRouterLoss:
		return r.removeLastRouter()
	case FaultRestartAll:
		return r.replaceAllRouters(ctx)
	case FaultHotSetShift:
	}
	return nil
}

// removeLastRouter closes the last router without draining it and removes its VM
// from the platform's list.
func (r *run) removeLastRouter() error {
	r.mu.Lock()
	last := len(r.entries) - 1
	r.entries = r.entries[:last]
	r.mu.Unlock()
	lost := r.cluster.Routers[last]
	name := lost.Status().VM
	r.cluster.Routers = r.cluster.Routers[:last]
	go lost.Close()
	r.cluster.Platform.RemoveVM(name)
	return nil
}

// replaceAllRouters starts a new router for each running one, sends callers to the
// new ones, and shuts the old ones down.
func (r *run) replaceAllRouters(ctx context.Context) error {
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
	r.setRouters(r.cluster.Routers)
	for _, o := range old {
		go func() { _ = o.Shutdown(ctx) }()
	}
	return nil
}
