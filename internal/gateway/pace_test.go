package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/stretchr/testify/require"
)

// Guards against states of a server that the limits do not see.
func TestServersThatStartOrRecoverAreLimited(t *testing.T) {
	tests := []struct {
		name string
		// begin puts the server "e1" into its state, end ends it.
		begin, end func(g *Gateway, s *backend.Server)
	}{
		{"new", func(_ *Gateway, s *backend.Server) { s.Born = time.Now().UnixMilli() }, nil},
		{"cold", func(_ *Gateway, s *backend.Server) { s.ColdLeft = time.Second }, nil},
		{"failed", func(g *Gateway, s *backend.Server) {
			g.table.RecordFailure(s.ID, g.now())
			g.table.RecordFailure(s.ID, g.now())
		}, func(g *Gateway, s *backend.Server) { g.table.RecordSuccess(s.ID, g.now()) }},
		{"loads weights", func(g *Gateway, s *backend.Server) { g.table.BeginReload(s.ID, s.Born, "m", 2, g.now()) },
			func(g *Gateway, s *backend.Server) { g.table.RaiseVersion(s.ID, s.Born, "m", 2) }},
		{"asked for no requests", func(g *Gateway, s *backend.Server) {
			g.table.RecordBackoff(s.ID, s.Born, g.now()+20*time.Millisecond, g.now())
		}, func(*Gateway, *backend.Server) { time.Sleep(20 * time.Millisecond) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newTestGateway(t, func(context.Context, int, *Attempt) (*Response, error) { return newResponse(200, "ok"), nil })
			limited := func() map[string]bool {
				statuses, v, _ := g.viewServers(&forwardedCall{call: &Call{}}, "model")
				out := make(map[string]bool)
				for i, s := range statuses {
					out[s.Server.ID] = v.Servers[i].AtLimit
				}
				return out
			}
			require.Equal(t, map[string]bool{"e1": false, "e2": false}, limited())
			s, _ := g.table.Get("e1", g.now())
			tt.begin(g, &s)
			g.table.Put(s)
			limited()
			if tt.end != nil {
				tt.end(g, &s)
			}
			require.Equal(t, map[string]bool{"e1": false, "e2": false}, limited())
			g.table.Begin("e1", 0)
			g.table.Begin("e2", 0)
			require.Equal(t, map[string]bool{"e1": true, "e2": false}, limited())
		})
	}
}
