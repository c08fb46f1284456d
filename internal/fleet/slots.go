package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
)

// DefaultAbsenceTimeout is how long every list must have lacked a VM before its slots are
// taken over. It must exceed the lag of the platform's list.
const DefaultAbsenceTimeout = 10 * time.Second

// freePause is how long each further VM in a slot's order waits before it
// takes a slot that nobody holds.
const freePause = 5 * time.Second

// SlotRow is the kept state of a slot.
type SlotRow struct {
	// Holder is the VM that mints for the slot; empty after a release.
	Holder string `json:"vm"`
	// Epoch grows with every change of the row.
	Epoch uint64 `json:"epoch"`
	// Attempt tells this write from all others.
	Attempt string `json:"attempt"`
	// Handover is what a holder that released the slot left.
	Handover team.Estate `json:"estate,omitzero"`
}

// SlotWrite is a slot that this VM should try to get.
type SlotWrite struct {
	Slot team.Slot
	// Expect is the version of the row, zero if there is none.
	Expect uint64
	Row    SlotRow
	// Handover is what the former holder left; of a slot that nobody ever held,
	// full buckets.
	Handover team.Estate
}

// Key returns the row's key.
func (t SlotWrite) Key(zone string) platform.Key { return SlotKey(zone, t.Slot) }

// SlotGroup returns the group of a zone's slot rows.
func SlotGroup(zone string) string { return "slots/" + zone }

// SlotKey returns the key of a slot's row.
func SlotKey(zone string, s team.Slot) platform.Key {
	return platform.Key{Group: SlotGroup(zone), Name: strconv.Itoa(int(s))}
}

type slotState struct {
	version uint64
	row     SlotRow
	// freeSince is when the slot was first seen with no holder.
	freeSince timer.Instant
}

// estate returns what the next holder finds. A holder that did not release
// the slot left nothing that is known.
func (st slotState) estate() team.Estate {
	switch {
	case st.version == 0:
		return team.Estate{Full: true}
	case st.row.Holder == "":
		return st.row.Handover
	default:
		return team.Estate{}
	}
}

// Slots decides which slots this VM should hold. It is safe for concurrent
// use.
type Slots struct {
	self    string
	confirm time.Duration

	mu    sync.RWMutex // guards the fields below
	known bool
	state [team.SlotCount]slotState
	// mine marks the slots that this run of the process has taken.
	mine [team.SlotCount]bool
	// heard is what peers last said of the slots that they hold.
	heard [team.SlotCount]claimant
}

// claimant is a VM that said it holds a slot.
type claimant struct {
	vm string
	at timer.Instant
}

// heardLife is how long a peer's word of its slots goes before the rows, which
// are read less often and not at all while the platform is out.
const heardLife = 5 * time.Second

// NewSlots returns a table in which nothing is known. A zero confirm stands
// for Confirm.
func NewSlots(self string, confirm time.Duration) *Slots {
	if confirm == 0 {
		confirm = DefaultAbsenceTimeout
	}
	return &Slots{self: self, confirm: confirm}
}

// ParseRow reads a slot's row.
func ParseRow(row platform.Row) (team.Slot, SlotRow, error) {
	n, err := strconv.Atoi(row.Key.Name)
	if err != nil || n < 0 || n >= team.SlotCount {
		return 0, SlotRow{}, fmt.Errorf("fleet: slot row %q: no such slot", row.Key.Name)
	}
	var r SlotRow
	if err := json.Unmarshal(row.Data, &r); err != nil {
		return 0, SlotRow{}, fmt.Errorf("fleet: slot row %q: %w", row.Key.Name, err)
	}
	if r.Epoch == 0 {
		return 0, SlotRow{}, fmt.Errorf("fleet: slot row %q: no epoch", row.Key.Name)
	}
	return team.Slot(n), r, nil
}

// Update takes in the zone's rows and returns the slots that this run held
// and has lost. Rows that do not parse, or are older than known, change
// nothing and are returned as errors.
func (s *Slots) Update(rows []platform.Row, now timer.Instant) (lost []team.Slot, bad []error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		slot, parsed, err := ParseRow(row)
		if err != nil {
			bad = append(bad, err)
			continue
		}
		st := &s.state[slot]
		if row.Version <= st.version {
			continue
		}
		if parsed.Holder == "" && st.row.Holder != "" || st.version == 0 {
			st.freeSince = now
		}
		st.version, st.row = row.Version, parsed
		if s.mine[slot] && parsed.Holder != s.self {
			s.mine[slot] = false
			lost = append(lost, slot)
		}
	}
	s.known = true
	return lost, bad
}

// RecordPeerClaims takes in a peer's word of the slots that it holds, one bit for each. It
// only tells whom to ask, and is no proof of anything. It reports true when the
// rows say otherwise and should be read again.
func (s *Slots) RecordPeerClaims(vm string, held uint32, now timer.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	differs := false
	for i := range s.heard {
		has := held&(1<<i) != 0
		differs = differs || has != (s.state[i].row.Holder == vm)
		switch {
		case has:
			s.heard[i] = claimant{vm: vm, at: now}
		case s.heard[i].vm == vm:
			s.heard[i] = claimant{}
		}
	}
	return differs
}

// HeldMask returns the slots that this run has taken, one bit for each.
func (s *Slots) HeldMask() uint32 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	held := uint32(0)
	for i, mine := range s.mine {
		if mine {
			held |= 1 << i
		}
	}
	return held
}

// Holder returns the VM that holds a slot, as far as known.
func (s *Slots) Holder(slot team.Slot, now timer.Instant) (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	holder := s.state[slot].row.Holder
	if c := s.heard[slot]; c.vm != "" && (holder == "" || now.Sub(c.at) < heardLife) {
		holder = c.vm
	}
	return holder, holder != ""
}

// HeldSlots returns the slots that this run of the process has taken.
func (s *Slots) HeldSlots() []team.Slot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []team.Slot
	for i, mine := range s.mine {
		if mine {
			out = append(out, team.Slot(i))
		}
	}
	return out
}

// Plan returns the slots that this VM should try to take now. retired reports
// VMs that the operators declared gone.
func (s *Slots) Plan(v *View, zone string, retired func(string) bool, now timer.Instant) []SlotWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known || !v.Live(s.self) {
		return nil
	}
	routers := v.Routers(zone)
	var takes []SlotWrite
	for i := range s.state {
		slot := team.Slot(i)
		if s.mine[i] || !s.due(slot, v, routers, retired, now) {
			continue
		}
		st := s.state[i]
		takes = append(takes, SlotWrite{
			Slot:   slot,
			Expect: st.version,
			Row:    SlotRow{Holder: s.self, Epoch: st.row.Epoch + 1, Attempt: platform.NewToken()},
			Handover: st.estate(),
		})
	}
	return takes
}

func (s *Slots) due(slot team.Slot, v *View, routers []platform.VM, retired func(string) bool, now timer.Instant) bool {
	st := &s.state[slot]
	holder := st.row.Holder
	if holder == s.self {
		return true
	}
	rank := rankOf(slot, s.self, routers)
	if holder == "" {
		return now.Sub(st.freeSince) >= time.Duration(rank)*freePause
	}
	if retired(holder) {
		return rank == 0
	}
	v.TrackAbsence(holder)
	return v.AbsentFor(holder) >= time.Duration(1+rank)*s.confirm
}

// AllHeld reports whether every slot is known to be held by a live VM that is
// not retired.
func (s *Slots) AllHeld(v *View, retired func(string) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for i := range s.state {
		holder := s.state[i].row.Holder
		if !v.Live(holder) || retired(holder) || (holder == s.self && !s.mine[i]) {
			return false
		}
	}
	return true
}

// MarkAcquired records that a Take was committed.
func (s *Slots) MarkAcquired(t SlotWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state[t.Slot] = slotState{version: t.Expect + 1, row: t.Row}
	s.mine[t.Slot] = true
}

// Release returns the write that frees a slot of this run with what it leaves,
// and stops counting it as taken. ok is false if the slot is not this run's.
func (s *Slots) Release(slot team.Slot, left team.Estate) (t SlotWrite, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mine[slot] {
		return SlotWrite{}, false
	}
	s.mine[slot] = false
	st := s.state[slot]
	return SlotWrite{
		Slot: slot, Expect: st.version,
		Row: SlotRow{Epoch: st.row.Epoch + 1, Attempt: platform.NewToken(), Handover: left},
	}, true
}

// rankOf returns the place of a VM in a slot's order of preference.
func rankOf(slot team.Slot, self string, routers []platform.VM) int {
	return slices.Index(RendezvousOrder(strconv.Itoa(int(slot)), routers), self)
}

// RendezvousOrder returns the names of VMs by rendezvous hashing on a key.
func RendezvousOrder(key string, vms []platform.VM) []string {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(vms))
	for i, vm := range vms {
		list[i] = scored{name: vm.Name, score: xxhash.Sum64String(key + "\x00" + vm.Name)}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	names := make([]string, len(list))
	for i, e := range list {
		names[i] = e.name
	}
	return names
}
