package e2e

import (
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/stretchr/testify/require"
)

// maxConcurrentLoads is the limit on engines that load weights at the same time.
const maxConcurrentLoads = 2

func TestWeightLoadsAreLimitedAndOrderedOnce(t *testing.T) {
	tests := []struct {
		give   string
		fenced bool
	}{
		{give: "engines that honour fencing", fenced: true},
		{give: "engines that ignore fencing"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f := newFleet(t, fleetOptions{
				routers: 4, enginesPerZone: 3,
				engineOptions: standin.EngineOptions{WeightLoadTime: 400 * time.Millisecond, SupportsFencing: tt.fenced},
			})
			f.setModelVersion("v2")
			time.Sleep(time.Second)
			frozen := f.vms[0]
			f.freeze(frozen)
			f.platform.RemoveVM(f.vms[1].name)
			f.kill(f.vms[1])
			time.Sleep(3 * time.Second)
			f.thaw(frozen)
			f.awaitVersion("v2")
			require.LessOrEqual(t, f.weightStore.MaxConcurrentLoads(), maxConcurrentLoads)
			for name, e := range f.engines {
				c := e.Counts()
				require.Len(t, c.Orders, 1, "%s received the orders %v", name, c.Orders)
				require.Empty(t, c.RefusedOrders, "%s received orders from more than one orderer", name)
			}
		})
	}
}
