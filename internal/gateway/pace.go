package gateway

import (
	"math/bits"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/pace"
	"github.com/marjoramrock/marjoramrock/internal/placement"
)

const (
	// newServerAge is the age up to which a server counts as new. Clocks may differ by as
	// much.
	newServerAge = 10 * time.Second
	// paceClassTokens is the smallest difference in prompt tokens between the classes of
	// calls whose response times are compared.
	paceClassTokens = 512
)

// viewPace excludes the servers that asked for no requests, and fills in which have as
// many calls as they should.
func (g *Gateway) viewPace(statuses []backend.Status, v *placement.View, now time.Duration) {
	for i := range statuses {
		v.Servers[i].Excluded = v.Servers[i].Excluded || statuses[i].BackingOff
	}
	unixNow := time.Now().UnixMilli()
	at := g.pace.AtLimit(len(statuses), func(i int) pace.Server { return paceServer(&statuses[i], unixNow) }, g.node.VMs, now)
	for i := range at {
		v.Servers[i].AtLimit = at[i]
	}
}

func paceServer(s *backend.Status, unixNow int64) pace.Server {
	// A single failure is weak evidence, and the server may have parts cached.
	failed := s.Failures > 1
	maxAge := newServerAge.Milliseconds()
	age := unixNow - s.Server.Born
	return pace.Server{
		ID: s.Server.ID, Born: s.Server.Born, Load: s.Load, InFlight: s.InFlight, New: age < maxAge && age > -maxAge, ColdLeft: s.Server.ColdLeft,
		Down: s.InBackoff && failed || s.Reloading || s.BackingOff, Failed: failed, Draining: s.Server.Draining,
	}
}

// beginSample begins to measure the time to the first byte of an attempt. Calls of one
// route with a similar number of prompt tokens to process are compared.
func (g *Gateway) beginSample(f *forwardedCall, c serverChoice) *pace.Sample {
	sentAt := g.now()
	if f.takeover != nil {
		sentAt = f.takeover.sentAt
	}
	class := f.service + "/" + f.route.Name + "/" + strconv.Itoa(bits.Len(uint(max(0, c.UncachedTokens))/paceClassTokens))
	return g.pace.Begin(c.server.ID, c.server.Born, class, sentAt)
}

// logPace logs and counts a change of a limit.
func (g *Gateway) logPace(c pace.Change) {
	e, counter := event.PaceBegan, "pace_began"
	switch c.Kind {
	case pace.Began:
	case pace.Slowed:
		e, counter = event.PaceSlowed, "pace_slowed"
	case pace.Settled:
		e, counter = event.PaceSettled, "pace_settled"
	}
	g.metrics.incrementCounter(counter)
	e.Log(g.log, nil, log.Fields{"server": c.ID, "limit": c.Limit, "ratio": c.Ratio, "ms": c.Paced.Milliseconds()})
}
