package e2e

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
)

// fault injects one kind of fault and returns a function that ends it.
type fault func(f *fleet, r *rand.Rand) (undo func())

// randomVM returns a random VM of the fleet.
func randomVM(f *fleet, r *rand.Rand) *vm { return f.vms[r.IntN(len(f.vms))] }

func killRouter(f *fleet, r *rand.Rand) func() {
	v := randomVM(f, r)
	f.kill(v)
	return func() { f.startRouter(v) }
}

func killTwoRouters(f *fleet, r *rand.Rand) func() {
	first := r.IntN(len(f.vms))
	a, b := f.vms[first], f.vms[(first+1)%len(f.vms)]
	f.kill(a)
	f.kill(b)
	return func() {
		f.startRouter(a)
		f.startRouter(b)
	}
}

func killAllRouters(f *fleet, _ *rand.Rand) func() {
	for _, v := range f.vms {
		f.kill(v)
	}
	return func() {
		for _, v := range f.vms {
			f.startRouter(v)
		}
	}
}

func freezeRouter(f *fleet, r *rand.Rand) func() {
	v := randomVM(f, r)
	f.freeze(v)
	return func() { f.thaw(v) }
}

func losePlatformWriteResponses(f *fleet, _ *rand.Rand) func() {
	f.platform.SetFaults(standin.PlatformFaults{LostAnswerFraction: 0.5})
	return func() { f.platform.SetFaults(standin.PlatformFaults{}) }
}

func stopPlatform(f *fleet, _ *rand.Rand) func() {
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	return func() { f.platform.SetFaults(standin.PlatformFaults{}) }
}

func slowPlatform(f *fleet, _ *rand.Rand) func() {
	f.platform.SetFaults(standin.PlatformFaults{DelayMillis: 300})
	return func() { f.platform.SetFaults(standin.PlatformFaults{}) }
}

func failServices(f *fleet, _ *rand.Rand) func() {
	return f.setServiceFaults(standin.ServiceFaults{FailAfterRun: true, DelayMillis: 50})
}

func dropServiceResponses(f *fleet, _ *rand.Rand) func() {
	return f.setServiceFaults(standin.ServiceFaults{DropEveryRuns: 3})
}

func (f *fleet) setServiceFaults(faults standin.ServiceFaults) (undo func()) {
	set := func(s standin.ServiceFaults) {
		for _, v := range f.services {
			v.SetFaults(s)
		}
	}
	set(faults)
	return func() { set(standin.ServiceFaults{}) }
}

func partitionRandomZone(f *fleet, r *rand.Rand) func() {
	f.partitionZone(f.doc.Zones[r.IntN(len(f.doc.Zones))].Name)
	return f.restoreLinks
}

func cutPlatformLink(f *fleet, r *rand.Rand) func() {
	v := randomVM(f, r)
	if v.cmd == nil {
		return func() {}
	}
	f.setLinkFaults(v, router.CutLinks{Platform: true})
	return f.restoreLinks
}

// injectFaults injects random faults one after the other until stop is closed, each
// for at most maxFaultDuration, with a pause in between. No fault remains when it
// returns.
func injectFaults(t *testing.T, f *fleet, maxFaultDuration time.Duration, faults []fault, stop <-chan struct{}) {
	t.Helper()
	t.Logf("seed %d", *faultSeed)
	r := rand.New(rand.NewPCG(*faultSeed, 7))
	for {
		undo := faults[r.IntN(len(faults))](f, r)
		ended := sleepOrStop(stop, time.Duration(1+r.Int64N(int64(maxFaultDuration))))
		undo()
		if ended || sleepOrStop(stop, 100*time.Millisecond) {
			return
		}
	}
}

// sleepOrStop waits for d or until stop is closed, and reports whether stop was
// closed.
func sleepOrStop(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// runUnderFaults calls work repeatedly in the given number of workers while faults
// are injected, for the time set by the flag -length.
func runUnderFaults(t *testing.T, f *fleet, maxFaultDuration time.Duration, faults []fault, workers int, work func(i int, r *rand.Rand)) {
	t.Helper()
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { injectFaults(t, f, maxFaultDuration, faults, stop) })
	end := time.Now().Add(*faultDuration)
	parallel(workers, func(i int) {
		r := rand.New(rand.NewPCG(*faultSeed, uint64(100+i)))
		for time.Now().Before(end) {
			work(i, r)
		}
	})
	close(stop)
	done.Wait()
}
