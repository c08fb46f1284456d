package gateway

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// Causes for which an attempt is canceled so that another server continues the call.
var (
	// errServerSilent means that the server sends nothing.
	errServerSilent = errors.New("server sent nothing in time")
	// errStreamMoved means that the engine is about to load weights.
	errStreamMoved = errors.New("engine is about to load weights")
)

// isHandover reports whether an attempt was canceled by runningAttempt.handOver.
func isHandover(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, errServerSilent) || errors.Is(cause, errStreamMoved)
}

// runningAttempt is an attempt that can be canceled in favor of another server. It is
// safe for concurrent use.
type runningAttempt struct {
	gateway *Gateway
	// call is a copy of the call's state that excludes the server of the attempt.
	call   *forwardedCall
	cancel context.CancelCauseFunc

	mu    sync.Mutex // guards the field below
	ended bool
}

func (g *Gateway) newRunningAttempt(f *forwardedCall, c serverChoice, cancel context.CancelCauseFunc) *runningAttempt {
	call := *f
	call.excluded = maps.Clone(f.excluded)
	call.excluded[c.server.ID] = true
	return &runningAttempt{gateway: g, call: &call, cancel: cancel}
}

// handOver cancels the attempt for the given cause and takes the next one from the
// retry budget. It does nothing if no sound server can take the call, or if less than
// the share reserve of the budget would be left. It reports whether the attempt has
// ended.
func (r *runningAttempt) handOver(cause error, reserve float64) bool {
	g := r.gateway
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return true
	}
	if next, ok := g.chooseServer(r.call, r.call.service); !ok || next.LastResort || !g.retries.Take(r.call.service, g.now(), reserve) {
		return false
	}
	r.ended = true
	r.cancel(cause)
	return true
}

// end makes handOver have no effect any more.
func (r *runningAttempt) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// silenceRecheckPeriod is the interval at which a server is looked for that can take
// over from a silent one.
const silenceRecheckPeriod = 100 * time.Millisecond

// silenceTimer hands an attempt over once its server has sent nothing for some time. A
// nil silenceTimer does nothing.
type silenceTimer struct {
	attempt *runningAttempt
	// timeout is the permitted silence after a reset.
	timeout time.Duration

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	// expiresAt is when the permitted silence ends.
	expiresAt time.Time
}

// newSilenceTimer returns a timer that expires after first, and then after timeout from
// each reset. The caller must call stop.
func newSilenceTimer(r *runningAttempt, first, timeout time.Duration) *silenceTimer {
	s := &silenceTimer{attempt: r, timeout: timeout, expiresAt: time.Now().Add(first)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(first, s.expire)
	return s
}

func (s *silenceTimer) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := time.Until(s.expiresAt); left > 0 {
		s.timer.Reset(left)
	} else if !s.attempt.handOver(errServerSilent, startReserve) {
		s.timer.Reset(silenceRecheckPeriod)
	}
}

func (s *silenceTimer) reset() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiresAt = time.Now().Add(s.timeout)
	s.timer.Reset(s.timeout)
}

func (s *silenceTimer) stop() {
	if s == nil {
		return
	}
	s.attempt.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer.Stop()
}
