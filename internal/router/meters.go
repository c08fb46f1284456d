package router

import (
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/rcrowley/go-metrics"
)

// meters are the router's metrics.
type meters struct {
	registry metrics.Registry
	requests metrics.Meter
	served   metrics.Meter
	broken   metrics.Meter
	left     metrics.Meter
	chunks   metrics.Counter
	prompt   metrics.Counter
	cached   metrics.Counter
	made     metrics.Counter
	ttft     metrics.Timer
}

func newMeters() *meters {
	registry := metrics.NewRegistry()
	return &meters{
		registry: registry,
		requests: metrics.NewRegisteredMeter("requests", registry),
		served:   metrics.NewRegisteredMeter("served", registry),
		broken:   metrics.NewRegisteredMeter("broken", registry),
		left:     metrics.NewRegisteredMeter("left", registry),
		chunks:   metrics.NewRegisteredCounter("chunks", registry),
		prompt:   metrics.NewRegisteredCounter("tokens.prompt", registry),
		cached:   metrics.NewRegisteredCounter("tokens.cached", registry),
		made:     metrics.NewRegisteredCounter("tokens.generated", registry),
		ttft:     metrics.NewRegisteredTimer("ttft", registry),
	}
}

func (m *meters) refused(kind string) {
	metrics.GetOrRegisterMeter("refused."+kind, m.registry).Mark(1)
}

func (m *meters) first(d time.Duration) { m.ttft.Update(d) }

func (m *meters) usage(u *answer.Usage) {
	m.prompt.Inc(int64(u.PromptTokens))
	m.cached.Inc(int64(u.PromptDetails.CachedTokens))
	m.made.Inc(int64(u.CompletionTokens))
}
