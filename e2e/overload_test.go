package e2e

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

func TestRetriesAreBounded(t *testing.T) {
	f := newFleet(t, shape{routers: 1, engines: 2, zones: []string{"zone-a"}})
	f.engineFaults(standin.EngineFaults{FailFraction: 0.5})
	const fresh = 600
	var served, attempts atomic.Int64
	parallel(6, func(int) {
		for range fresh / 6 {
			reply, err := f.ask(f.vms[0], teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
			require.NoError(t, err)
			if reply.OK() {
				served.Add(1)
			}
		}
	})
	for _, e := range f.engines {
		attempts.Add(int64(e.Counts().Calls))
	}
	t.Logf("%d attempts for %d requests, %d served", attempts.Load(), fresh, served.Load())
	require.LessOrEqual(t, attempts.Load(), int64(fresh+fresh/10+20), "retries are a tenth of fresh traffic, and 20 saved")
	require.NotZero(t, served.Load())
}

func TestOverloadIsRefusedHonestly(t *testing.T) {
	f := newFleet(t, shape{
		routers: 1, engines: 1, zones: []string{"zone-a"},
		engine: standin.EngineOptions{Slots: 2, DecodePerToken: 40 * time.Millisecond},
	})
	var served, refused atomic.Int64
	parallel(60, func(int) {
		reply, err := f.ask(f.vms[0], teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 20})
		require.NoError(t, err)
		if reply.OK() {
			served.Add(1)
			return
		}
		require.Equal(t, http.StatusServiceUnavailable, reply.Status)
		require.Equal(t, "overloaded", reply.Error.Type)
		require.EqualValues(t, "no", reply.Error.Run)
		require.NotEmpty(t, reply.RetryAfter, "Retry-After")
		refused.Add(1)
	})
	t.Logf("%d served, %d refused", served.Load(), refused.Load())
	require.NotZero(t, served.Load())
	require.NotZero(t, refused.Load())
	require.Equal(t, served.Load(), int64(f.engines["engine-1-1"].Counts().Requests), "what was refused has not run")
}
