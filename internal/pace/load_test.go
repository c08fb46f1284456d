package pace

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/placement"
	"github.com/stretchr/testify/require"
)

// fleet is a load on plain servers that this test simulates in steps of a millisecond.
// Each runs all its calls at once, more slowly beyond its slots. VMs place calls by their
// own load and that of the others, which lags, and tell each other of failures.
type fleet struct {
	vms            int
	callsPerSecond float64
	// event changes the servers at each step, unless it is nil.
	event func(servers []*simulatedServer, now time.Duration)
}

const (
	simulatedServers  = 10
	simulatedSlots    = 8
	simulatedWork     = 40 * time.Millisecond
	simulatedGoal     = 200 * time.Millisecond
	simulatedLength   = 18 * time.Second
	simulatedReturn   = 4 * time.Second
	simulatedAttempts = 3
)

type simulatedServer struct {
	gone, failing bool
	born          int64
	// slowness is a factor of the time of calls. It applies until coldUntil, if set.
	slowness  float64
	coldUntil time.Duration
	calls     []*simulatedCall
}

type simulatedCall struct {
	vm, attempts int
	arrivedAt    time.Duration
	sentAt       time.Duration
	left         float64
	excluded     [simulatedServers]bool
	sample       *Sample
}

// fleetResult is what clients got from the return of servers on.
type fleetResult struct {
	calls, inGoal int
	worstSecond   float64
	// share is the share of calls that server 0 answered in the last five seconds.
	share float64
}

func (r fleetResult) goalShare() float64 { return float64(r.inGoal) / float64(r.calls) }

func (f fleet) play(seed uint64, paced bool) fleetResult {
	random := rand.New(rand.NewPCG(seed, 1))
	servers := make([]*simulatedServer, simulatedServers)
	for i := range servers {
		servers[i] = &simulatedServer{born: -int64(time.Minute / time.Millisecond), slowness: 1}
	}
	names := make([]string, f.vms)
	tables, trackers := make([]*backend.Table, f.vms), make([]*Tracker, f.vms)
	for v := range f.vms {
		names[v] = "vm" + strconv.Itoa(v)
		tables[v], trackers[v] = backend.NewTable(), NewTracker(names[v], nil)
	}
	seconds := make([][2]int, int(simulatedLength/time.Second)+2)
	var out fleetResult
	late, lateByFirst := 0, 0
	end := func(c *simulatedCall, ok bool, now time.Duration) {
		if c.arrivedAt < simulatedReturn {
			return
		}
		second := c.arrivedAt / time.Second
		out.calls++
		seconds[second][1]++
		if ok && now-c.arrivedAt <= simulatedGoal {
			out.inGoal++
			seconds[second][0]++
		}
	}
	place := func(c *simulatedCall, now time.Duration) {
		table, tracker := tables[c.vm], trackers[c.vm]
		statuses := table.Statuses("s", now)
		slices.SortFunc(statuses, func(a, b backend.Status) int { return strings.Compare(a.Server.ID, b.Server.ID) })
		view := &placement.View{VMs: f.vms, Servers: make([]placement.Server, len(statuses))}
		for i, s := range statuses {
			n, _ := strconv.Atoi(s.Server.ID)
			view.Servers[i] = placement.Server{Load: s.Load, Slots: simulatedSlots, InBackoff: s.InBackoff, Excluded: c.excluded[n]}
		}
		if paced {
			at := tracker.AtLimit(len(statuses), func(i int) Server {
				s := &statuses[i]
				return Server{
					ID: s.Server.ID, Born: s.Server.Born, Load: s.Load, InFlight: s.InFlight, Down: s.InBackoff && s.Failures > 1, Failed: s.Failures > 1,
					New: now.Milliseconds()-s.Server.Born < 10000,
				}
			}, func() []string { return names }, now)
			for i := range at {
				view.Servers[i].AtLimit = at[i]
			}
		}
		choice, ok := placement.Choose(&placement.Call{}, view, random.Float64)
		c.attempts++
		if !ok || c.attempts > simulatedAttempts {
			end(c, false, now)
			return
		}
		s := statuses[choice.Index].Server
		n, _ := strconv.Atoi(s.ID)
		c.sentAt, c.left, c.excluded[n] = now, random.ExpFloat64()*float64(simulatedWork), true
		c.left = float64(simulatedWork)/2 + c.left/2
		c.sample = tracker.Begin(s.ID, s.Born, "", now)
		table.Begin(s.ID, 0)
		servers[n].calls = append(servers[n].calls, c)
	}
	lag := 200 * time.Millisecond
	if f.vms > 6 {
		lag *= 2
	}
	for now := time.Duration(0); now < simulatedLength; now += time.Millisecond {
		if f.event != nil {
			f.event(servers, now)
		}
		for v, table := range tables {
			if (now/time.Millisecond)%100 == time.Duration(v)%100 {
				for i, s := range servers {
					if s.gone {
						table.Remove(strconv.Itoa(i))
					} else {
						table.Put(backend.Server{ID: strconv.Itoa(i), Born: s.born, Service: "s"})
					}
				}
			}
			if (now+time.Duration(v)*7*time.Millisecond)%lag == 0 {
				own, loads := table.Loads(), make(map[string]backend.Load)
				for i, s := range servers {
					id := strconv.Itoa(i)
					loads[id] = backend.Load{Calls: max(0, len(s.calls)-own[id].Calls)}
				}
				table.SetPeerLoads("others", loads, now)
			}
		}
		for i, s := range servers {
			id := strconv.Itoa(i)
			if s.coldUntil > 0 && now >= s.coldUntil {
				s.slowness, s.coldUntil = 1, 0
			}
			done := float64(time.Millisecond) / s.slowness / max(1, float64(len(s.calls))/simulatedSlots)
			var again []*simulatedCall
			running := s.calls[:0:0]
			for _, c := range s.calls {
				failed := s.gone || s.failing
				if c.left -= done; c.left > 0 && !failed {
					running = append(running, c)
					continue
				}
				tables[c.vm].End(id)
				if failed {
					failures, backoff := tables[c.vm].RecordFailure(id, now)
					for v := range tables {
						if v != c.vm {
							tables[v].RecordPeerFailure(id, s.born, failures, backoff, now)
						}
					}
					again = append(again, c)
				} else {
					c.sample.Responded(now)
					if tables[c.vm].RecordSuccess(id, now) {
						for v := range tables {
							tables[v].RecordPeerSuccess(id, s.born)
						}
					}
					end(c, true, now)
					if now > simulatedLength-5*time.Second {
						late++
						if i == 0 {
							lateByFirst++
						}
					}
				}
				c.sample.End()
			}
			s.calls = running
			for _, c := range again {
				place(c, now)
			}
		}
		for n := f.callsPerSecond / 1000; n > 0; n-- {
			if random.Float64() < n {
				place(&simulatedCall{vm: random.IntN(f.vms), arrivedAt: now}, now)
			}
		}
	}
	out.worstSecond = 1
	for i := int(simulatedReturn / time.Second); i < int(simulatedLength/time.Second)-2; i++ {
		out.worstSecond = min(out.worstSecond, float64(seconds[i][0])/float64(seconds[i][1]))
	}
	out.share = float64(lateByFirst) / float64(max(1, late))
	return out
}

// returns takes servers out and brings them back as new incarnations, slow at first.
func returns(n int, slowness float64, cold time.Duration) func([]*simulatedServer, time.Duration) {
	return func(servers []*simulatedServer, now time.Duration) {
		for _, s := range servers[:n] {
			switch now {
			case simulatedReturn / 2:
				s.gone = true
			case simulatedReturn:
				s.gone, s.born, s.slowness, s.coldUntil = false, now.Milliseconds(), slowness, now+cold
			}
		}
	}
}

// isWorse reports whether a share of n calls is below another one by more than two
// standard errors.
func isWorse(share, other, n float64) bool {
	return share < other-2*math.Sqrt((share*(1-share)+other*(1-other))/n)
}

// Guards against servers that are overloaded or left idle when they start or recover.
func TestPacingUnderLoad(t *testing.T) {
	again := returns(1, 4, 3*time.Second)
	tests := []struct {
		name           string
		callsPerSecond float64
		event          func([]*simulatedServer, time.Duration)
		share          float64
	}{
		{"one of ten returns", 1300, returns(1, 4, 4*time.Second), 0.07},
		{"one of ten returns warm", 1300, returns(1, 1, 0), 0.08},
		{"half the fleet returns at once", 850, returns(5, 4, 4*time.Second), 0.07},
		{"one returns and stays slow", 1200, returns(1, 6, time.Hour), 0},
		{"one fails again", 1200, func(servers []*simulatedServer, now time.Duration) {
			again(servers, now)
			servers[0].failing = now >= simulatedReturn+2*time.Second && now < simulatedReturn+6*time.Second && now%(700*time.Millisecond) < 400*time.Millisecond
		}, 0.07},
		{"nothing happens", 1300, nil, 0},
	}
	for _, tt := range tests {
		for _, vms := range []int{6, 90} {
			t.Run(tt.name+" with "+strconv.Itoa(vms)+" VMs", func(t *testing.T) {
				f := fleet{vms: vms, callsPerSecond: tt.callsPerSecond, event: tt.event}
				t.Parallel()
				plain, paced := f.play(1, false), f.play(1, true)
				t.Logf("without: %.4f in goal, worst second %.3f, share of server 0 %.3f", plain.goalShare(), plain.worstSecond, plain.share)
				t.Logf("with:    %.4f in goal, worst second %.3f, share of server 0 %.3f", paced.goalShare(), paced.worstSecond, paced.share)
				if tt.event == nil {
					require.Equal(t, plain, paced)
					return
				}
				require.False(t, isWorse(paced.goalShare(), plain.goalShare(), float64(plain.calls)))
				require.False(t, isWorse(paced.worstSecond, plain.worstSecond, tt.callsPerSecond))
				if vms == 90 {
					require.LessOrEqual(t, 1-paced.worstSecond, (1-plain.worstSecond)/2, "the servers are overloaded")
				}
				require.GreaterOrEqual(t, paced.share, tt.share, "left idle")
			})
		}
	}
}
