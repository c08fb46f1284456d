package e2e

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
)

// fault is one kind of trouble; it returns what undoes it.
type fault func(f *fleet, r *rand.Rand) (undo func())

// pickVM returns any VM of the fleet.
func pickVM(f *fleet, r *rand.Rand) *vm { return f.vms[r.IntN(len(f.vms))] }

func killRouter(f *fleet, r *rand.Rand) func() {
	v := pickVM(f, r)
	f.kill(v)
	return func() { f.start(v) }
}

func killTwoRouters(f *fleet, r *rand.Rand) func() {
	first := r.IntN(len(f.vms))
	a, b := f.vms[first], f.vms[(first+1)%len(f.vms)]
	f.kill(a)
	f.kill(b)
	return func() {
		f.start(a)
		f.start(b)
	}
}

func killAllRouters(f *fleet, _ *rand.Rand) func() {
	for _, v := range f.vms {
		f.kill(v)
	}
	return func() {
		for _, v := range f.vms {
			f.start(v)
		}
	}
}

func freezeRouter(f *fleet, r *rand.Rand) func() {
	v := pickVM(f, r)
	f.freeze(v)
	return func() { f.thaw(v) }
}

func losePlatformAnswers(f *fleet, _ *rand.Rand) func() {
	f.platform.SetFaults(standin.PlatformFaults{LostAnswerFraction: 0.5})
	return func() { f.platform.SetFaults(standin.PlatformFaults{}) }
}

func platformDown(f *fleet, _ *rand.Rand) func() {
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	return func() { f.platform.SetFaults(standin.PlatformFaults{}) }
}

func platformSlow(f *fleet, _ *rand.Rand) func() {
	f.platform.SetFaults(standin.PlatformFaults{DelayMillis: 300})
	return func() { f.platform.SetFaults(standin.PlatformFaults{}) }
}

func serviceFails(f *fleet, _ *rand.Rand) func() {
	return f.serviceFaults(standin.ServiceFaults{FailAfterRun: true, DelayMillis: 50})
}

func serviceDrops(f *fleet, _ *rand.Rand) func() {
	return f.serviceFaults(standin.ServiceFaults{DropEveryRuns: 3})
}

func (f *fleet) serviceFaults(faults standin.ServiceFaults) (undo func()) {
	set := func(s standin.ServiceFaults) {
		for _, v := range f.services {
			v.SetFaults(s)
		}
	}
	set(faults)
	return func() { set(standin.ServiceFaults{}) }
}

func cutOneZone(f *fleet, r *rand.Rand) func() {
	f.cutZone(f.doc.Zones[r.IntN(len(f.doc.Zones))].Name)
	return f.heal
}

func cutPlatformOfOne(f *fleet, r *rand.Rand) func() {
	v := pickVM(f, r)
	if v.cmd == nil {
		return func() {}
	}
	f.cut(v, router.CutLinks{Platform: true})
	return f.heal
}

// chaos brings faults one after the other until stop is closed, each for up to
// longest, with a pause between, and leaves everything whole.
func chaos(t *testing.T, f *fleet, longest time.Duration, faults []fault, stop <-chan struct{}) {
	t.Helper()
	t.Logf("seed %d", *seed)
	r := rand.New(rand.NewPCG(*seed, 7))
	for {
		undo := faults[r.IntN(len(faults))](f, r)
		ended := rest(stop, time.Duration(1+r.Int64N(int64(longest))))
		undo()
		if ended || rest(stop, 100*time.Millisecond) {
			return
		}
	}
}

// rest waits and reports whether stop was closed.
func rest(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return true
	case <-time.After(d):
		return false
	}
}

// during runs work while chaos goes on for the flagged length.
func during(t *testing.T, f *fleet, longest time.Duration, faults []fault, workers int, work func(i int, r *rand.Rand)) {
	t.Helper()
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Go(func() { chaos(t, f, longest, faults, stop) })
	end := time.Now().Add(*length)
	parallel(workers, func(i int) {
		r := rand.New(rand.NewPCG(*seed, uint64(100+i)))
		for time.Now().Before(end) {
			work(i, r)
		}
	})
	close(stop)
	done.Wait()
}
