package backend

import "time"

// Part is a part of a prompt that calls share in the memory of an engine.
type Part struct {
	Key    string
	Tokens int
}

// heldPart is a part that calls of this VM hold.
type heldPart struct {
	tokens int
	calls  int
}

// Hold counts the tokens that a call holds in the memory of a server: its own ones, and
// shared parts, each of which is counted once for all calls of this VM. The returned
// function must be called at the end of the call. It refers to the incarnation that
// Hold found.
func (t *Table) Hold(id string, own int, shared []Part) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[id]
	if r == nil {
		return func() {}
	}
	r.heldTokens += own
	for _, p := range shared {
		h := r.heldParts[p.Key]
		if h == nil {
			h = &heldPart{tokens: p.Tokens}
			if r.heldParts == nil {
				r.heldParts = make(map[string]*heldPart)
			}
			r.heldParts[p.Key] = h
		}
		h.calls++
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		r.heldTokens -= own
		for _, p := range shared {
			h := r.heldParts[p.Key]
			if h.calls--; h.calls == 0 {
				delete(r.heldParts, p.Key)
			}
		}
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

func (r *record) heldPartTokens() int {
	n := 0
	for _, h := range r.heldParts {
		n += h.tokens
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
	}
}

// TokensPerMilli returns the number of prompt tokens that an engine of a service
// processes in a millisecond.
func (t *Table) TokensPerMilli(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.prefill[service].tokens()
}
