package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

// withdrawKey puts a catalog in force that has the route of a path, but no key of the
// tests.
func withdrawKey(g *Gateway, path string) {
	c := g.catalog.Current()
	services := slices.Collect(maps.Values(c.Services()))
	g.catalog.Put(catalog.New(c.Version()+1, []*catalog.Route{c.Match("h", path)}, services, []*catalog.Team{{Name: "team", Keys: []string{"other"}}}))
}

// A process that was paused, or whose connection took long to open, must not act on
// what it was permitted before.
func TestAttemptsAreCheckedAgainBeforeTheyAreWritten(t *testing.T) {
	tests := []struct {
		name   string
		during func(g *Gateway, a *Attempt)
		want   bool
		reason Reason
	}{
		{"nothing happens", func(*Gateway, *Attempt) {}, true, ""},
		{"the key is withdrawn", func(g *Gateway, _ *Attempt) { withdrawKey(g, "/once/") }, false, ReasonUnknownKey},
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

// A stream that has begun is resumed, although its key has been withdrawn or the proof of
// the catalog has become too old meanwhile: its call was made before.
func TestBegunStreamsOutliveTheirKey(t *testing.T) {
	for _, path := range []string{"/resumable/", "/long-goals/"} {
		var g *Gateway
		g, a := newTestGateway(t, func(_ context.Context, n int, a *Attempt) (*Response, error) {
			if n == 1 {
				withdrawKey(g, path)
				return truncatedResponse(eventStream("1")), nil
			}
			require.True(t, a.Permit())
			return newResponse(200, eventStream("2")), nil
		})
		c := serveCall(t, g, path, "isolated-key")
		require.False(t, c.aborted)
		require.Equal(t, eventStream("1", "2"), c.body.String())
		require.Len(t, a.sentAttempts(), 2)
	}
}
