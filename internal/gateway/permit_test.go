package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

// A process that was paused, or whose connection took long to open, must not act on
// what it was permitted before.
func TestAttemptsAreCheckedAgainBeforeTheyAreWritten(t *testing.T) {
	withoutKey := func(g *Gateway) {
		c := g.catalog.Current()
		route := c.Match("h", "/once/")
		g.catalog.Put(catalog.New(c.Version()+1, []*catalog.Route{route}, []*catalog.Service{{Name: "plain"}}, []*catalog.Team{{Name: "team", Keys: []string{"other"}}}))
	}
	tests := []struct {
		name   string
		during func(g *Gateway, a *Attempt)
		want   bool
		reason Reason
	}{
		{"nothing happens", func(*Gateway, *Attempt) {}, true, ""},
		{"the key is withdrawn", func(g *Gateway, _ *Attempt) { withoutKey(g) }, false, ReasonUnknownKey},
		{"a pause", func(*Gateway, *Attempt) { time.Sleep(maxDecisionAge + 10*time.Millisecond) }, false, ReasonUnavailable},
		{"the server leaves", func(g *Gateway, a *Attempt) { g.removeServer(a.Server.ID) }, false, ReasonUnavailable},
		{"the server drains", func(g *Gateway, a *Attempt) {
			s := a.Server
			s.Draining = true
			g.table.Put(s)
		}, false, ReasonUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g *Gateway
			g, _ = newTestGateway(t, func(_ context.Context, _ int, a *Attempt) (*Response, error) {
				tt.during(g, a)
				if !a.Permit() {
					return nil, fmt.Errorf("%w: %w", upstream.ErrUnsent, upstream.ErrNotPermitted)
				}
				return newResponse(200, "ok"), nil
			})
			c := serveCall(t, g, "/once/", "key")
			if tt.want {
				require.Equal(t, 200, c.status)
				return
			}
			require.NotNil(t, c.refusal)
			require.Equal(t, tt.reason, c.refusal.Reason)
			for _, s := range g.table.Statuses("plain", g.now()) {
				require.Zero(t, s.Failures, "the server is not at fault")
			}
		})
	}
}
