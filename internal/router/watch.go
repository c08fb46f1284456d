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

// Timings of watching an engine that a request waits for.
const (
	// silentFor is how long an engine may say nothing before it is probed.
	silentFor   = time.Second
	probePeriod = 250 * time.Millisecond
	// probeTimeout bounds one probe; an engine counts as lost after
	// probesLost failed ones in a row.
	probeTimeout = 500 * time.Millisecond
	probesLost   = 2
)

// errLost means that an engine answers neither a request nor probes.
var errLost = errors.New("engine does not answer probes")

// watch probes an engine while a request waits for it, so that a frozen or
// unreachable engine is told from one that is slow. lost is closed when it is
// neither heard of nor answers.
type watch struct {
	heard atomic.Int64
	lost  chan struct{}
	quit  chan struct{}
}

// watch starts watching an engine; close ends it.
func (r *Router) watch(e config.Engine) *watch {
	w := &watch{lost: make(chan struct{}), quit: make(chan struct{})}
	w.hear(r.clock.Now())
	go func() {
		ticks := time.NewTicker(probePeriod)
		defer ticks.Stop()
		for failed := 0; failed < probesLost; {
			select {
			case <-w.quit:
				return
			case <-ticks.C:
			}
			if w.silence(r.clock.Now()) < silentFor || r.probe(e) == nil {
				failed = 0
				continue
			}
			failed++
		}
		event.EngineUnresponsive.Log(r.log, nil, log.Fields{"engine": e.Name})
		close(w.lost)
	}()
	return w
}

// hear notes a word from the engine.
func (w *watch) hear(now timer.Instant) { w.heard.Store(int64(now)) }

func (w *watch) silence(now timer.Instant) time.Duration {
	return now.Sub(timer.Instant(w.heard.Load()))
}

func (w *watch) close() { close(w.quit) }

// probe asks an engine for its load; requests that wait for the same engine
// share one probe.
func (r *Router) probe(e config.Engine) error {
	_, err, _ := r.probes.Do(e.Address, func() (any, error) {
		return r.clients.exchange(e, fasthttp.MethodGet, loadPath, nil, probeTimeout)
	})
	return err
}
