package backend

import (
	"container/list"
	"math"
	"time"
)

// Part is a part of a prompt that calls share in the memory of an engine.
type Part struct {
	Key    string
	Tokens int
}

const (
	// heldMeanTime is the time constant of heldPart.mean.
	heldMeanTime = 2 * time.Second
	// firstMean is the number of calls of all VMs that are assumed to hold a part that is
	// new to this VM. In a simulated burst the estimate of an engine's memory was 25 %
	// too high with 0, 8 % with 1, and 2 % too low with 2.
	firstMean = 2.0
	// Parts that no call holds are forgotten after idleTime if there are more than
	// idlePartsPerServer on average, and at once beyond maxIdleParts in all.
	idleTime           = 4 * heldMeanTime
	idlePartsPerServer = 64
	maxIdleParts       = 16 << 10
)

// heldPart is a part that calls of this VM hold or held recently.
type heldPart struct {
	server *record
	key    string
	tokens int
	calls  int
	// mean is the recent mean of calls, as of updatedAt.
	mean      float64
	updatedAt time.Duration
	// counted is what the part adds to heldHere of the server.
	counted int
	// idle is the part's element of Table.idleParts; nil while calls hold it.
	idle *list.Element
}

// add changes the number of calls that hold the part.
func (h *heldPart) add(calls int, now time.Duration) {
	h.mean += (float64(h.calls) - h.mean) * (1 - math.Exp(-float64(now-h.updatedAt)/float64(heldMeanTime)))
	h.updatedAt = now
	h.calls += calls
}

// share returns this VM's share of the part while its calls hold it. The shares of VMs
// that hold a part at random times, with the same mean, add up to one part on average
// while any VM holds it: the share is 1 for a part that is rarely used and falls to one by
// the number of VMs for one that all use all the time.
func (h *heldPart) share(vms int) float64 {
	switch {
	case h.calls == 0:
		return 0
	case h.mean <= 0:
		return 1
	}
	return math.Expm1(-float64(vms)*h.mean) / (float64(vms) * math.Expm1(-h.mean))
}

// SetVMs sets the number of VMs that send calls to the servers.
func (t *Table) SetVMs(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n = max(1, n); n == t.vms {
		return
	}
	t.vms = n
	for _, r := range t.servers {
		for _, h := range r.heldParts {
			h.count(n)
		}
	}
}

// count updates what the part adds to the tokens that are held on its server.
func (h *heldPart) count(vms int) {
	counted := int(float64(h.tokens) * h.share(vms))
	h.server.heldHere += counted - h.counted
	h.counted = counted
}

// holdPart counts a call that holds a part of a server.
func (t *Table) holdPart(r *record, p Part, now time.Duration) *heldPart {
	h := r.heldParts[p.Key]
	if h == nil {
		h = &heldPart{server: r, key: p.Key, tokens: p.Tokens, updatedAt: now, mean: firstMean / float64(t.vms)}
		r.heldParts[p.Key] = h
	}
	if h.idle != nil {
		t.idleParts.Remove(h.idle)
		h.idle = nil
	}
	h.add(1, now)
	h.count(t.vms)
	return h
}

// releasePart counts the end of such a call.
func (t *Table) releasePart(h *heldPart, now time.Duration) {
	h.add(-1, now)
	h.count(t.vms)
	if h.calls == 0 {
		h.idle = t.idleParts.PushBack(h)
	}
}

// forgetIdleParts forgets parts that no call holds, in the order of their release.
func (t *Table) forgetIdleParts(now time.Duration) {
	for t.idleParts.Len() > min(idlePartsPerServer*len(t.servers), maxIdleParts) {
		e := t.idleParts.Front()
		h := e.Value.(*heldPart)
		if t.idleParts.Len() <= maxIdleParts && now-h.updatedAt <= idleTime {
			return
		}
		t.idleParts.Remove(e)
		delete(h.server.heldParts, h.key)
	}
}

// Hold counts the tokens that a call holds in the memory of a server: its own ones, and
// shared parts, each of which is counted once for all calls of this VM, and by this VM's
// share if other VMs seem to use it, too. The returned function must be called at the end
// of the call. It refers to the incarnation that Hold found.
func (t *Table) Hold(id string, own int, shared []Part, now time.Duration) (release func(now time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return func(time.Duration) {}
	}
	r.heldHere += own
	if r.heldParts == nil {
		r.heldParts = make(map[string]*heldPart)
	}
	held := make([]*heldPart, len(shared))
	for i, p := range shared {
		held[i] = t.holdPart(r, p, now)
	}
	t.forgetIdleParts(now)
	return func(now time.Duration) {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.heldHere -= own
		for _, h := range held {
			t.releasePart(h, now)
		}
		t.forgetIdleParts(now)
	}
}

// Slots returns the sum of the slots of the servers of a service.
func (t *Table) Slots(service string, now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.servers {
		if r.server.Service == service && !r.gone(now) {
			n += r.server.Slots
		}
	}
	return n
}

// RecordRefusal records that a server refused a call of this VM without running it. It
// excludes the server on this VM for a time that doubles with each consecutive refusal,
// up to maxRefusalBackoff, and returns the number of refusals and the time. It returns
// zeros for a call that was sent before the last refusal arrived, which does not count.
func (t *Table) RecordRefusal(id string, now time.Duration) (refusals int, backoff time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return 0, 0
	}
	if r.refusals > 0 && !r.probing {
		return 0, 0
	}
	r.refusals++
	backoff = min(minRefusalBackoff<<min(r.refusals-1, 8), maxRefusalBackoff)
	r.refusedAt, r.refusedUntil, r.probing = now, now+backoff, false
	return r.refusals, backoff
}

// BeginProbe is called before a call is sent to a server. If the server refused the last
// one, others wait for the outcome for refusalProbeTime.
func (t *Table) BeginProbe(id string, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && r.refusals > 0 {
		r.refusedUntil, r.probing = max(r.refusedUntil, now+refusalProbeTime), true
	}
}

// RecordAccepted records that a server runs a call of this VM that was sent at a time. An
// engine that refuses new calls still answers those that it had begun.
func (t *Table) RecordAccepted(id string, sentAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.servers[id]; r != nil && sentAt >= r.refusedAt {
		r.refusals, r.refusedUntil, r.probing = 0, 0, false
		r.acceptedAt = max(r.acceptedAt, sentAt)
	}
}

// TokensPerMilli returns the number of prompt tokens that an engine of a service
// processes in a millisecond.
func (t *Table) TokensPerMilli(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefill[service].tokens()
}
