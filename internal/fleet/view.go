package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// View holds the VM list that was read last. It is safe for concurrent use.
type View struct {
	mu       sync.RWMutex // guards the fields below
	vms      map[string]platform.VM
	listRead bool
	askedAt  timer.Instant
	// absentSince holds, for each tracked name that the last list lacked, the
	// time of the first of the consecutive reads that lacked it.
	absentSince map[string]timer.Instant
	tracked     map[string]bool
}

// NewView returns a view without a list.
func NewView() *View {
	return &View{
		vms:         make(map[string]platform.VM),
		absentSince: make(map[string]timer.Instant),
		tracked:     make(map[string]bool),
	}
}

// Update replaces the list by one that was requested at the given instant.
func (v *View) Update(list platform.VMList, at timer.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms = make(map[string]platform.VM, len(list.VMs))
	for _, vm := range list.VMs {
		v.vms[vm.Name] = vm
	}
	v.listRead = true
	v.askedAt = at
	for name := range v.tracked {
		v.updateAbsence(name, at)
	}
}

// UpdateFromPeer replaces the list by a peer's, unless this VM has read one from
// the platform itself. A peer's list doesn't count as evidence that a VM is
// absent.
func (v *View) UpdateFromPeer(list platform.VMList) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listRead {
		return
	}
	v.vms = make(map[string]platform.VM, len(list.VMs))
	for _, vm := range list.VMs {
		v.vms[vm.Name] = vm
	}
}

// List returns the known VMs, in no particular order.
func (v *View) List() platform.VMList {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list platform.VMList
	for _, vm := range v.vms {
		list.VMs = append(list.VMs, vm)
	}
	return list
}

func (v *View) updateAbsence(name string, at timer.Instant) {
	if _, listed := v.vms[name]; listed {
		delete(v.absentSince, name)
		return
	}
	if _, known := v.absentSince[name]; !known {
		v.absentSince[name] = at
	}
}

// TrackAbsence starts to track for how long the lists lack a VM. It has no effect
// before the first Update.
func (v *View) TrackAbsence(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.tracked[name] && v.listRead {
		v.tracked[name] = true
		v.updateAbsence(name, v.askedAt)
	}
}

// AbsentFor returns for how long every list read has lacked a tracked VM; zero if
// the last one had it.
func (v *View) AbsentFor(name string) time.Duration {
	v.mu.RLock()
	defer v.mu.RUnlock()
	since, ok := v.absentSince[name]
	if !ok {
		return 0
	}
	return v.askedAt.Sub(since)
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

// Find returns a VM of the last list by name.
func (v *View) Find(name string) (platform.VM, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	vm, ok := v.vms[name]
	return vm, ok
}

// Routers returns the live routers of a zone, sorted by name. An empty zone means
// all zones.
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
