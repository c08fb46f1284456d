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

// DefaultAbsenceTimeout is how long every list read must have lacked a VM before
// its slots are taken over. It must exceed the lag of the platform's list.
const DefaultAbsenceTimeout = 10 * time.Second

// takeoverStagger is the delay that each rank in a slot's preference order adds
// before a VM acquires a slot without a holder.
const takeoverStagger = 5 * time.Second

// SlotRow is the stored state of a slot.
type SlotRow struct {
	// Holder is the VM that mints tokens for the slot; empty after a release.
	Holder string `json:"vm"`
	// Epoch increases with every change of the row.
	Epoch uint64 `json:"epoch"`
	// Attempt is a token unique to this write.
	Attempt string `json:"attempt"`
	// Handover is the bucket state left by a holder that released the slot.
	Handover team.HandoverState `json:"estate,omitzero"`
}

// SlotWrite is a conditional write of a slot row that acquires or releases the
// slot.
type SlotWrite struct {
	Slot team.Slot
	// Expect is the row version that the write requires, zero if there is no row.
	Expect uint64
	Row    SlotRow
	// Handover is the bucket state left by the former holder: full buckets for a
	// slot that never had one.
	Handover team.HandoverState
}

// Key returns the row's key.
func (t SlotWrite) Key(zone string) platform.Key { return SlotKey(zone, t.Slot) }

// SlotGroup returns the row group that holds a zone's slots.
func SlotGroup(zone string) string { return "slots/" + zone }

// SlotKey returns the key of a slot's row.
func SlotKey(zone string, s team.Slot) platform.Key {
	return platform.Key{Group: SlotGroup(zone), Name: strconv.Itoa(int(s))}
}

type slotState struct {
	version uint64
	row     SlotRow
	// freeSince is when the slot was first observed without a holder.
	freeSince timer.Instant
}

// handover returns the bucket state that the next holder starts from. It is
// unknown if the former holder did not release the slot.
func (st slotState) handover() team.HandoverState {
	switch {
	case st.version == 0:
		return team.HandoverState{Full: true}
	case st.row.Holder == "":
		return st.row.Handover
	default:
		return team.HandoverState{}
	}
}

// Slots tracks the holders of a zone's slots and decides which ones this VM
// should acquire. It is safe for concurrent use.
type Slots struct {
	self           string
	absenceTimeout time.Duration

	mu       sync.RWMutex // guards the fields below
	rowsRead bool
	state    [team.SlotCount]slotState
	// acquired marks the slots that this process has acquired. A slot whose row
	// names this VM but that an earlier process acquired is not marked.
	acquired [team.SlotCount]bool
	// peerClaims holds the peer that last claimed each slot.
	peerClaims [team.SlotCount]peerClaim
}

// peerClaim is a peer's unverified claim that it holds a slot.
type peerClaim struct {
	vm string
	at timer.Instant
}

// peerClaimTTL is how long a peer's claim takes precedence over the rows, which
// are read less often, and not at all during a platform outage.
const peerClaimTTL = 5 * time.Second

// NewSlots returns a table without any known rows. A zero absenceTimeout means
// DefaultAbsenceTimeout.
func NewSlots(self string, absenceTimeout time.Duration) *Slots {
	if absenceTimeout == 0 {
		absenceTimeout = DefaultAbsenceTimeout
	}
	return &Slots{self: self, absenceTimeout: absenceTimeout}
}

// ParseRow decodes a slot's row.
func ParseRow(row platform.Row) (team.Slot, SlotRow, error) {
	n, err := strconv.Atoi(row.Key.Name)
	if err != nil || n < 0 || n >= team.SlotCount {
		return 0, SlotRow{}, fmt.Errorf("fleet: slot row %q: invalid slot number", row.Key.Name)
	}
	var r SlotRow
	if err := json.Unmarshal(row.Data, &r); err != nil {
		return 0, SlotRow{}, fmt.Errorf("fleet: slot row %q: %w", row.Key.Name, err)
	}
	if r.Epoch == 0 {
		return 0, SlotRow{}, fmt.Errorf("fleet: slot row %q: missing epoch", row.Key.Name)
	}
	return team.Slot(n), r, nil
}

// Update applies the zone's rows and returns the slots that this process held
// and has lost. Rows that are not newer than the known ones are ignored; rows
// that do not parse are ignored and returned as errors.
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
		if s.acquired[slot] && parsed.Holder != s.self {
			s.acquired[slot] = false
			lost = append(lost, slot)
		}
	}
	s.rowsRead = true
	return lost, bad
}

// RecordPeerClaims records the slots that a peer claims to hold, one bit for
// each. The claims only tell which VM to ask; they don't prove that the peer is
// the holder. It reports whether the claims differ from the rows, which should
// then be read again.
func (s *Slots) RecordPeerClaims(vm string, held uint32, now timer.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	differs := false
	for i := range s.peerClaims {
		has := held&(1<<i) != 0
		differs = differs || has != (s.state[i].row.Holder == vm)
		switch {
		case has:
			s.peerClaims[i] = peerClaim{vm: vm, at: now}
		case s.peerClaims[i].vm == vm:
			s.peerClaims[i] = peerClaim{}
		}
	}
	return differs
}

// HeldMask returns the slots that this process has acquired, one bit for each.
func (s *Slots) HeldMask() uint32 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	held := uint32(0)
	for i, mine := range s.acquired {
		if mine {
			held |= 1 << i
		}
	}
	return held
}

// Holder returns the VM last known to hold a slot.
func (s *Slots) Holder(slot team.Slot, now timer.Instant) (string, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	holder := s.state[slot].row.Holder
	if c := s.peerClaims[slot]; c.vm != "" && (holder == "" || now.Sub(c.at) < peerClaimTTL) {
		holder = c.vm
	}
	return holder, holder != ""
}

// HeldSlots returns the slots that this process has acquired.
func (s *Slots) HeldSlots() []team.Slot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []team.Slot
	for i, mine := range s.acquired {
		if mine {
			out = append(out, team.Slot(i))
		}
	}
	return out
}

// Plan returns the writes that acquire the slots that this VM should try to get
// now. retired reports whether the operators declared a VM retired.
func (s *Slots) Plan(v *View, zone string, retired func(string) bool, now timer.Instant) []SlotWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rowsRead || !v.Live(s.self) {
		return nil
	}
	routers := v.Routers(zone)
	var takes []SlotWrite
	for i := range s.state {
		slot := team.Slot(i)
		if s.acquired[i] || !s.eligible(slot, v, routers, retired, now) {
			continue
		}
		st := s.state[i]
		takes = append(takes, SlotWrite{
			Slot:     slot,
			Expect:   st.version,
			Row:      SlotRow{Holder: s.self, Epoch: st.row.Epoch + 1, Attempt: platform.NewToken()},
			Handover: st.handover(),
		})
	}
	return takes
}

func (s *Slots) eligible(slot team.Slot, v *View, routers []platform.VM, retired func(string) bool, now timer.Instant) bool {
	st := &s.state[slot]
	holder := st.row.Holder
	if holder == s.self {
		return true
	}
	rank := preferenceRank(slot, s.self, routers)
	if holder == "" {
		return now.Sub(st.freeSince) >= time.Duration(rank)*takeoverStagger
	}
	if retired(holder) {
		return rank == 0
	}
	v.TrackAbsence(holder)
	return v.AbsentFor(holder) >= time.Duration(1+rank)*s.absenceTimeout
}

// AllHeld reports whether every slot is known to be held by a live VM that is
// not retired. A slot whose row names this VM counts only if this process
// acquired it.
func (s *Slots) AllHeld(v *View, retired func(string) bool) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for i := range s.state {
		holder := s.state[i].row.Holder
		if !v.Live(holder) || retired(holder) || (holder == s.self && !s.acquired[i]) {
			return false
		}
	}
	return true
}

// MarkAcquired records that an acquiring SlotWrite was committed.
func (s *Slots) MarkAcquired(t SlotWrite) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state[t.Slot] = slotState{version: t.Expect + 1, row: t.Row}
	s.acquired[t.Slot] = true
}

// Release marks a slot as no longer held by this process and returns the write
// that releases it with the given bucket state. ok is false if this process does
// not hold the slot.
func (s *Slots) Release(slot team.Slot, handover team.HandoverState) (t SlotWrite, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acquired[slot] {
		return SlotWrite{}, false
	}
	s.acquired[slot] = false
	st := s.state[slot]
	return SlotWrite{
		Slot: slot, Expect: st.version,
		Row: SlotRow{Epoch: st.row.Epoch + 1, Attempt: platform.NewToken(), Handover: handover},
	}, true
}

// preferenceRank returns the index of a VM in a slot's preference order.
func preferenceRank(slot team.Slot, self string, routers []platform.VM) int {
	return slices.Index(RendezvousOrder(strconv.Itoa(int(slot)), routers), self)
}

// RendezvousOrder returns the names of VMs in order of preference for a key, by
// rendezvous hashing.
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
