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

// Bounds of one exchange about membership.
const (
	listTimeout    = 2 * time.Second
	takeTimeout    = 2 * time.Second
	releaseTimeout = time.Second
)

// readList takes in the platform's list of VMs.
func (r *Router) readList() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	asked := r.clock.Now()
	list, err := r.platform.ListVMs(ctx)
	if err != nil {
		event.VMListFailed.Log(r.log, err, nil)
		return
	}
	r.view.Update(list, asked)
	r.queues.resize(r)
}

// lookAfterSlots reads the zone's slot rows: at once after a peer's word that
// differs from them, and else seldom unless some slot may need a holder.
func (r *Router) lookAfterSlots() {
	r.slotRound++
	due := r.slotRound%slotRounds == 0
	due = due || r.slotRound%slotUnsettled == 0 && !r.slots.AllHeld(r.view, r.retired)
	if r.slotDoubt.Swap(false) || due {
		r.readSlots()
	}
}

// readSlots takes in the zone's slot rows and takes what this VM should hold.
func (r *Router) readSlots() {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	rows, err := r.platform.List(ctx, fleet.SlotGroup(r.settings.Zone))
	if err != nil {
		event.SlotReadFailed.Log(r.log, err, nil)
		return
	}
	lost, bad := r.slots.Update(rows, r.clock.Now())
	for _, err := range bad {
		event.SlotInvalid.Log(r.log, err, nil)
	}
	for _, slot := range lost {
		r.ledger.Drop(slot, r.clock.Now())
		event.SlotLost.Log(r.log, nil, log.Fields{"slot": int(slot)})
	}
	if r.draining.Load() {
		return
	}
	for _, take := range r.slots.Plan(r.view, r.settings.Zone, r.retired, r.clock.Now()) {
		r.take(take)
	}
}

func (r *Router) retired(name string) bool {
	_, ok := r.configTracker.Current().RetiredVMs().Get(name)
	return ok
}

// take commits a slot to this VM and makes it the holder.
func (r *Router) take(t fleet.SlotWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
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

// releaseSlots ends minting here and frees the slots for others. A slot whose
// release cannot be written stays this VM's until the list shows it gone.
func (r *Router) releaseSlots(ctx context.Context) {
	for _, slot := range r.slots.HeldSlots() {
		t, ok := r.slots.Release(slot, r.ledger.Drop(slot, r.clock.Now()))
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := r.commitSlot(ctx, t)
		cancel()
		if err != nil {
			event.SlotConflict.Log(r.log, err, log.Fields{"slot": int(slot)})
			continue
		}
		event.SlotReleased.Log(r.log, nil, log.Fields{"slot": int(slot)})
	}
}
