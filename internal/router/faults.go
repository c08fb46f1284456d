package router

import (
	"errors"
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// errLinkCut is the error of every use of a cut link.
var errLinkCut = errors.New("router: link cut by a fault switch")

// CutLinks lists the links that fault injection has cut.
type CutLinks struct {
	// Platform cuts the link to the platform.
	Platform bool `json:"platform"`
	// Zones cuts the links to the routers of these zones.
	Zones []string `json:"zones"`
}

// faultSwitch cuts links in tests. Its zero value cuts none.
type faultSwitch struct {
	mu  sync.RWMutex // guards the field below
	cut CutLinks
}

func (f *faultSwitch) set(c CutLinks) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = c
}

func (f *faultSwitch) checkPlatform() error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.cut.Platform {
		return errLinkCut
	}
	return nil
}

func (f *faultSwitch) checkZone(name string) error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, zone := range f.cut.Zones {
		if zone == name {
			return errLinkCut
		}
	}
	return nil
}

// checkPeerLink returns an error if the link to the zone of the peer is cut.
func (r *Router) checkPeerLink(address string) error {
	if !r.settings.AllowFaults {
		return nil
	}
	for _, vm := range r.view.Routers("") {
		if vm.PeerAddress == address && vm.Role == platform.RoleRouter {
			return r.faults.checkZone(vm.Zone)
		}
	}
	return nil
}
