package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simulationStep = 10 * time.Millisecond
	simulationTime = 15 * time.Second
	surgeBegins    = 2 * time.Second
	faultBegins    = 4 * time.Second
	faultEnds      = 11 * time.Second
	boundWindow    = 8 * time.Second
	boundOver      = 0.1
	boundSlack     = 72_000.0
	simulationLoss = 0.03
	zoneCount      = 3
)

// callKind is a kind of call, with its number per second for a team at its usual load.
type callKind struct {
	priority  int
	tokens    float64
	perSecond float64
}

var callKinds = []callKind{{0, 1600, 76}, {2, 9000, 53}, {2, 200, 40}}

// simulatedTeam is a team whose load is the given multiple of the usual one; that of the
// first team is the surge.
type simulatedTeam struct {
	name   string
	limits Limits
	load   float64
	bucket float64
	// admitted is the number of tokens by step.
	admitted []float64
	// want is what the single bucket admits after the surge has begun, got what the VMs do.
	want, got                       float64
	calls, refused, refusedByBucket int
	offeredByKind, admittedByKind   [3]int
}

// simulatedVM is one VM with what it knows of others.
type simulatedVM struct {
	estimator *Estimator
	epoch     uint64
	sequence  uint64
	weight    float64
	phase     int
	down      bool
	heard     []report
}

// report is the state of one VM as another has heard it.
type report struct {
	epoch, sequence uint64
	totals          map[string]float64
	at              time.Duration
}

func (r report) newer(o report) bool {
	return r.epoch > o.epoch || r.epoch == o.epoch && r.sequence > o.sequence
}

// delivery is a set of reports that arrives at a VM.
type delivery struct {
	to      int
	reports map[int]report
	// forward is set if the receiver passes a digest on if it leads its zone.
	forward bool
}

// surgeSimulation is a fleet that exchanges totals as gateways do: within a zone
// directly, between zones through digests that leaders send and forward.
type surgeSimulation struct {
	random *rand.Rand
	vms    []*simulatedVM
	teams  []*simulatedTeam
	queue  map[int][]delivery
	// connected reports whether messages between two VMs arrive now.
	connected func(a, b int, now time.Duration) bool
	restarts  bool
}

func newSurgeSimulation(size int, seed uint64, surge float64) *surgeSimulation {
	s := &surgeSimulation{random: rand.New(rand.NewPCG(seed, 1)), queue: make(map[int][]delivery)}
	s.connected = func(int, int, time.Duration) bool { return true }
	for range size {
		s.vms = append(s.vms, &simulatedVM{
			estimator: NewEstimator(true), epoch: 1, weight: 0.3 + 1.4*s.random.Float64(), phase: s.random.IntN(40), heard: make([]report, size),
		})
	}
	for _, t := range []struct {
		name       string
		rate, load float64
	}{{"surge", 1.1e6, surge}, {"calm", 1.1e6, 1}, {"small", 3e5, 0.35}} {
		s.teams = append(s.teams, &simulatedTeam{name: t.name, limits: simulationLimits(t.rate, size), load: t.load, bucket: t.rate, admitted: make([]float64, simulationTime/simulationStep)})
	}
	return s
}

func (s *surgeSimulation) send(step, from int, d delivery) {
	now := time.Duration(step) * simulationStep
	if s.random.Float64() < simulationLoss || !s.connected(from, d.to, now) {
		return
	}
	s.queue[step+1] = append(s.queue[step+1], d)
}

// zoneLeader returns the first VM of a zone that runs.
func (s *surgeSimulation) zoneLeader(zone int) int {
	for i := zone; i < len(s.vms); i += zoneCount {
		if !s.vms[i].down {
			return i
		}
	}
	return -1
}

func (s *surgeSimulation) broadcast(step, from int, reports map[int]report, forward bool) {
	for to := from % zoneCount; to < len(s.vms); to += zoneCount {
		if to != from {
			s.send(step, from, delivery{to: to, reports: reports, forward: forward})
		}
	}
}

func (s *surgeSimulation) exchange(step int) {
	now := time.Duration(step) * simulationStep
	for _, d := range s.queue[step] {
		v := s.vms[d.to]
		if v.down {
			continue
		}
		for j, r := range d.reports {
			if j != d.to && r.newer(v.heard[j]) {
				r.at = now
				v.heard[j] = r
				v.estimator.UpdatePeer(fmt.Sprint(j), r.epoch, r.totals, now)
			}
		}
		if d.forward && s.zoneLeader(d.to%zoneCount) == d.to {
			s.broadcast(step, d.to, d.reports, false)
		}
	}
	delete(s.queue, step)
	period := 20
	if len(s.vms)/zoneCount >= 16 {
		period = 40
	}
	for i, v := range s.vms {
		if v.down {
			continue
		}
		if (step+v.phase)%period == 0 {
			v.sequence++
			s.broadcast(step, i, map[int]report{i: {epoch: v.epoch, sequence: v.sequence, totals: v.estimator.Totals()}}, false)
		}
		if (step+v.phase)%20 == 0 && s.zoneLeader(i%zoneCount) == i {
			v.sequence++
			digest := map[int]report{i: {epoch: v.epoch, sequence: v.sequence, totals: v.estimator.Totals()}}
			for j, r := range v.heard {
				if j%zoneCount == i%zoneCount && r.epoch > 0 && now-r.at < time.Second {
					digest[j] = r
				}
			}
			for zone := range zoneCount {
				if zone != i%zoneCount {
					s.send(step, i, delivery{to: s.zoneLeader(zone), reports: digest, forward: true})
				}
			}
		}
	}
}

func (s *surgeSimulation) serve(step int) {
	now := time.Duration(step) * simulationStep
	var weights float64
	for _, v := range s.vms {
		if !v.down {
			weights += v.weight
		}
	}
	for i, t := range s.teams {
		t.bucket = min(t.limits.Burst, t.bucket+t.limits.Rate*simulationStep.Seconds())
		load := t.load
		if i == 0 && now < surgeBegins {
			load = 1
		}
		for _, v := range s.vms {
			if v.down {
				continue
			}
			for k, kind := range callKinds {
				expected := load * kind.perSecond * v.weight / weights * simulationStep.Seconds()
				n := int(expected)
				if s.random.Float64() < expected-float64(n) {
					n++
				}
				for range n {
					s.call(t, v, k, now)
				}
			}
		}
	}
}

func (s *surgeSimulation) call(t *simulatedTeam, v *simulatedVM, k int, now time.Duration) {
	kind := callKinds[k]
	t.calls++
	ideal := t.bucket >= kind.tokens
	if ideal {
		t.bucket -= kind.tokens
	} else {
		t.refusedByBucket++
	}
	ok := simulatedTake(v.estimator, t, kind, now)
	if ok {
		t.admitted[now/simulationStep] += kind.tokens
	} else {
		t.refused++
	}
	if now < surgeBegins {
		return
	}
	t.offeredByKind[k]++
	if ideal {
		t.want += kind.tokens
	}
	if ok {
		t.got += kind.tokens
		t.admittedByKind[k]++
	}
}

func (s *surgeSimulation) run() {
	for step := range int(simulationTime / simulationStep) {
		if s.restarts && step%50 == 0 {
			for _, v := range s.vms {
				if v.down {
					v.down, v.estimator, v.sequence = false, NewEstimator(false), 0
					v.epoch++
					v.heard = make([]report, len(s.vms))
				}
			}
			for range max(1, len(s.vms)/40) {
				s.vms[s.random.IntN(len(s.vms))].down = true
			}
		}
		s.exchange(step)
		s.serve(step)
	}
}

// boundUse returns the largest use of a window as a share of what the bound allows.
func (t *simulatedTeam) boundUse() float64 {
	steps := int(boundWindow / simulationStep)
	allowed := (t.limits.Rate*boundWindow.Seconds()+t.limits.Burst)*(1+boundOver) + boundSlack
	var used, most float64
	for i, n := range t.admitted {
		if used += n; i >= steps {
			used -= t.admitted[i-steps]
		}
		most = max(most, used)
	}
	return most / allowed
}

// Within any window a team must not use more than the bound, a team above its rate must
// get nearly all of it, its urgent and small calls first, and a team within its rate must
// not be refused, whatever VMs hear of each other.
func TestRatesUnderASurge(t *testing.T) {
	during := func(now time.Duration) bool { return now >= faultBegins && now < faultEnds }
	tests := []struct {
		name      string
		surge     float64
		connected func(a, b int, now time.Duration) bool
		restarts  bool
	}{
		{name: "surge", surge: 7},
		{name: "a third of the VMs cut off", surge: 7, connected: func(a, b int, now time.Duration) bool {
			return !during(now) || a/zoneCount%3 != 0 && b/zoneCount%3 != 0
		}},
		{name: "a zone cut off", surge: 7, connected: func(a, b int, now time.Duration) bool {
			return !during(now) || (a%zoneCount == 0) == (b%zoneCount == 0)
		}},
		{name: "VMs killed and restarted", surge: 7, restarts: true},
	}
	for _, size := range []int{76, 89, 390} {
		if testing.Short() && size > 100 {
			continue
		}
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%d VMs, %s", size, tt.name), func(t *testing.T) {
				t.Parallel()
				s := newSurgeSimulation(size, 1, tt.surge)
				s.restarts = tt.restarts
				if tt.connected != nil {
					s.connected = tt.connected
				}
				s.run()
				for _, x := range s.teams {
					var shares [3]float64
					for k := range shares {
						shares[k] = float64(x.admittedByKind[k]) / float64(x.offeredByKind[k])
					}
					t.Logf("%-6s window %.3f of the bound, tokens %.3f of one bucket, refused %d of %d (one bucket %d), admitted: urgent 1600 %.2f, 9000 %.2f, 200 %.2f",
						x.name, x.boundUse(), x.got/x.want, x.refused, x.calls, x.refusedByBucket, shares[0], shares[1], shares[2])
					require.LessOrEqual(t, x.boundUse(), 1.0, x.name)
				}
				checkSurge(t, s)
			})
		}
	}
}
