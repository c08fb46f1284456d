package gateway

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha are those that the metrics library proposes for
// histograms that favour the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meters are the gateway's metrics.
type meters struct{ registry metrics.Registry }

func newMeters() *meters { return &meters{registry: metrics.NewRegistry()} }

func (m *meters) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *meters) took(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha)).Update(d.Microseconds())
}

// write prints the metrics as text, one figure a line.
func (m *meters) write(w io.Writer) {
	line := func(format string, args ...any) {
		// A reader that has left misses the rest.
		_, _ = fmt.Fprintf(w, format+"\n", args...)
	}
	m.registry.Each(func(name string, i any) {
		switch v := i.(type) {
		case metrics.Counter:
			line("%s %d", name, v.Count())
		case metrics.Histogram:
			s := v.Snapshot()
			line("%s_count %d", name, s.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				line("%s{quantile=\"%g\"} %.0f", name, q, s.Percentile(q))
			}
		}
	})
}

// outcomeAnswered is that of a call whose answer was passed on whole.
const outcomeAnswered = "answered"

// ended counts and logs the end of a call.
func (g *Gateway) ended(f *flight) {
	outcome := strings.ReplaceAll(strings.ReplaceAll(f.outcome, " ", "_"), "'", "")
	g.meters.count("calls_" + outcome)
	took := g.now() - f.began
	fields := log.Fields{
		"request": f.call.ID, "outcome": f.outcome, "status": f.status, "server": f.last.server.ID,
		"sent": f.sent, "runs": f.runs, "ms": took.Milliseconds(),
	}
	if f.route != nil {
		fields["route"] = f.route.Name
		g.meters.took("call_us", took)
	}
	if f.call.Prompt.Model != "" && f.sent > 0 {
		fields["version"], fields["missing"], fields["pending"] = f.last.version, f.last.missing, f.last.pending
		fields["load"], fields["fetch"] = f.last.load, f.last.fetch
	}
	fields["generation"], fields["proof"] = f.generation, f.proof.Milliseconds()
	if f.outcome != outcomeAnswered && f.why != "" {
		fields["why"] = f.why
	}
	if f.team != nil {
		fields["team"] = f.team.Name
	}
	if f.first > 0 {
		fields["first"] = (f.first - f.began).Milliseconds()
		g.meters.took("first_us", f.first-f.began)
	}
	event.RequestEnded.Log(g.log, nil, fields)
}
