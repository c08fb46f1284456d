package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/stretchr/testify/require"
)

// A server that does not respond is announced to the other VMs of the zone and, by the
// zone's leader, to the other zones. So is its recovery.
func TestServerFailureIsAnnounced(t *testing.T) {
	g, a := newTestGateway(t, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return newResponse(200, eventStream("1")), nil
	})
	for _, sub := range g.subscriptions {
		sub.Cancel()
	}
	serveCall(t, g, "/resumable/", "key")
	failedServer := a.sentAttempts()[0].Server
	for _, m := range []*gossip.Message{g.outbox.takeOwnZone(), g.outbox.takeOtherZones()} {
		require.Len(t, m.Failed, 1)
		require.Equal(t, failedServer.ID, m.Failed[0].Server.ID)
		require.Equal(t, 1, m.Failed[0].Failures)
	}
	g.recordSuccess(failedServer)
	g.recordSuccess(failedServer)
	require.Equal(t, []gossip.Server{{ID: failedServer.ID}}, g.outbox.takeOwnZone().Recovered)

	// Failures reported by a VM of the own zone are forwarded to the other zones.
	g.handleMessage(&gossip.Message{VM: "b", Zone: "z1", Failed: []gossip.Failure{{Server: gossip.Server{ID: "p1"}, Failures: 2, BackoffMillis: 1000}}}, true)
	require.Len(t, g.outbox.takeOtherZones().Failed, 1)
	for _, s := range g.table.Statuses("plain", g.now()) {
		require.Equal(t, s.Server.ID == "p1", s.InBackoff)
	}
}

// Charges must count as known to others only once the leaders of the other zones that are
// heard have them: VMs cut off from each other would charge the same tokens otherwise.
func TestChargesAreConfirmedByOtherZones(t *testing.T) {
	g, _ := newTestGateway(t, respondWith(newResponse(200, "ok")))
	for _, sub := range g.subscriptions {
		sub.Cancel()
	}
	g.quota.UpdatePeer("far", 1, nil, g.now())
	heard := []gossip.Heard{{VM: "unrelated", Epoch: 1, Sequence: 1}}
	digest := func() {
		g.handleMessage(&gossip.Message{VM: "far", Zone: "far", Epoch: 1, Sequence: 5, Digest: true, Heard: heard}, false)
	}
	digest()
	time.Sleep(30 * time.Millisecond)
	sentAt := g.now()
	g.sendUpdates()
	g.sendUpdates()
	require.GreaterOrEqual(t, g.quota.ConfirmedAge(g.now()), 30*time.Millisecond, "the other zone has heard nothing")
	heard = []gossip.Heard{{VM: g.settings.VM, Epoch: g.epoch, Sequence: 1 << 20}}
	digest()
	g.sendUpdates()
	require.LessOrEqual(t, g.quota.ConfirmedAge(g.now()), g.now()-sentAt)
}
