package router

import (
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/rcrowley/go-metrics"
)

// routerMetrics holds the router's metrics.
type routerMetrics struct {
	registry   metrics.Registry
	requests   metrics.Meter
	served     metrics.Meter
	broken     metrics.Meter
	callerLeft metrics.Meter
	chunks     metrics.Counter
	prompt     metrics.Counter
	cached     metrics.Counter
	generated  metrics.Counter
	ttft       metrics.Timer
}

func newRouterMetrics() *routerMetrics {
	registry := metrics.NewRegistry()
	return &routerMetrics{
		registry:   registry,
		requests:   metrics.NewRegisteredMeter("requests", registry),
		served:     metrics.NewRegisteredMeter("served", registry),
		broken:     metrics.NewRegisteredMeter("broken", registry),
		callerLeft: metrics.NewRegisteredMeter("left", registry),
		chunks:     metrics.NewRegisteredCounter("chunks", registry),
		prompt:     metrics.NewRegisteredCounter("tokens.prompt", registry),
		cached:     metrics.NewRegisteredCounter("tokens.cached", registry),
		generated:  metrics.NewRegisteredCounter("tokens.generated", registry),
		ttft:       metrics.NewRegisteredTimer("ttft", registry),
	}
}

func (m *routerMetrics) recordRefusal(kind string) {
	metrics.GetOrRegisterMeter("refused."+kind, m.registry).Mark(1)
}

func (m *routerMetrics) recordTTFT(d time.Duration) { m.ttft.Update(d) }

func (m *routerMetrics) recordUsage(u *answer.Usage) {
	m.prompt.Inc(int64(u.PromptTokens))
	m.cached.Inc(int64(u.PromptDetails.CachedTokens))
	m.generated.Inc(int64(u.CompletionTokens))
}
