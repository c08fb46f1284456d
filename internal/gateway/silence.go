package gateway

import (
	"sync"
	"time"
)

const (
	// silenceRecheckPeriod is the interval at which a server is looked for that can take
	// over from a silent one.
	silenceRecheckPeriod = 100 * time.Millisecond
	// maxTimerDelay is how late a timer of a process runs that gets its processor time.
	maxTimerDelay = 50 * time.Millisecond
)

// silenceTimer hands an attempt over once its server has sent nothing for some time.
type silenceTimer struct {
	attempt *runningAttempt
	// timeout is the permitted silence after a reset.
	timeout time.Duration

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	// expiresAt is when the permitted silence ends, and dueAt when timer runs.
	expiresAt, dueAt time.Time
	stopped          bool
}

// newSilenceTimer returns a timer that expires after first, and then after timeout from
// each reset. The caller must call stop.
func newSilenceTimer(r *runningAttempt, first, timeout time.Duration) *silenceTimer {
	due := time.Now().Add(first)
	s := &silenceTimer{attempt: r, timeout: timeout, expiresAt: due, dueAt: due}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(first, s.run)
	return s
}

// run hands the attempt over if the server is silent. If the process itself was held up,
// it may have yet to read what the server sent.
func (s *silenceTimer) run() {
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.dueAt) > maxTimerDelay {
		s.expiresAt = now.Add(silenceRecheckPeriod)
	}
	s.mu.Unlock()
	if s.expired() && s.attempt.handOver(errServerSilent) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.schedule(max(silenceRecheckPeriod, time.Until(s.expiresAt)))
	}
}

// schedule lets the timer run after d. The caller must hold mu.
func (s *silenceTimer) schedule(d time.Duration) {
	s.dueAt = time.Now().Add(d)
	s.timer.Reset(d)
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
	s.schedule(s.timeout)
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}
