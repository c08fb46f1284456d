package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/quarantine"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

const (
	// probeDelay is how long after a break an engine is asked whether it still runs. What
	// it sends by then was not on its way when it broke the call off.
	probeDelay = quarantine.AnswerDelay + 50*time.Millisecond
	// probeTimeout bounds the time of a probe.
	probeTimeout = 500 * time.Millisecond
	// maxProbes bounds the probes that are waiting or running.
	maxProbes = 64
)

// engineProbes asks engines that broke off calls whether they still run: without other calls,
// nothing else tells a crash from the loss of one response. It is safe for concurrent use.
type engineProbes struct {
	g *Gateway

	mu sync.Mutex // guards the field below
	// pending holds the engines whose probe is waiting or running.
	pending map[quarantine.Engine]struct{}
}

func newEngineProbes(g *Gateway) *engineProbes {
	return &engineProbes{g: g, pending: make(map[quarantine.Engine]struct{})}
}

// schedule probes an engine after probeDelay, unless that is about to happen.
func (p *engineProbes) schedule(s backend.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := incarnation(s)
	if _, ok := p.pending[id]; ok || len(p.pending) >= maxProbes {
		return
	}
	p.pending[id] = struct{}{}
	time.AfterFunc(probeDelay, func() {
		defer p.end(id)
		p.run(s)
	})
}

func (p *engineProbes) end(id quarantine.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

func (p *engineProbes) run(s backend.Server) {
	g, id := p.g, incarnation(s)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	_, err := g.adapter.Report(ctx, s)
	switch {
	case err == nil:
		if now := g.now(); g.quarantine.RecordAnswer(id, now) {
			g.quarantineUpdates.addAnswer(id, now)
		}
	case errors.Is(err, upstream.ErrUnsent):
		if !g.quarantine.RecordEnd(id) {
			return
		}
		event.EngineEnded.Log(g.log, err, log.Fields{"engine": id.ID, "born": id.Born})
		g.scheduleReview()
		g.announcer.enqueue(func(m *gossip.Message) {
			if len(m.Ended) < maxBreaksPerMessage {
				m.Ended = append(m.Ended, gossip.Server{ID: id.ID, Born: id.Born})
			}
		})
	}
}
