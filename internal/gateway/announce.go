package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
)

// announcer announces reloads of engines to this VM and the others. Announcements
// within batchDelay share a message.
type announcer struct {
	g *Gateway

	mu      sync.Mutex // guards the field below
	pending *gossip.Message
}

// batchDelay is how long an announcement waits for others. It is well below the
// time between an announcement and its order.
const batchDelay = 15 * time.Millisecond

// Reloading implements weights.Announcer.
func (a *announcer) Reloading(s backend.Server, model string, version int64) {
	a.g.beginReload(s.ID, s.Born, model, version)
	a.enqueue(func(m *gossip.Message) {
		m.Reloading = append(m.Reloading, gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
	})
}

// Reloaded implements weights.Announcer.
func (a *announcer) Reloaded(s backend.Server, model string, version int64) {
	a.g.table.RaiseVersion(s.ID, s.Born, model, version)
	event.EngineReloaded.Log(a.g.log, nil, log.Fields{"engine": s.ID, "model": model, "version": version})
	a.enqueue(func(m *gossip.Message) {
		m.Versions = append(m.Versions, gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
	})
}

// ReloadCanceled implements weights.Announcer.
func (a *announcer) ReloadCanceled(s backend.Server, model string, version int64) {
	a.g.table.CancelReload(s.ID, s.Born, model, version)
	a.enqueue(func(m *gossip.Message) {
		m.CanceledReloads = append(m.CanceledReloads, gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
	})
}

func (a *announcer) enqueue(add func(*gossip.Message)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = &gossip.Message{}
		time.AfterFunc(batchDelay, a.send)
	}
	add(a.pending)
}

func (a *announcer) send() {
	a.mu.Lock()
	m := a.pending
	a.pending = nil
	a.mu.Unlock()
	a.g.broadcastDelta(m)
}
