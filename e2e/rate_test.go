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

// started returns what the engines ran for a team, each request once.
func (f *fleet) started(name string) []team.StartedRequest {
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

func (f *fleet) requireWithin(name string) {
	f.t.Helper()
	declared := team.Limits{}
	for _, t := range f.doc.Teams {
		if t.Name == name {
			declared = team.Limits{Rate: t.Rate, Cap: t.Burst}
		}
	}
	history := f.started(name)
	total := 0.0
	for _, s := range history {
		total += s.Tokens
	}
	excess := team.MaxWindowExcess(history, declared.Rate, declared.Cap)
	f.t.Logf("%s: %d requests, %.0f tokens, excess %.1f", name, len(history), total, excess)
	require.Greater(f.t, total, declared.Cap, "the team never came near its bound: the test proves nothing")
	require.Zero(f.t, excess, "some window has more than burst + rate * window")
}

func TestRateHoldsOverAllVMs(t *testing.T) {
	tests := []struct {
		give   string
		faults []fault
	}{
		{give: "kills and herd restarts", faults: []fault{killRouter, killTwoRouters, killAllRouters}},
		{give: "freezes longer than any loan", faults: []fault{freezeRouter}},
		{give: "zones cut and the platform out", faults: []fault{cutOneZone, platformDown, cutPlatformOfOne}},
		{give: "everything", faults: []fault{killRouter, killAllRouters, freezeRouter, cutOneZone, platformDown, losePlatformAnswers}},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f := newFleet(t, shape{routers: 4, engines: 1})
			var served atomic.Int64
			during(t, f, 2500*time.Millisecond, tt.faults, 12, func(_ int, r *rand.Rand) {
				parts := []string{strings.Repeat("site history ", r.IntN(150)), "note"}
				reply, err := f.ask(pickVM(f, r), teamSmall, trial.ModelRequest{Messages: parts, MaxTokens: 1 + r.IntN(40)})
				if err == nil && reply.OK() {
					served.Add(1)
				}
			})
			require.NotZero(t, served.Load())
			f.requireWithin(teamSmall)
		})
	}
}

// TestTooLargeIsSaidWhileTheTeamIsShort asks for more than the burst while other
// requests of the team wait for tokens: waiting would not help.
func TestTooLargeIsSaidWhileTheTeamIsShort(t *testing.T) {
	f := newFleet(t, shape{routers: 1, engines: 1, zones: []string{"zone-a"}})
	var refused atomic.Int64
	var callers sync.WaitGroup
	done := make(chan struct{})
	for range 6 {
		callers.Go(func() {
			for open := true; open; {
				reply, _ := f.ask(f.vms[0], teamSmall, trial.ModelRequest{Messages: []string{strings.Repeat("x", 9000)}, MaxTokens: 100})
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
		reply, err := f.ask(f.vms[0], teamSmall, trial.ModelRequest{Messages: []string{strings.Repeat("x", 30000)}, MaxTokens: 100})
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, reply.Status)
		time.Sleep(20 * time.Millisecond)
	}
}

// exhaust uses a team's tokens up from all VMs at once.
func (f *fleet) exhaust(name string, d time.Duration) {
	end := time.Now().Add(d)
	parallel(2*len(f.vms), func(i int) {
		for time.Now().Before(end) {
			_, _ = f.ask(f.vms[i%len(f.vms)], name, trial.ModelRequest{Messages: []string{strings.Repeat("x", 1200)}, MaxTokens: 8})
		}
	})
}

func TestRestartedHolderStartsEmpty(t *testing.T) {
	f := newFleet(t, shape{routers: 4, engines: 1})
	f.exhaust(teamSmall, 500*time.Millisecond)
	killAllRouters(f, nil)()
	f.settled()
	f.exhaust(teamSmall, 2500*time.Millisecond)
	f.requireWithin(teamSmall)
}

func TestHolderIsReplacedOnlyOnProof(t *testing.T) {
	f := newFleet(t, shape{routers: 4, engines: 1})
	f.exhaust(teamSmall, 500*time.Millisecond)
	frozen, gone := f.vms[0], f.vms[1]
	f.freeze(frozen)
	f.kill(gone)
	f.platform.RemoveVM(gone.name)
	require.Eventually(t, func() bool {
		s, err := f.status(f.vms[3])
		return err == nil && s.HeldSlots == team.SlotCount
	}, 30*time.Second, 50*time.Millisecond, "the slots of a VM that is gone are taken over")
	s, err := f.status(f.vms[2])
	require.NoError(t, err)
	require.Less(t, s.HeldSlots, team.SlotCount, "the slots of a VM that is only silent are not")
	f.thaw(frozen)
	f.exhaust(teamSmall, 1500*time.Millisecond)
	f.requireWithin(teamSmall)
}

// terminate ends a router gracefully.
func (f *fleet) terminate(v *vm) {
	f.t.Helper()
	require.NoError(f.t, v.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(f.t, v.cmd.Wait(), "exit code 0")
	v.cmd = nil
}

func TestGracefulReplacementKeepsTokens(t *testing.T) {
	f := newFleet(t, shape{routers: 4, engines: 1})
	for _, v := range f.vms {
		f.terminate(v)
		f.start(v)
		f.settled()
	}
	// All but the whole burst, right after every holder has changed.
	reply, err := f.ask(f.vms[0], teamSmall, trial.ModelRequest{Messages: []string{strings.Repeat("x", 9000)}, MaxTokens: 900})
	require.NoError(t, err)
	require.True(t, reply.OK(), "%+v", reply.Error)
	f.exhaust(teamSmall, time.Second)
	f.requireWithin(teamSmall)
}
