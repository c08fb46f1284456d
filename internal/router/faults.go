package router

import (
	"errors"
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// errCut is what a cut link answers.
var errCut = errors.New("router: link cut by a fault switch")

// CutLinks names the links that a fault switch has cut.
type CutLinks struct {
	// Platform cuts the link to the platform.
	Platform bool `json:"platform"`
	// Zones cuts the links to the routers of these zones.
	Zones []string `json:"zones"`
}

// faultSwitch cuts links in tests; its zero value cuts none.
type faultSwitch struct {
	mu  sync.RWMutex // guards the field below
	cut CutLinks
}

func (f *faultSwitch) set(c CutLinks) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = c
}

func (f *faultSwitch) platform() error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.cut.Platform {
		return errCut
	}
	return nil
}

func (f *faultSwitch) zone(name string) error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, zone := range f.cut.Zones {
		if zone == name {
			return errCut
		}
	}
	return nil
}

// gatePeer refuses exchanges with peers behind a cut link.
func (r *Router) gatePeer(address string) error {
	if !r.settings.AllowFaults {
		return nil
	}
	for _, vm := range r.view.Routers("") {
		if vm.Address == address && vm.Role == platform.RoleRouter {
			return r.faults.zone(vm.Zone)
		}
	}
	return nil
}
