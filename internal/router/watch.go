package router

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/valyala/fasthttp"
)

// Timing of the probes of an engine while a request waits for it.
const (
	// probeAfterSilence is how long an engine may send nothing before it is
	// probed.
	probeAfterSilence = time.Second
	probeInterval     = 250 * time.Millisecond
	// probeTimeout bounds one probe. An engine counts as lost after
	// maxFailedProbes consecutive failures.
	probeTimeout    = 500 * time.Millisecond
	maxFailedProbes = 2
)

// errEngineLost means that an engine responds neither to a request nor to
// probes.
var errEngineLost = errors.New("engine does not answer probes")

// engineWatch probes an engine while a request waits for it, to distinguish a
// frozen or unreachable engine from a slow one. lost is closed when probes fail
// while nothing is received from the engine.
type engineWatch struct {
	lastActivity atomic.Int64
	lost         chan struct{}
	quit         chan struct{}
}

// watchEngine starts watching an engine until close is called.
func (r *Router) watchEngine(e config.Engine) *engineWatch {
	w := &engineWatch{lost: make(chan struct{}), quit: make(chan struct{})}
	w.recordActivity(r.clock.Now())
	go func() {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for failures := 0; failures < maxFailedProbes; {
			select {
			case <-w.quit:
				return
			case <-ticker.C:
			}
			if w.silence(r.clock.Now()) < probeAfterSilence || r.probe(e) == nil {
				failures = 0
				continue
			}
			failures++
		}
		event.EngineUnresponsive.Log(r.log, nil, log.Fields{"engine": e.Name})
		close(w.lost)
	}()
	return w
}

// recordActivity records that something was received from the engine.
func (w *engineWatch) recordActivity(now timer.Instant) { w.lastActivity.Store(int64(now)) }

func (w *engineWatch) silence(now timer.Instant) time.Duration {
	return now.Sub(timer.Instant(w.lastActivity.Load()))
}

func (w *engineWatch) close() { close(w.quit) }

// probe reads the engine's load. Concurrent probes of one engine share a
// request.
func (r *Router) probe(e config.Engine) error {
	_, err, _ := r.probes.Do(e.Address, func() (any, error) {
		return r.clients.exchange(e, fasthttp.MethodGet, loadPath, nil, probeTimeout)
	})
	return err
}
