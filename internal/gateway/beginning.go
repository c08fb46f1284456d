package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
)

// errPartQuarantined is the cancellation cause of an attempt whose call must not begin.
var errPartQuarantined = errors.New("a part of the prompt is in quarantine")

// beginningCalls holds the attempts at engines that have not begun to generate. It is
// safe for concurrent use; the zero value is ready to use.
type beginningCalls struct {
	mu    sync.Mutex // guards the field below
	calls map[*beginningCall]struct{}
}

// beginningCall is an attempt that can be canceled while begun is not set.
type beginningCall struct {
	parts  []string
	cancel context.CancelCauseFunc
	begun  atomic.Bool
}

// add registers an attempt until the returned function is called.
func (b *beginningCalls) add(c *beginningCall) (remove func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.calls == nil {
		b.calls = make(map[*beginningCall]struct{})
	}
	b.calls[c] = struct{}{}
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.calls, c)
	}
}

// cancel cancels the attempts of calls with a part. Engines drop a call whose
// connection closes before they have begun it.
func (b *beginningCalls) cancel(part string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.calls {
		if !c.begun.Load() && slices.Contains(c.parts, part) {
			c.cancel(errPartQuarantined)
		}
	}
}

// watchBeginning makes an attempt of a call cancelable until the engine has begun to
// generate. The returned function must be called at the end of the attempt.
func (g *Gateway) watchBeginning(f *forwardedCall, cancel context.CancelCauseFunc) (end func()) {
	if f.engine == nil || len(f.sharedParts) == 0 {
		return func() {}
	}
	f.beginning = &beginningCall{parts: f.sharedParts, cancel: cancel}
	if f.trial {
		return func() {}
	}
	return g.beginningCalls.add(f.beginning)
}
