package pace

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settledAndOne returns a view of a settled server with a load and of another server.
func settledAndOne(load int, s Server) func(int) Server {
	return func(i int) Server {
		if i == 0 {
			return Server{ID: "settled", Load: load}
		}
		return s
	}
}

func vmNames(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = "vm" + strconv.Itoa(i)
	}
	return out
}

// Guards against 90 calls at once at a server that has just started, and against none.
func TestSharesOfAllVMsAddUpToTheLimit(t *testing.T) {
	for _, vms := range []int{1, 6, 90} {
		names := vmNames(vms)
		for _, load := range []int{0, 3, 20, 400} {
			sum := 0
			for _, vm := range names {
				tracker := NewTracker(vm, nil)
				for calls := 0; !tracker.AtLimit(2, settledAndOne(load, Server{ID: "s", Born: 5, InFlight: calls, New: true}), func() []string { return names }, 0)[1]; calls++ {
					sum++
				}
			}
			require.Equal(t, max(1, load/2), sum)
		}
	}
}

// play asks for the limit of a server every 10 ms and returns it as the number of calls
// that this VM, the only one, may have in flight.
func play(tracker *Tracker, s Server, from, until time.Duration) int {
	limit := 0
	for now := from; now < until; now += 10 * time.Millisecond {
		for limit = 0; limit < 1000; limit++ {
			s.InFlight = limit
			if at := tracker.AtLimit(2, settledAndOne(10, s), func() []string { return vmNames(1) }, now); at != nil && at[1] {
				break
			}
		}
	}
	return limit
}

func respond(tracker *Tracker, id string, took time.Duration, n int) {
	for range n {
		tracker.Begin(id, 0, "", 0).Responded(took)
	}
}

func TestLimitFollowsTheServer(t *testing.T) {
	started := Server{ID: "s", New: true}
	const unlimited = 1000
	tests := []struct {
		name   string
		change func(*Tracker)
		then   Server
		want   int
	}{
		{"fast responses settle it", func(r *Tracker) { respond(r, "s", 40*time.Millisecond, 3) }, started, unlimited},
		{"slow responses halve it", func(r *Tracker) { respond(r, "s", 200*time.Millisecond, 3) }, started, 2},
		{"no response holds it", func(r *Tracker) { r.Begin("s", 0, "", 0) }, started, 5},
		{"it is cold", func(r *Tracker) { respond(r, "s", 40*time.Millisecond, 3) }, Server{ID: "s", New: true, ColdLeft: 5 * time.Second}, 20},
		{"it loads weights", func(*Tracker) {}, Server{ID: "s", New: true, Down: true}, 0},
		{"a successor starts anew", func(r *Tracker) { respond(r, "s", 200*time.Millisecond, 9) }, Server{ID: "s", Born: 1, New: true}, 10},
		{"a settled server has none", func(*Tracker) {}, Server{ID: "other"}, unlimited},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker("vm0", nil)
			respond(tracker, "settled", 40*time.Millisecond, minTypicalSamples)
			require.Equal(t, 5, play(tracker, started, 0, growthPeriod))
			tt.change(tracker)
			require.Equal(t, tt.want, play(tracker, tt.then, growthPeriod, 3*growthPeriod))
		})
	}
}

// Guards against a change of placement where nothing starts or fails.
func TestSettledFleetHasNoLimits(t *testing.T) {
	tracker := NewTracker("vm0", nil)
	at := tracker.AtLimit(50, func(i int) Server { return Server{ID: strconv.Itoa(i), Load: 100, InFlight: 100} }, func() []string {
		t.Fatal("the VMs are not needed")
		return nil
	}, 0)
	require.Nil(t, at)
	require.Zero(t, tracker.Paced())
}
