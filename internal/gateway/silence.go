package gateway

import (
	"sync"
	"time"
)

// silenceRecheckPeriod is the interval at which a server is looked for that can take
// over from a silent one.
const silenceRecheckPeriod = 100 * time.Millisecond

// silenceTimer hands an attempt over once its server has sent nothing for some time.
type silenceTimer struct {
	attempt *runningAttempt
	// timeout is the permitted silence after a reset.
	timeout time.Duration

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	// expiresAt is when the permitted silence ends.
	expiresAt time.Time
	stopped   bool
}

// newSilenceTimer returns a timer that expires after first, and then after timeout from
// each reset. The caller must call stop.
func newSilenceTimer(r *runningAttempt, first, timeout time.Duration) *silenceTimer {
	s := &silenceTimer{attempt: r, timeout: timeout, expiresAt: time.Now().Add(first)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(first, s.run)
	return s
}

func (s *silenceTimer) run() {
	if s.expired() && s.attempt.handOver(errServerSilent, startReserve) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.timer.Reset(max(silenceRecheckPeriod, time.Until(s.expiresAt)))
	}
}

// expired reports whether the server has been silent for longer than permitted.
func (s *silenceTimer) expired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !time.Now().Before(s.expiresAt)
}

func (s *silenceTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiresAt = time.Now().Add(s.timeout)
	s.timer.Reset(s.timeout)
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
