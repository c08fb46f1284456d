package fleet

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/fixedseed"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 1000)) }

func noneRetired(string) bool { return false }

func listOf(names ...string) platform.VMList {
	var list platform.VMList
	for _, name := range names {
		list.VMs = append(list.VMs, platform.VM{Name: name, Zone: "a", Role: platform.RoleRouter, State: platform.StateLive})
	}
	return list
}

func rowOf(t require.TestingT, slot int, version uint64, r SlotRow) platform.Row {
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	return platform.Row{Key: platform.Key{Group: "slots/a", Name: strconv.Itoa(slot)}, Version: version, Data: raw}
}

func TestInvalidRowsAreIgnored(t *testing.T) {
	s := NewSlots("vm-1", 0)
	_, bad := s.Update([]platform.Row{rowOf(t, 3, 2, SlotRow{Holder: "vm-2", Epoch: 2})}, 0)
	require.Empty(t, bad)
	tests := []struct {
		give string
		row  platform.Row
		bad  int
	}{
		{give: "slot out of range", row: rowOf(t, 99, 9, SlotRow{Holder: "x", Epoch: 9}), bad: 1},
		{give: "slot name not a number", row: platform.Row{Key: platform.Key{Name: "three"}, Version: 9}, bad: 1},
		{give: "malformed JSON", row: platform.Row{Key: platform.Key{Name: "3"}, Version: 9, Data: []byte("{")}, bad: 1},
		{give: "missing epoch", row: rowOf(t, 3, 9, SlotRow{Holder: "x"}), bad: 1},
		{give: "older version than known", row: rowOf(t, 3, 1, SlotRow{Holder: "x", Epoch: 1})},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			lost, bad := s.Update([]platform.Row{tt.row}, 0)
			require.Empty(t, lost)
			require.Len(t, bad, tt.bad)
			holder, _ := s.Holder(3, timer.Instant(time.Hour))
			require.Equal(t, "vm-2", holder)
		})
	}
}

// TestOneHolderForEachSlot checks that no two live VMs ever hold the same slot.
// Several VMs work on one table, while their VM lists lag and VMs join late, skip
// refreshes, release their slots or terminate.
func TestOneHolderForEachSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const absenceTimeout = 10 * time.Second
		names := []string{"vm-0", "vm-1", "vm-2"}
		var now timer.Instant
		table := map[team.Slot]platform.Row{}
		type node struct {
			slots *Slots
			view  *View
			alive bool
		}
		nodes := map[string]*node{}
		type listed struct {
			at    timer.Instant
			names []string
		}
		lists := []listed{{names: names[:1]}}
		joined := map[string]bool{names[0]: true}
		for _, name := range names {
			nodes[name] = &node{slots: NewSlots(name, absenceTimeout), view: NewView(), alive: true}
		}
		refresh := func(name string) {
			n := nodes[name]
			lag := time.Duration(rapid.IntRange(0, 5).Draw(t, "lag")) * time.Second
			for i := len(lists) - 1; i >= 0; i-- {
				if i == 0 || lists[i].at <= now.Add(-lag) {
					n.view.Update(listOf(lists[i].names...), now)
					break
				}
			}
			var rows []platform.Row
			for _, row := range table {
				rows = append(rows, row)
			}
			n.slots.Update(rows, now)
			for _, take := range n.slots.Plan(n.view, "a", noneRetired, now) {
				if table[take.Slot].Version != take.Expect {
					continue
				}
				row := rowOf(t, int(take.Slot), take.Expect+1, take.Row)
				table[take.Slot] = row
				n.slots.MarkAcquired(take)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(names).Draw(t, "vm")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				if nodes[name].alive && len(lists[len(lists)-1].names) > 1 {
					nodes[name].alive = false
					var rest []string
					for _, other := range lists[len(lists)-1].names {
						if other != name {
							rest = append(rest, other)
						}
					}
					lists = append(lists, listed{at: now, names: rest})
				}
			case 1:
				if !joined[name] {
					joined[name] = true
					grown := append(append([]string(nil), lists[len(lists)-1].names...), name)
					lists = append(lists, listed{at: now, names: grown})
				}
			case 2:
				for _, slot := range nodes[name].slots.HeldSlots() {
					if free, ok := nodes[name].slots.Release(slot, team.HandoverState{}); ok && nodes[name].alive && table[slot].Version == free.Expect {
						table[slot] = rowOf(t, int(slot), free.Expect+1, free.Row)
					}
				}
			default:
				if nodes[name].alive {
					refresh(name)
				}
			}
			holders := map[team.Slot]string{}
			for _, name := range names {
				if !nodes[name].alive {
					continue
				}
				for _, slot := range nodes[name].slots.HeldSlots() {
					require.Empty(t, holders[slot], "slot %d is also held by %s", slot, name)
					holders[slot] = name
				}
			}
		}
	})
}

func TestViewTracksAbsence(t *testing.T) {
	v := NewView()
	v.Update(listOf("a", "b"), 0)
	v.TrackAbsence("b")
	v.Update(listOf("a"), timer.Instant(time.Second))
	v.Update(listOf("a"), timer.Instant(5*time.Second))
	require.Equal(t, 4*time.Second, v.AbsentFor("b"))
	v.Update(listOf("a", "b"), timer.Instant(6*time.Second))
	require.Zero(t, v.AbsentFor("b"), "one list with the VM resets its absence")
	v.UpdateFromPeer(listOf("z"))
	require.False(t, v.Live("z"), "a peer's list does not replace one read from the platform")
}

func FuzzParseRow(f *testing.F) {
	f.Add("3", []byte(`{"vm":"vm-1","epoch":2}`))
	f.Add("-1", []byte(`{}`))
	f.Fuzz(func(t *testing.T, name string, data []byte) {
		slot, row, err := ParseRow(platform.Row{Key: platform.Key{Name: name}, Version: 1, Data: data})
		if err != nil {
			return
		}
		require.True(t, slot >= 0 && slot < team.SlotCount, fmt.Sprint(slot))
		require.NotZero(t, row.Epoch)
	})
}
