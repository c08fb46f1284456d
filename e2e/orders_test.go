package e2e

import (
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/stretchr/testify/require"
)

// loadsAtOnce is the users' bound on loads of weights at once.
const loadsAtOnce = 2

func TestOrdersLoadTwoAtOnceByOneOrderer(t *testing.T) {
	tests := []struct {
		give   string
		fenced bool
	}{
		{give: "engines that honour fencing", fenced: true},
		{give: "engines that ignore fencing"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f := newFleet(t, shape{
				routers: 4, engines: 3,
				engine: standin.EngineOptions{WeightLoadTime: 400 * time.Millisecond, SupportsFencing: tt.fenced},
			})
			f.setVersion("v2")
			time.Sleep(time.Second)
			holder := f.vms[0]
			f.freeze(holder)
			f.platform.RemoveVM(f.vms[1].name)
			f.kill(f.vms[1])
			time.Sleep(3 * time.Second)
			f.thaw(holder)
			f.awaitVersion("v2")
			require.LessOrEqual(t, f.store.MaxConcurrentLoads(), loadsAtOnce)
			for name, e := range f.engines {
				c := e.Counts()
				require.Len(t, c.Orders, 1, "%s was ordered %v", name, c.Orders)
				require.Empty(t, c.RefusedOrders, "%s got orders from more than one orderer", name)
			}
		})
	}
}
