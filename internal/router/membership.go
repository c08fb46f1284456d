package router

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// Timeouts of membership operations.
const (
	vmListTimeout      = 2 * time.Second
	slotTimeout        = 2 * time.Second
	slotReleaseTimeout = time.Second
)

// readVMList reads the list of VMs from the platform.
func (r *Router) readVMList() {
	ctx, cancel := context.WithTimeout(context.Background(), vmListTimeout)
	defer cancel()
	requestedAt := r.clock.Now()
	list, err := r.platform.ListVMs(ctx)
	if err != nil {
		event.VMListFailed.Log(r.log, err, nil)
		return
	}
	for _, err := range list.Invalid {
		event.VMListFailed.Log(r.log, err, nil)
	}
	r.view.Update(list, requestedAt)
	r.queues.resize(r)
}

// checkSlots reads the zone's slot rows if a peer's claim differs from them, if
// some slot may have no holder, or if they are due for a regular read.
func (r *Router) checkSlots() {
	r.slotChecks++
	due := r.slotChecks%slotReadEvery == 0
	due = due || r.slotChecks%unheldSlotReadEvery == 0 && !r.slots.AllHeld(r.view, r.retired)
	if r.slotRowsStale.Swap(false) || due {
		r.readSlots()
	}
}

// readSlots reads the zone's slot rows, drops the slots that this VM has lost
// and acquires those that it should hold.
func (r *Router) readSlots() {
	ctx, cancel := context.WithTimeout(context.Background(), slotTimeout)
	defer cancel()
	rows, err := r.platform.List(ctx, fleet.SlotGroup(r.settings.Zone))
	if err != nil {
		event.SlotReadFailed.Log(r.log, err, nil)
		return
	}
	lost, invalid := r.slots.Update(rows, r.clock.Now())
	for _, err := range invalid {
		event.SlotInvalid.Log(r.log, err, nil)
	}
	for _, slot := range lost {
		r.ledger.Drop(slot, r.clock.Now())
		event.SlotLost.Log(r.log, nil, log.Fields{"slot": int(slot)})
	}
	if r.draining.Load() {
		return
	}
	for _, write := range r.slots.Plan(r.view, r.settings.Zone, r.retired, r.clock.Now()) {
		r.acquireSlot(write)
	}
}

func (r *Router) retired(name string) bool {
	_, ok := r.configTracker.Current().RetiredVMs().Get(name)
	return ok
}

// acquireSlot writes this VM into the slot's row as its holder and starts
// lending from the slot.
func (r *Router) acquireSlot(t fleet.SlotWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), slotTimeout)
	defer cancel()
	if err := r.commitSlot(ctx, t); err != nil {
		event.SlotConflict.Log(r.log, err, log.Fields{"slot": int(t.Slot)})
		return
	}
	r.slots.MarkAcquired(t)
	r.ledger.Take(t.Slot, t.Row.Epoch, t.Handover, r.clock.Now())
	event.SlotTaken.Log(r.log, nil, log.Fields{"slot": int(t.Slot), "epoch": t.Row.Epoch})
}

func (r *Router) commitSlot(ctx context.Context, t fleet.SlotWrite) error {
	raw, err := json.Marshal(t.Row)
	if err != nil {
		return fmt.Errorf("router: slot row: %w", err)
	}
	write := platform.Write{Key: t.Key(r.settings.Zone), ExpectedVersion: t.Expect, Data: raw}
	if err := r.platform.Commit(ctx, t.Row.Attempt, write); err != nil {
		return fmt.Errorf("router: slot: %w", err)
	}
	return nil
}

// releaseSlots stops lending from all slots and releases them for other VMs. A
// slot whose release cannot be written stays assigned to this VM until the list
// of VMs shows the VM gone.
func (r *Router) releaseSlots(ctx context.Context) {
	for _, slot := range r.slots.HeldSlots() {
		t, ok := r.slots.Release(slot, r.ledger.Drop(slot, r.clock.Now()))
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, slotReleaseTimeout)
		err := r.commitSlot(ctx, t)
		cancel()
		if err != nil {
			event.SlotConflict.Log(r.log, err, log.Fields{"slot": int(slot)})
			continue
		}
		event.SlotReleased.Log(r.log, nil, log.Fields{"slot": int(slot)})
	}
}
