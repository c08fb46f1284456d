package e2e

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

// startedRequests returns the requests of a team that the engines started, without
// duplicates.
func (f *fleet) startedRequests(name string) []team.StartedRequest {
	salt := prefix.Scope{Model: modelName, Version: "v1", Team: name}.Salt()
	seen := map[string]bool{}
	var out []team.StartedRequest
	for _, e := range f.engines {
		for _, s := range e.Counts().Starts {
			if s.Salt != salt || seen[s.RequestID] {
				continue
			}
			seen[s.RequestID] = true
			out = append(out, team.StartedRequest{At: time.Duration(s.StartedMicros) * time.Microsecond, Tokens: float64(s.Tokens)})
		}
	}
	return out
}

// declaredLimits returns the rate and burst that a team has by the configuration.
func (f *fleet) declaredLimits(name string) team.Limits {
	for _, t := range f.doc.Teams {
		if t.Name == name {
			return team.Limits{Rate: t.Rate, Cap: t.Burst}
		}
	}
	return team.Limits{}
}

func totalTokens(history []team.StartedRequest) float64 {
	total := 0.0
	for _, s := range history {
		total += s.Tokens
	}
	return total
}

// requireWithinLimits checks that the started requests of a team stayed within its
// rate and burst in every time window.
func (f *fleet) requireWithinLimits(name string) {
	f.t.Helper()
	declared := f.declaredLimits(name)
	history := f.startedRequests(name)
	total := totalTokens(history)
	excess := team.MaxWindowExcess(history, declared.Rate, declared.Cap)
	f.t.Logf("%s: %d requests, %.0f tokens, excess %.1f", name, len(history), total, excess)
	require.Greater(f.t, total, declared.Cap, "the team used less than its burst, so the test checks nothing")
	require.Zero(f.t, excess, "a window has more tokens than burst + rate * window")
}

const (
	// rateCallers is the number of callers at once.
	rateCallers = 12
	// maxFaultRuns bounds the runs until a team has used more than its burst. A run may
	// use less: the tokens that a killed VM holds are lost, and the faults do not wait for
	// the first calls.
	maxFaultRuns = 6
	// The rate must return within rateReturnTime of the last fault: all of it is served
	// for rateWindow.
	rateReturnTime = 15 * time.Second
	rateWindow     = 3 * time.Second
)

// requireRateReturns checks that a team is served at its rate again once no fault is left.
func (f *fleet) requireRateReturns(name string, call func(r *rand.Rand)) {
	f.t.Helper()
	wanted := f.declaredLimits(name).Rate * rateWindow.Seconds()
	end := time.Now().Add(rateReturnTime)
	best := 0.0
	for best < wanted && time.Now().Before(end) {
		before, windowEnd := totalTokens(f.startedRequests(name)), time.Now().Add(rateWindow)
		parallel(rateCallers, func(i int) {
			r := rand.New(rand.NewPCG(*faultSeed, uint64(200+i)))
			for time.Now().Before(windowEnd) {
				call(r)
			}
		})
		best = max(best, totalTokens(f.startedRequests(name))-before)
	}
	f.t.Logf("%s: %.0f tokens in a window after the faults", name, best)
	require.GreaterOrEqual(f.t, best, wanted, "the team's rate has not returned")
}

func TestTeamRateHoldsAcrossVMs(t *testing.T) {
	tests := []struct {
		give   string
		faults []fault
	}{
		{give: "kills and simultaneous restarts", faults: []fault{killRouter, killTwoRouters, killAllRouters}},
		{give: "freezes longer than a token loan", faults: []fault{freezeRouter}},
		{give: "partitioned zones and platform outages", faults: []fault{partitionRandomZone, stopPlatform, cutPlatformLink}},
		{give: "all faults", faults: []fault{killRouter, killAllRouters, freezeRouter, partitionRandomZone, stopPlatform, losePlatformWriteResponses}},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1})
			var served atomic.Int64
			call := func(r *rand.Rand) {
				parts := []string{strings.Repeat("site history ", r.IntN(150)), "note"}
				reply, err := f.requestModel(randomVM(f, r), teamSmall, trial.ModelRequest{Messages: parts, MaxTokens: 1 + r.IntN(40)})
				if err == nil && reply.OK() {
					served.Add(1)
				}
			}
			burst := f.declaredLimits(teamSmall).Cap
			for run := 0; run < maxFaultRuns && totalTokens(f.startedRequests(teamSmall)) <= burst; run++ {
				runUnderFaults(t, f, 2500*time.Millisecond, tt.faults, rateCallers, func(_ int, r *rand.Rand) { call(r) })
				t.Logf("run %d: %.0f tokens in all", run+1, totalTokens(f.startedRequests(teamSmall)))
			}
			require.NotZero(t, served.Load())
			f.requireRateReturns(teamSmall, call)
			f.requireWithinLimits(teamSmall)
		})
	}
}

// TestRequestAboveBurstIsRefusedWhileOthersWait sends a request larger than the
// team's burst while other requests of the team wait for tokens. It must be refused
// at once, since it could never be admitted.
func TestRequestAboveBurstIsRefusedWhileOthersWait(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 1, enginesPerZone: 1, zones: []string{"zone-a"}})
	var refused atomic.Int64
	var callers sync.WaitGroup
	done := make(chan struct{})
	for range 6 {
		callers.Go(func() {
			for open := true; open; {
				reply, _ := f.requestModel(f.vms[0], teamSmall, trial.ModelRequest{Messages: []string{strings.Repeat("x", 9000)}, MaxTokens: 100})
				if reply.Status == http.StatusTooManyRequests {
					refused.Add(1)
				}
				select {
				case <-done:
					open = false
				default:
				}
			}
		})
	}
	defer callers.Wait()
	defer close(done)
	for refused.Load() == 0 {
		reply, err := f.requestModel(f.vms[0], teamSmall, trial.ModelRequest{Messages: []string{strings.Repeat("x", 30000)}, MaxTokens: 100})
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, reply.Status)
		time.Sleep(20 * time.Millisecond)
	}
}

// exhaustTokens uses up a team's tokens with requests to all VMs.
func (f *fleet) exhaustTokens(name string, d time.Duration) {
	end := time.Now().Add(d)
	parallel(2*len(f.vms), func(i int) {
		for time.Now().Before(end) {
			_, _ = f.requestModel(f.vms[i%len(f.vms)], name, trial.ModelRequest{Messages: []string{strings.Repeat("x", 1200)}, MaxTokens: 8})
		}
	})
}

func TestBucketsStartEmptyAfterCrash(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1})
	f.exhaustTokens(teamSmall, 500*time.Millisecond)
	killAllRouters(f, nil)()
	f.awaitReady()
	f.exhaustTokens(teamSmall, 2500*time.Millisecond)
	f.requireWithinLimits(teamSmall)
}

func TestSlotsAreTakenOverOnlyFromDeletedVMs(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1})
	f.exhaustTokens(teamSmall, 500*time.Millisecond)
	frozen, deleted := f.vms[0], f.vms[1]
	f.freeze(frozen)
	f.kill(deleted)
	f.platform.RemoveVM(deleted.name)
	require.Eventually(t, func() bool {
		s, err := f.status(f.vms[3])
		return err == nil && s.HeldSlots == team.SlotCount
	}, 30*time.Second, 50*time.Millisecond, "the slots of a deleted VM are taken over")
	s, err := f.status(f.vms[2])
	require.NoError(t, err)
	require.Less(t, s.HeldSlots, team.SlotCount, "the slots of a VM that does not respond are not taken over")
	f.thaw(frozen)
	f.exhaustTokens(teamSmall, 1500*time.Millisecond)
	f.requireWithinLimits(teamSmall)
}

// shutDown ends a router with SIGTERM and checks that it exits with code 0.
func (f *fleet) shutDown(v *vm) {
	f.t.Helper()
	require.NoError(f.t, v.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(f.t, v.cmd.Wait(), "exit code 0")
	v.cmd = nil
}

func TestGracefulReplacementKeepsTokens(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 1})
	for _, v := range f.vms {
		f.shutDown(v)
		f.startRouter(v)
		f.awaitReady()
	}
	// Nearly the whole burst, right after every slot has changed its holder.
	reply, err := f.requestModel(f.vms[0], teamSmall, trial.ModelRequest{Messages: []string{strings.Repeat("x", 9000)}, MaxTokens: 900})
	require.NoError(t, err)
	require.True(t, reply.OK(), "%+v", reply.Error)
	f.exhaustTokens(teamSmall, time.Second)
	f.requireWithinLimits(teamSmall)
}
