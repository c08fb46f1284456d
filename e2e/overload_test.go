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
	f := newFleet(t, fleetOptions{routers: 1, enginesPerZone: 2, zones: []string{"zone-a"}})
	f.setEngineFaults(standin.EngineFaults{FailFraction: 0.5})
	const requestCount = 600
	var served, attempts atomic.Int64
	parallel(6, func(int) {
		for range requestCount / 6 {
			reply, err := f.requestModel(f.vms[0], teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 1})
			require.NoError(t, err)
			if reply.OK() {
				served.Add(1)
			}
		}
	})
	for _, e := range f.engines {
		attempts.Add(int64(e.Counts().Calls))
	}
	t.Logf("%d attempts for %d requests, %d served", attempts.Load(), requestCount, served.Load())
	require.LessOrEqual(t, attempts.Load(), int64(requestCount+requestCount/10+20), "retries are limited to a tenth of the requests plus a reserve of 20")
	require.NotZero(t, served.Load())
}

func TestOverloadIsRefusedAsNotRun(t *testing.T) {
	f := newFleet(t, fleetOptions{
		routers: 1, enginesPerZone: 1, zones: []string{"zone-a"},
		engineOptions: standin.EngineOptions{Slots: 2, DecodePerToken: 40 * time.Millisecond},
	})
	var served, refused atomic.Int64
	parallel(60, func(int) {
		reply, err := f.requestModel(f.vms[0], teamLarge, trial.ModelRequest{Messages: []string{"x"}, MaxTokens: 20})
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
	require.Equal(t, served.Load(), int64(f.engines["engine-1-1"].Counts().Requests), "refused requests have not run")
}
