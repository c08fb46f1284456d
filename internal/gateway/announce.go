package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
)

// announcer tells this VM and the others of orders. What comes within gather
// goes in one message.
type announcer struct {
	g *Gateway

	mu      sync.Mutex // guards the field below
	waiting *gossip.Message
}

// gather is how long an announcement waits for others; it is well below the
// time that passes between an announcement and its order.
const gather = 15 * time.Millisecond

// Reloading implements weights.Announcer.
func (a *announcer) Reloading(s backend.Server, model string, version int64) {
	a.g.reloads(s.ID, s.Born, model, version)
	a.tell(func(m *gossip.Message) {
		m.Reloading = append(m.Reloading, gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
	})
}

// Reloaded implements weights.Announcer.
func (a *announcer) Reloaded(s backend.Server, model string, version int64) {
	a.g.table.RaiseVersion(s.ID, s.Born, model, version)
	event.EngineReloaded.Log(a.g.log, nil, log.Fields{"engine": s.ID, "model": model, "version": version})
	a.tell(func(m *gossip.Message) {
		m.Versions = append(m.Versions, gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
	})
}

// ReloadCanceled implements weights.Announcer.
func (a *announcer) ReloadCanceled(s backend.Server, model string, version int64) {
	a.g.table.CancelReload(s.ID, s.Born, model, version)
	a.tell(func(m *gossip.Message) {
		m.CanceledReloads = append(m.CanceledReloads, gossip.Version{Engine: s.ID, Born: s.Born, Model: model, Version: version})
	})
}

func (a *announcer) tell(add func(*gossip.Message)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = &gossip.Message{}
		time.AfterFunc(gather, a.send)
	}
	add(a.waiting)
}

func (a *announcer) send() {
	a.mu.Lock()
	m := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	a.g.broadcast(m)
}
