package gateway

import (
	"context"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/stretchr/testify/require"
)

// The other VMs hear of a server that does not answer, those of other zones by
// the VM that speaks for this one, and of its next good answer.
func TestOthersHearOfSilentServers(t *testing.T) {
	g, a := open(t, func(ctx context.Context, n int, _ *Attempt) (*Answer, error) {
		if n == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return text(200, events("1")), nil
	})
	for _, sub := range g.subs {
		sub.Cancel()
	}
	ask(t, g, "/resumable/", "key")
	failed := a.sent()[0].Server
	for _, m := range []*gossip.Message{g.news.near(), g.news.far()} {
		require.Len(t, m.Failed, 1)
		require.Equal(t, failed.ID, m.Failed[0].Server.ID)
		require.Equal(t, 1, m.Failed[0].Failures)
	}
	g.succeeded(failed)
	g.succeeded(failed)
	require.Equal(t, []gossip.Server{{ID: failed.ID}}, g.news.near().Recovered)

	// What a VM of the zone tells goes to the other zones too.
	g.hear(&gossip.Message{VM: "b", Zone: "z1", Failed: []gossip.Failure{{Server: gossip.Server{ID: "p1"}, Failures: 2, BackoffMillis: 1000}}}, true)
	require.Len(t, g.news.far().Failed, 1)
	for _, s := range g.table.Statuses("plain", g.now()) {
		require.Equal(t, s.Server.ID == "p1", s.InBackoff)
	}
}
