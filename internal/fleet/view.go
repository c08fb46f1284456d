package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// View is the newest list that was read. It is safe for concurrent use.
type View struct {
	mu   sync.RWMutex // guards the fields below
	vms  map[string]platform.VM
	read bool
	at   timer.Instant
	// absent holds, for each watched name that the last list lacked, the
	// first of the unbroken row of reads that lacked it.
	absent  map[string]timer.Instant
	watched map[string]bool
}

// NewView returns a view that has read no list.
func NewView() *View {
	return &View{
		vms:     make(map[string]platform.VM),
		absent:  make(map[string]timer.Instant),
		watched: make(map[string]bool),
	}
}

// Update takes in a list that was asked for at an instant.
func (v *View) Update(list platform.List, at timer.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms = make(map[string]platform.VM, len(list.VMs))
	for _, vm := range list.VMs {
		v.vms[vm.Name] = vm
	}
	v.read = true
	v.at = at
	for name := range v.watched {
		v.mark(name, at)
	}
}

// UpdateFromPeer takes in a list that a peer has, until an own one is read. It is no
// proof of any VM's absence.
func (v *View) UpdateFromPeer(list platform.List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.read {
		return
	}
	v.vms = make(map[string]platform.VM, len(list.VMs))
	for _, vm := range list.VMs {
		v.vms[vm.Name] = vm
	}
}

// List returns the VMs known now.
func (v *View) List() platform.List {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list platform.List
	for _, vm := range v.vms {
		list.VMs = append(list.VMs, vm)
	}
	return list
}

func (v *View) mark(name string, at timer.Instant) {
	if _, listed := v.vms[name]; listed {
		delete(v.absent, name)
		return
	}
	if _, known := v.absent[name]; !known {
		v.absent[name] = at
	}
}

// TrackAbsence makes the view keep track of a VM's absence from now on.
func (v *View) TrackAbsence(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.watched[name] && v.read {
		v.watched[name] = true
		v.mark(name, v.at)
	}
}

// AbsentFor returns how long every list read lacked a watched VM; zero if the
// last one had it.
func (v *View) AbsentFor(name string) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	since, ok := v.absent[name]
	if !ok {
		return 0
	}
	return v.at.Sub(since)
}

// Live reports whether the last list shows a VM as live.
func (v *View) Live(name string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.vms[name].State == platform.StateLive
}

// Leaving reports whether the last list shows a VM as leaving.
func (v *View) Leaving(name string) bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.vms[name].State == platform.StateLeaving
}

// Find returns a VM of the last list.
func (v *View) Find(name string) (platform.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	vm, ok := v.vms[name]
	return vm, ok
}

// Routers returns the live routers of a zone in the order of their names; an
// empty zone stands for all.
func (v *View) Routers(zone string) []platform.VM {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var out []platform.VM
	for _, vm := range v.vms {
		if vm.Role == platform.RoleRouter && vm.State == platform.StateLive && (zone == "" || vm.Zone == zone) {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, func(a, b platform.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}
