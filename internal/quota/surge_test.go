package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simulationStep  = 10 * time.Millisecond
	simulationTime  = 15 * time.Second
	surgeBegins     = 2 * time.Second
	lateSurgeBegins = 5500 * time.Millisecond
	faultBegins     = 4 * time.Second
	faultEnds       = 11 * time.Second
	boundWindow     = 8 * time.Second
	boundOver       = 0.1
	boundSlack      = 72_000.0
	simulationLoss  = 0.03
	zoneCount       = 3
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
	// confirmations are those of the VM's process.
	confirmations *Confirmations
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
	from    int
	reports map[int]report
	// sequence is that of a digest, heard what it confirms to other leaders, and
	// confirmed what a leader confirms to the VMs of its zone.
	sequence  uint64
	heard     []Heard
	confirmed []byte
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
	lagSteps  int
	begins    time.Duration
}

func simulationLimits(rate float64, size int) Limits {
	return Limits{Rate: rate, Burst: rate, Excess: boundOver*(rate*boundWindow.Seconds()+rate) + boundSlack, VMs: size}
}

func newSurgeSimulation(size int, seed uint64, surge, rate float64) *surgeSimulation {
	s := &surgeSimulation{random: rand.New(rand.NewPCG(seed, 1)), queue: make(map[int][]delivery)}
	s.connected = func(int, int, time.Duration) bool { return true }
	for range size {
		s.vms = append(s.vms, &simulatedVM{
			estimator: NewEstimator(true), epoch: 1, weight: 0.3 + 1.4*s.random.Float64(), phase: s.random.IntN(40), heard: make([]report, size),
			confirmations: NewConfirmations(fmt.Sprint(len(s.vms)), 1),
		})
	}
	for _, t := range []struct {
		name       string
		rate, load float64
	}{{"surge", rate, surge * rate / 1.1e6}, {"calm", 1.1e6, 1}, {"small", 3e5, 0.35}} {
		s.teams = append(s.teams, &simulatedTeam{name: t.name, limits: simulationLimits(t.rate, size), load: t.load, bucket: t.rate, admitted: make([]float64, simulationTime/simulationStep)})
	}
	return s
}

func (s *surgeSimulation) send(step, from int, d delivery) {
	now := time.Duration(step) * simulationStep
	if s.random.Float64() < simulationLoss || !s.connected(from, d.to, now) {
		return
	}
	s.queue[step+1+s.lagSteps] = append(s.queue[step+1+s.lagSteps], d)
}

// recentVMs returns the VMs of a zone that a VM has heard within the last second, and
// itself if it is one of them.
func (s *surgeSimulation) recentVMs(of, zone int, now time.Duration) []int {
	var out []int
	for i := zone; i < len(s.vms); i += zoneCount {
		if r := s.vms[of].heard[i]; i == of || r.epoch > 0 && now-r.at < time.Second {
			out = append(out, i)
		}
	}
	return out
}

// leads reports whether a VM takes itself for the leader of its zone.
func (s *surgeSimulation) leads(i int, now time.Duration) bool {
	return s.recentVMs(i, i%zoneCount, now)[0] == i
}

// broadcast sends a message to the VMs of the sender's zone.
func (s *surgeSimulation) broadcast(step, sender int, d delivery) {
	for to := sender % zoneCount; to < len(s.vms); to += zoneCount {
		if to != sender {
			d.to = to
			s.send(step, sender, d)
		}
	}
}

// zoneStates returns the sequence numbers of the states that a VM knows of its zone.
func (s *surgeSimulation) zoneStates(i int, now time.Duration) map[string]uint64 {
	out := make(map[string]uint64)
	for j, r := range s.vms[i].heard {
		if j%zoneCount == i%zoneCount && r.epoch > 0 && now-r.at < time.Second {
			out[fmt.Sprint(j)] = r.sequence
		}
	}
	return out
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
				at := now
				if j != d.from {
					at -= RelayDelay
				}
				v.estimator.UpdatePeer(fmt.Sprint(j), r.epoch, r.totals, at)
			}
		}
		if d.from%zoneCount != d.to%zoneCount {
			sender := Heard{VM: fmt.Sprint(d.from), Epoch: d.reports[d.from].epoch, Sequence: d.sequence}
			v.confirmations.RecordHeard(fmt.Sprint("z", d.from%zoneCount), sender, d.heard, now)
		}
		if at, ok := v.confirmations.SentAt(d.confirmed); ok {
			v.estimator.Confirm(at)
		}
		if d.forward && s.leads(d.to, now) {
			d.forward = false
			s.broadcast(step, d.to, d)
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
		leads := s.leads(i, now)
		if (step+v.phase)%period == 0 {
			v.sequence++
			v.confirmations.RecordSent(v.sequence, now)
			d := delivery{from: i, reports: map[int]report{i: {epoch: v.epoch, sequence: v.sequence, totals: v.estimator.Totals(now)}}}
			if leads {
				confirmed, at := v.confirmations.Confirmed(s.zoneStates(i, now), now)
				v.estimator.Confirm(at)
				d.confirmed = EncodeConfirmed(confirmed, func(vm string) uint64 {
					j, _ := strconv.Atoi(vm)
					return v.heard[j].epoch
				})
			}
			s.broadcast(step, i, d)
		}
		if (step+v.phase)%20 != 0 || !leads {
			continue
		}
		v.sequence++
		v.confirmations.RecordSent(v.sequence, now)
		digest := map[int]report{i: {epoch: v.epoch, sequence: v.sequence, totals: v.estimator.Totals(now)}}
		for j, r := range v.heard {
			if j%zoneCount == i%zoneCount && r.epoch > 0 && now-r.at < time.Second {
				digest[j] = r
			}
		}
		v.confirmations.RecordDigest(v.sequence, s.zoneStates(i, now))
		for zone := range zoneCount {
			receivers := s.recentVMs(i, zone, now)
			if zone == i%zoneCount {
				continue
			}
			if len(receivers) == 0 {
				receivers = []int{zone, zone + zoneCount}
			}
			for _, to := range receivers[:min(2, len(receivers))] {
				s.send(step, i, delivery{
					to: to, from: i, reports: digest, sequence: v.sequence, heard: v.confirmations.Heard(), forward: true,
				})
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
		if i == 0 && now < s.begins {
			load = t.limits.Rate / 1.1e6
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
	ok, _ := v.estimator.Take(t.name, t.limits, kind.priority, kind.tokens, now)
	if ok {
		t.admitted[now/simulationStep] += kind.tokens
	} else {
		t.refused++
	}
	if now < s.begins {
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
			for i, v := range s.vms {
				if v.down {
					v.down, v.estimator, v.sequence = false, NewEstimator(false), 0
					v.epoch++
					v.heard = make([]report, len(s.vms))
					v.confirmations = NewConfirmations(fmt.Sprint(i), v.epoch)
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

// surgeCase is a surge of one team in a fleet, and what happens to the messages.
type surgeCase struct {
	name      string
	size      int
	surge     float64
	rate      float64
	connected func(a, b int, now time.Duration) bool
	restarts  bool
	lag       time.Duration
}

// thirdCutOff cuts a third of the VMs off from all others, zoneCutOff a zone.
func thirdCutOff(a, b int, now time.Duration) bool {
	return now < faultBegins || now >= faultEnds || a/zoneCount%3 != 0 && b/zoneCount%3 != 0
}

func zoneCutOff(a, b int, now time.Duration) bool {
	return now < faultBegins || now >= faultEnds || (a%zoneCount == 0) == (b%zoneCount == 0)
}

// play runs a case and returns its teams, that of the surge first.
func (c surgeCase) play(t *testing.T) []*simulatedTeam {
	if testing.Short() && c.size > 100 {
		t.Skip("a large fleet")
	}
	s := newSurgeSimulation(c.size, 1, c.surge, cmp.Or(c.rate, 1.1e6))
	s.restarts, s.lagSteps = c.restarts, int(c.lag/simulationStep)
	if s.begins = surgeBegins; c.lag > 0 {
		// After the first start each VM has the whole burst until it has heard of others.
		s.begins = lateSurgeBegins
	}
	if c.connected != nil {
		s.connected = c.connected
	}
	s.run()
	for _, x := range s.teams {
		var shares [3]float64
		for k := range shares {
			shares[k] = float64(x.admittedByKind[k]) / float64(x.offeredByKind[k])
		}
		t.Logf("%-6s window %.3f of the bound, tokens %.3f of one bucket, refused %d of %d (one bucket %d), admitted: urgent 1600 %.2f, 9000 %.2f, 200 %.2f",
			x.name, x.boundUse(), x.got/x.want, x.refused, x.calls, x.refusedByBucket, shares[0], shares[1], shares[2])
	}
	return s.teams
}

// minTokenShare is the least share of what one bucket that knows all admits of a surge.
const minTokenShare = 0.95

// surgeCases are the cases in which a surging team gets its rate, lossyCases those in
// which it gets less.
var (
	surgeCases = []surgeCase{
		{name: "surge", size: 76, surge: 7},
		{name: "surge", size: 89, surge: 7},
		{name: "surge", size: 390, surge: 7},
		{name: "a third of the VMs cut off", size: 76, surge: 7, connected: thirdCutOff},
		{name: "a third of the VMs cut off", size: 89, surge: 7, connected: thirdCutOff},
		{name: "a zone cut off", size: 76, surge: 7, connected: zoneCutOff},
		{name: "a zone cut off", size: 89, surge: 7, connected: zoneCutOff},
		{name: "a zone cut off", size: 390, surge: 7, connected: zoneCutOff},
		{name: "a team with a low rate", size: 76, surge: 7, rate: 3e5},
		{name: "a team with a low rate", size: 89, surge: 7, rate: 3e5},
		{name: "a team with a low rate", size: 390, surge: 7, rate: 3e5},
		{name: "messages take a second", size: 76, surge: 7, lag: time.Second},
		{name: "messages take a second, surge to 20 times the usual", size: 76, surge: 20, lag: time.Second},
		{name: "messages take a second, surge to 20 times the usual", size: 89, surge: 20, lag: time.Second},
		{name: "surge to 20 times the usual", size: 76, surge: 20},
		{name: "surge to 20 times the usual", size: 89, surge: 20},
		{name: "VMs killed and restarted", size: 76, surge: 7, restarts: true},
		{name: "VMs killed and restarted", size: 89, surge: 7, restarts: true},
		{name: "VMs killed and restarted", size: 390, surge: 7, restarts: true},
	}
	lossyCases = []surgeCase{
		{name: "a third of the VMs cut off", size: 390, surge: 7, connected: thirdCutOff},
		{name: "messages take a second", size: 89, surge: 7, lag: time.Second},
	}
)

func runSurges(t *testing.T, cases []surgeCase, check func(t *testing.T, teams []*simulatedTeam)) {
	for _, tt := range cases {
		t.Run(fmt.Sprintf("%d VMs, %s", tt.size, tt.name), func(t *testing.T) {
			t.Parallel()
			check(t, tt.play(t))
		})
	}
}

// Within any window a team must not use more than the bound, and the urgent and small
// calls of a team above its rate come first, whatever VMs hear of each other.
func TestRatesUnderASurge(t *testing.T) {
	runSurges(t, append(surgeCases[:len(surgeCases):len(surgeCases)], lossyCases...), func(t *testing.T, teams []*simulatedTeam) {
		for _, x := range teams {
			require.LessOrEqual(t, x.boundUse(), 1.0, x.name)
		}
		surging := teams[0]
		require.Greater(t, surging.admittedByKind[0]*surging.offeredByKind[1], 3*surging.admittedByKind[1]*surging.offeredByKind[0]/2, "urgent calls come first")
		require.Greater(t, surging.admittedByKind[2]*surging.offeredByKind[1], surging.admittedByKind[1]*surging.offeredByKind[2], "small calls are not refused for large ones")
	})
}

// A team above its rate must get nearly all of its rate, though VMs hear late of each
// other.
func TestSurgingTeamGetsItsRate(t *testing.T) {
	runSurges(t, surgeCases, requireTokens)
}

// The same where a third of a large fleet is cut off, or messages are late.
func TestSurgingTeamGetsItsRateWhenManyVMsAreCutOff(t *testing.T) {
	runSurges(t, lossyCases, requireTokens)
}

func requireTokens(t *testing.T, teams []*simulatedTeam) {
	require.GreaterOrEqual(t, teams[0].got/teams[0].want, minTokenShare)
}

// A team within its rate must not be refused because another one surges, or because VMs
// do not hear of each other.
func TestTeamsWithinTheirRateAreNotRefused(t *testing.T) {
	runSurges(t, append(surgeCases[:len(surgeCases):len(surgeCases)], lossyCases...), func(t *testing.T, teams []*simulatedTeam) {
		for _, x := range teams[1:] {
			require.LessOrEqual(t, x.refused, x.refusedByBucket, x.name)
		}
	})
}

// BenchmarkTake takes for 16 teams on a VM of a large fleet.
func BenchmarkTake(b *testing.B) {
	e := NewEstimator(true)
	l := simulationLimits(8e5, 390)
	var teams []string
	totals := make(map[string]float64)
	for i := range 16 {
		teams = append(teams, fmt.Sprint("team", i))
		totals[teams[i]] = 1
	}
	for vm := range 389 {
		e.UpdatePeer(fmt.Sprint(vm), 1, totals, 0)
	}
	now := time.Duration(0)
	for i := 0; b.Loop(); i++ {
		now += time.Millisecond
		e.Take(teams[i%len(teams)], l, i%3, 1600, now)
		vm := fmt.Sprint(i % 389)
		e.UpdatePeer(vm, 1, totals, now)
	}
}
