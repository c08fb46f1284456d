package e2e

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/stretchr/testify/require"
)

// outcome is what a caller of a once-only route learned.
type outcome struct {
	// run is "ran", "no" or "unknown".
	run     string
	receipt string
	// request is the router's id of the call; empty if no answer came.
	request string
}

// States of a call's register besides its receipt.
const (
	notRun = "not run"
	unseen = "run, receipt not seen"
)

// runModel is a register of runs: a call runs at most once, every receipt is
// that run's, and "no" leaves the register as it was.
var runModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(string)
			byKey[key] = append(byKey[key], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{notRun} },
	Step: func(state, _, output any) []any {
		ran, got := state.(string), output.(outcome)
		switch {
		case got.run == "no":
			return []any{ran}
		case got.run == "unknown" && ran == notRun:
			// It may have run, with a receipt that nobody has seen yet.
			return []any{notRun, unseen}
		case got.run == "unknown":
			return []any{ran}
		case ran == notRun || ran == unseen:
			return []any{got.receipt}
		case ran == got.receipt:
			return []any{ran}
		}
		return nil
	},
}).ToModel()

type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, input, output any, began, ended time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: began.UnixNano(), Return: ended.UnixNano(),
	})
}

// booked turns an answer into what it tells the caller.
func booked(t *testing.T, got called) outcome {
	switch {
	case got.err != nil:
		return outcome{run: "unknown"}
	case got.status == http.StatusOK:
		var r standin.ServiceResponse
		require.NoError(t, json.Unmarshal([]byte(got.body), &r))
		return outcome{run: "ran", receipt: fmt.Sprint(r.Server, "/", r.RunNumber), request: got.request}
	case got.run != "":
		return outcome{run: got.run, request: got.request}
	default:
		// The service's own error after the run, passed on as it came.
		return outcome{run: "unknown"}
	}
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	f := newFleet(t, shape{routers: 4})
	h := &history{}
	var serial sync.Map
	faults := []fault{
		killRouter, killTwoRouters, freezeRouter, losePlatformAnswers, platformDown, platformSlow, serviceFails, serviceDrops,
		serviceDrops, cutPlatformOfOne,
	}
	during(t, f, 900*time.Millisecond, faults, 16, func(i int, r *rand.Rand) {
		group := i / 4
		next, _ := serial.LoadOrStore(group, new(atomic.Int64))
		n := next.(*atomic.Int64)
		key := fmt.Sprintf("booking-%d-%d", group, n.Load()/3)
		if i%4 == 0 {
			n.Add(1)
		}
		began := time.Now()
		got := f.call(pickVM(f, r), "POST", "/bookings", f.keys[teamLarge], key, "one steam rig", nil)
		h.add(i, key, booked(t, got), began, time.Now())
	})
	f.checkRuns(h)
}

// checkRuns holds a history of once-only calls to what the services counted.
func (f *fleet) checkRuns(h *history) {
	f.t.Helper()
	runs := map[string]int{}
	requests := map[string]int{}
	for _, s := range f.services {
		counts := s.Counts()
		for key, n := range counts.RunsByKey {
			runs[key] += n
		}
		for id, n := range counts.RunsByRequest {
			requests[id] += n
		}
	}
	ran, refused := 0, 0
	for _, op := range h.ops {
		got := op.Output.(outcome)
		switch got.run {
		case "ran":
			ran++
		case "no":
			refused++
			require.Zero(f.t, requests[got.request], "%s ran, and its caller was told that it did not", op.Input)
		}
	}
	for key, n := range runs {
		require.LessOrEqual(f.t, n, 1, "%s ran twice", key)
	}
	require.NotZero(f.t, ran, "no call ran: the test proves nothing")
	f.t.Logf("%d calls, %d answered with a receipt, %d refused as not run", len(h.ops), ran, refused)
	result := porcupine.CheckOperationsTimeout(runModel, h.ops, time.Minute)
	require.Equal(f.t, porcupine.Ok, result, "the history is not one of at most one run for each key")
}

func TestOnceWithoutPlatformIsRefusedAsNotRun(t *testing.T) {
	f := newFleet(t, shape{routers: 2})
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	got := f.call(f.vms[0], "POST", "/bookings", f.keys[teamLarge], "k", "x", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Equal(t, "no", got.run)
	for _, s := range f.services {
		require.Zero(t, s.Counts().Calls)
	}
}

func TestRepeatGetsTheSameReceipt(t *testing.T) {
	f := newFleet(t, shape{routers: 4})
	first := f.call(f.vms[0], "POST", "/bookings", f.keys[teamLarge], "k", "x", nil)
	require.Equal(t, http.StatusOK, first.status, first.body)
	for _, v := range f.vms {
		again := f.call(v, "POST", "/bookings", f.keys[teamLarge], "k", "x", nil)
		require.Equal(t, first.body, again.body)
		require.Equal(t, first.status, again.status)
	}
	other := f.call(f.vms[0], "POST", "/bookings", f.keys[teamLarge], "k", "another body", nil)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	team := f.call(f.vms[0], "POST", "/bookings", f.keys[teamSmall], "k", "x", nil)
	require.Equal(t, http.StatusOK, team.status, "keys of different teams do not meet")
	require.NotEqual(t, first.body, team.body)
}
