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

// leftWithin is the target for a leaving backend server to get no new work.
const leftWithin = 3 * time.Second

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	f := newFleet(t, shape{routers: 4, engines: 2, engine: standin.EngineOptions{DecodePerToken: 5 * time.Millisecond, Slots: 64}})
	long := make(chan trial.Reply, 8)
	for i := range cap(long) {
		go func() {
			reply, _ := f.ask(f.vms[i%4], teamLarge, trial.ModelRequest{Messages: []string{"long"}, MaxTokens: 1000})
			long <- reply
		}()
	}
	require.Eventually(t, func() bool { return f.running() == cap(long) }, 10*time.Second, 5*time.Millisecond)
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
	marked := time.Now()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(*seed, uint64(i)))
			for !rest(stop, 10*time.Millisecond) {
				reply, err := f.ask(pickVM(f, r), teamLarge, trial.ModelRequest{Messages: []string{"long"}, MaxTokens: 4})
				require.NoError(t, err)
				require.True(t, reply.OK(), "%+v", reply.Error)
			}
		})
	}
	time.Sleep(time.Until(marked.Add(leftWithin)))
	before := f.engines[leaving].Counts().Requests
	time.Sleep(700 * time.Millisecond)
	require.Equal(t, before, f.engines[leaving].Counts().Requests, "new work after %s", leftWithin)
	close(stop)
	callers.Wait()
	for range cap(long) {
		reply := <-long
		require.True(t, reply.OK(), "a running stream finishes: %+v", reply.Error)
	}
}

func TestGracefulShutdownCutsNothing(t *testing.T) {
	f := newFleet(t, shape{routers: 4, engines: 2, engine: standin.EngineOptions{DecodePerToken: 3 * time.Millisecond, Slots: 64}})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	gone := map[*vm]bool{}
	alive := func(r *rand.Rand) *vm {
		for {
			v := pickVM(f, r)
			if resp, err := f.http.Get("http://" + v.entry + "/readyz"); err == nil {
				_ = resp.Body.Close()
				mu.Lock()
				ok := resp.StatusCode == 200 && !gone[v]
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
			r := rand.New(rand.NewPCG(*seed, uint64(i)))
			for !rest(stop, time.Millisecond) {
				v := alive(r)
				reply, err := f.ask(v, teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 50 + r.IntN(100), NonStreaming: r.IntN(4) == 0})
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
		f.terminate(v)
		f.platform.RemoveVM(v.name)
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	callers.Wait()
	require.Greater(t, served, 50)
	t.Logf("%d answers, none cut", served)
}
