package e2e

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

// maxRemovalTime bounds the time until a leaving backend server gets no new requests.
const maxRemovalTime = 3 * time.Second

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 2, engineOptions: standin.EngineOptions{DecodePerToken: 5 * time.Millisecond, Slots: 64}})
	long := make(chan trial.Reply, 8)
	for i := range cap(long) {
		go func() {
			reply, _ := f.requestModel(f.vms[i%4], teamLarge, trial.ModelRequest{Messages: []string{"long"}, MaxTokens: 1000})
			long <- reply
		}()
	}
	require.Eventually(t, func() bool { return f.runningRequests() == cap(long) }, 10*time.Second, 5*time.Millisecond)
	leaving := ""
	for name, e := range f.engines {
		if e.Counts().Running > 0 {
			leaving = name
		}
	}
	zone := ""
	for _, e := range f.doc.Engines {
		if e.Name == leaving {
			zone = e.Zone
		}
	}
	f.platform.PutVM(platform.VM{Name: leaving, Zone: zone, Role: platform.RoleBackend, State: platform.StateLeaving})
	leavingSince := time.Now()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(*faultSeed, uint64(i)))
			for !sleepOrStop(stop, 10*time.Millisecond) {
				reply, err := f.requestModel(randomVM(f, r), teamLarge, trial.ModelRequest{Messages: []string{"long"}, MaxTokens: 4})
				require.NoError(t, err)
				require.True(t, reply.OK(), "%+v", reply.Error)
			}
		})
	}
	time.Sleep(time.Until(leavingSince.Add(maxRemovalTime)))
	before := f.engines[leaving].Counts().Requests
	time.Sleep(700 * time.Millisecond)
	require.Equal(t, before, f.engines[leaving].Counts().Requests, "new requests after %s", maxRemovalTime)
	close(stop)
	callers.Wait()
	for range cap(long) {
		reply := <-long
		require.True(t, reply.OK(), "a stream did not finish: %+v", reply.Error)
	}
}

func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4, enginesPerZone: 2, engineOptions: standin.EngineOptions{DecodePerToken: 3 * time.Millisecond, Slots: 64}})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	terminated := map[*vm]bool{}
	randomReadyVM := func(r *rand.Rand) *vm {
		for {
			v := randomVM(f, r)
			if resp, err := f.httpClient.Get("http://" + v.entryAddress + "/readyz"); err == nil {
				_ = resp.Body.Close()
				mu.Lock()
				ok := resp.StatusCode == 200 && !terminated[v]
				mu.Unlock()
				if ok {
					return v
				}
			}
		}
	}
	served := 0
	for i := range 12 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(*faultSeed, uint64(i)))
			for !sleepOrStop(stop, time.Millisecond) {
				v := randomReadyVM(r)
				reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 50 + r.IntN(100), NonStreaming: r.IntN(4) == 0})
				require.NoError(t, err, v.name)
				require.True(t, reply.OK(), "%s: %+v", v.name, reply.Error)
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	for _, v := range f.vms[:2] {
		f.shutDown(v)
		f.platform.RemoveVM(v.name)
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	require.Greater(t, served, 50)
	t.Logf("%d responses, none interrupted", served)
}
