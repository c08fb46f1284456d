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

// callOutcome is what the response told the caller of a once-only route.
type callOutcome struct {
	// runStatus is "ran", "no" or "unknown".
	runStatus string
	receipt   string
	// requestID is the id that the router gave the call; empty if there was no
	// response.
	requestID string
}

// States of atMostOnceModel besides a receipt.
const (
	stateNotRun           = "not run"
	stateRunReceiptUnseen = "run, receipt not seen"
)

// atMostOnceModel models each idempotency key as a register: a call runs at most
// once, every receipt is from that run, and the outcome "no" leaves the register
// unchanged.
var atMostOnceModel = (&porcupine.NondeterministicModel{
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
	Init: func() []any { return []any{stateNotRun} },
	Step: func(state, _, output any) []any {
		ran, got := state.(string), output.(callOutcome)
		switch {
		case got.runStatus == "no":
			return []any{ran}
		case got.runStatus == "unknown" && ran == stateNotRun:
			// The call may have run, with a receipt that no caller has seen yet.
			return []any{stateNotRun, stateRunReceiptUnseen}
		case got.runStatus == "unknown":
			return []any{ran}
		case ran == stateNotRun || ran == stateRunReceiptUnseen:
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

// outcomeOf returns what a response tells the caller.
func outcomeOf(t *testing.T, got callResult) callOutcome {
	switch {
	case got.err != nil:
		return callOutcome{runStatus: "unknown"}
	case got.status == http.StatusOK:
		var r standin.ServiceResponse
		require.NoError(t, json.Unmarshal([]byte(got.body), &r))
		return callOutcome{runStatus: "ran", receipt: fmt.Sprint(r.Server, "/", r.RunNumber), requestID: got.requestID}
	case got.runStatus != "":
		return callOutcome{runStatus: got.runStatus, requestID: got.requestID}
	default:
		// An error from the service after the run, forwarded unchanged.
		return callOutcome{runStatus: "unknown"}
	}
}

func TestBookingsRunAtMostOnce(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4})
	h := &history{}
	var serial sync.Map
	faults := []fault{
		killRouter, killTwoRouters, freezeRouter, losePlatformWriteResponses, stopPlatform, slowPlatform, failServices, dropServiceResponses,
		dropServiceResponses, cutPlatformLink,
	}
	runUnderFaults(t, f, 900*time.Millisecond, faults, 16, func(i int, r *rand.Rand) {
		group := i / 4
		next, _ := serial.LoadOrStore(group, new(atomic.Int64))
		n := next.(*atomic.Int64)
		key := fmt.Sprintf("booking-%d-%d", group, n.Load()/3)
		if i%4 == 0 {
			n.Add(1)
		}
		began := time.Now()
		got := f.sendCall(randomVM(f, r), "POST", "/bookings", f.keys[teamLarge], key, "one steam rig", nil)
		h.add(i, key, outcomeOf(t, got), began, time.Now())
	})
	f.requireAtMostOnce(h)
}

// requireAtMostOnce checks a history of once-only calls against the calls that
// the services counted.
func (f *fleet) requireAtMostOnce(h *history) {
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
		got := op.Output.(callOutcome)
		switch got.runStatus {
		case "ran":
			ran++
		case "no":
			refused++
			require.Zero(f.t, requests[got.requestID], "%s ran, but its caller was told that it did not", op.Input)
		}
	}
	for key, n := range runs {
		require.LessOrEqual(f.t, n, 1, "%s ran more than once", key)
	}
	require.NotZero(f.t, ran, "no call ran, so the test checks nothing")
	f.t.Logf("%d calls, %d with a receipt, %d refused as not run", len(h.ops), ran, refused)
	result := porcupine.CheckOperationsTimeout(atMostOnceModel, h.ops, time.Minute)
	require.Equal(f.t, porcupine.Ok, result, "the history is not linearizable with at most one run for each key")
}

func TestOnceWithoutPlatformIsRefusedAsNotRun(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 2})
	f.platform.SetFaults(standin.PlatformFaults{Down: true})
	got := f.sendCall(f.vms[0], "POST", "/bookings", f.keys[teamLarge], "k", "x", nil)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusServiceUnavailable, got.status, got.body)
	require.Equal(t, "no", got.runStatus)
	for _, s := range f.services {
		require.Zero(t, s.Counts().Calls)
	}
}

func TestRepeatedCallGetsSameReceipt(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 4})
	first := f.sendCall(f.vms[0], "POST", "/bookings", f.keys[teamLarge], "k", "x", nil)
	require.Equal(t, http.StatusOK, first.status, first.body)
	for _, v := range f.vms {
		again := f.sendCall(v, "POST", "/bookings", f.keys[teamLarge], "k", "x", nil)
		require.Equal(t, first.body, again.body)
		require.Equal(t, first.status, again.status)
	}
	other := f.sendCall(f.vms[0], "POST", "/bookings", f.keys[teamLarge], "k", "another body", nil)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	team := f.sendCall(f.vms[0], "POST", "/bookings", f.keys[teamSmall], "k", "x", nil)
	require.Equal(t, http.StatusOK, team.status, "the idempotency keys of different teams are independent")
	require.NotEqual(t, first.body, team.body)
}
