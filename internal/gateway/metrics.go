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

// histogramSampleSize and histogramDecayAlpha are the values that the metrics library
// recommends for histograms that favor the last five minutes.
const (
	histogramSampleSize = 1028
	histogramDecayAlpha = 0.015
)

// gatewayMetrics are the metrics of the gateway.
type gatewayMetrics struct{ registry metrics.Registry }

func newGatewayMetrics() *gatewayMetrics { return &gatewayMetrics{registry: metrics.NewRegistry()} }

func (m *gatewayMetrics) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *gatewayMetrics) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *gatewayMetrics) observeDuration(name string, d time.Duration) {
	h, ok := m.registry.GetOrRegister(name, newHistogram).(metrics.Histogram)
	if ok {
		h.Update(d.Microseconds())
	}
}

// newHistogram returns an empty histogram, whose sample takes 24 KB.
func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramDecayAlpha))
}

// write prints the metrics as text, one value per line.
func (m *gatewayMetrics) write(w io.Writer) {
	line := func(format string, args ...any) {
		// A client that has disconnected misses the rest.
		_, _ = fmt.Fprintf(w, format+"\n", args...)
	}
	m.registry.Each(func(name string, i any) {
		switch v := i.(type) {
		case metrics.Counter:
			line("%s %d", name, v.Count())
		case metrics.Gauge:
			line("%s %d", name, v.Value())
		case metrics.Histogram:
			s := v.Snapshot()
			line("%s_count %d", name, s.Count())
			for _, q := range []float64{0.5, 0.95, 0.99} {
				line("%s{quantile=\"%g\"} %.0f", name, q, s.Percentile(q))
			}
		}
	})
}

// outcomeAnswered is the outcome of a call whose response was passed on completely.
const outcomeAnswered = "answered"

// metricName returns a text as part of the name of a metric.
func metricName(text string) string {
	return strings.ReplaceAll(strings.ReplaceAll(text, " ", "_"), "'", "")
}

// recordOutcome counts and logs the end of a call.
func (g *Gateway) recordOutcome(f *forwardedCall) {
	g.metrics.incrementCounter("calls_" + metricName(f.outcome))
	duration := g.now() - f.startedAt
	fields := log.Fields{
		"request": f.call.ID, "outcome": f.outcome, "status": f.status, "server": f.lastChoice.server.ID,
		"sent": f.attempts, "runs": f.possibleRuns, "ms": duration.Milliseconds(),
	}
	if f.route != nil {
		fields["route"] = f.route.Name
		g.metrics.observeDuration("call_us", duration)
	}
	if f.call.Prompt.Model != "" && f.attempts > 0 {
		fields["version"], fields["missing"], fields["pending"] = f.lastChoice.version, f.lastChoice.UncachedTokens, f.lastChoice.pendingTokens
		fields["load"], fields["fetch"] = f.lastChoice.calls, f.lastChoice.FetchFrom
	}
	fields["generation"], fields["proof"] = f.generation, f.proofAge.Milliseconds()
	if f.outcome != outcomeAnswered && f.detail != "" {
		fields["why"] = f.detail
	}
	if f.team != nil {
		fields["team"] = f.team.Name
	}
	if f.lastEventAt > 0 {
		fields["sincelast"] = (g.now() - f.lastEventAt).Milliseconds()
	}
	if f.firstByteAt > 0 {
		fields["first"] = (f.firstByteAt - f.startedAt).Milliseconds()
		g.metrics.observeDuration("first_us", f.firstByteAt-f.startedAt)
	}
	event.RequestEnded.Log(g.log, nil, fields)
}
