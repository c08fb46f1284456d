package timer

import (
	"sync"
	"time"
)

// Instant is a monotonic time since the start of its Clock. Instants of
// different processes must not be compared.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Clock provides the time and calls subscribers periodically and after pauses.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Every calls f once per period until the subscription is cancelled.
	// A call that takes longer than its period delays the next one.
	Every(period time.Duration, f func()) Subscription
	// OnGap calls f with the length of every pause longer than the clock's
	// threshold, before any later periodic call starts.
	OnGap(f func(gap time.Duration)) Subscription
}

// Subscription is a registration with a Clock.
type Subscription interface {
	// Cancel ends the registration: no further call begins. A call in progress is not
	// interrupted.
	Cancel()
	// Wait returns when no call is in progress. It must be called after Cancel, and not
	// from the call itself.
	Wait()
}

// PollInterval is the interval at which SystemClock checks for pauses while it
// has subscribers to gaps. Without them it sleeps until the next call is due.
const PollInterval = 40 * time.Millisecond

// maxSleep bounds the sleep of a SystemClock that has no subscribers.
const maxSleep = time.Second

// GapThreshold is the time between two ticks above which it counts as a pause.
const GapThreshold = 400 * time.Millisecond

// SystemClock is the Clock of a running process, based on the system's monotonic
// clock.
type SystemClock struct {
	start time.Time
	stop  chan struct{}
	once  sync.Once
	// changed receives a value when a call may be due earlier than expected.
	changed chan struct{}

	mu sync.Mutex // guards the fields below
	// lastTick is the instant of the newest tick and never decreases. It is zero
	// before the first tick, so that a pause before that is detected too.
	lastTick Instant
	subs     map[*subscription]struct{}
	gaps     map[*subscription]struct{}
}

type subscription struct {
	period time.Duration
	next   Instant
	busy   bool
	call   func()
	gap    func(time.Duration)
	cancel func(*subscription)
	// inProgress counts the periodic calls that a SystemClock has begun. It grows only
	// while the subscription is registered.
	inProgress sync.WaitGroup
}

func (s *subscription) Cancel() { s.cancel(s) }

func (s *subscription) Wait() { s.inProgress.Wait() }

// NewSystemClock returns a running clock. Close stops it.
func NewSystemClock() *SystemClock {
	s := &SystemClock{
		start:   time.Now(),
		stop:    make(chan struct{}),
		changed: make(chan struct{}, 1),
		subs:    make(map[*subscription]struct{}),
		gaps:    make(map[*subscription]struct{}),
	}
	go func() {
		due := time.NewTimer(maxSleep)
		defer due.Stop()
		for {
			due.Reset(s.untilDue())
			select {
			case <-s.stop:
				return
			case <-s.changed:
			case <-due.C:
				s.tick()
			}
		}
	}()
	return s
}

// untilDue returns the time until the next tick is needed.
func (s *SystemClock) untilDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sleep := maxSleep
	if len(s.gaps) > 0 {
		sleep = PollInterval
	}
	now := s.Now()
	for sub := range s.subs {
		// A call that takes longer than its period wakes the clock when it
		// returns.
		if !sub.busy || sub.next > now {
			sleep = min(sleep, sub.next.Sub(now))
		}
	}
	return max(sleep, 0)
}

// wake makes the clock recompute when the next tick is needed.
func (s *SystemClock) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Now returns the time since the clock was started.
func (s *SystemClock) Now() Instant { return Instant(time.Since(s.start)) }

// Close stops all periodic calls.
func (s *SystemClock) Close() { s.once.Do(func() { close(s.stop) }) }

// Every implements Clock.
func (s *SystemClock) Every(period time.Duration, f func()) Subscription {
	sub := &subscription{period: period, call: f, next: s.Now().Add(period), cancel: s.remove}
	s.mu.Lock()
	s.subs[sub] = struct{}{}
	s.mu.Unlock()
	s.wake()
	return sub
}

// OnGap implements Clock.
func (s *SystemClock) OnGap(f func(time.Duration)) Subscription {
	sub := &subscription{gap: f, cancel: s.remove}
	s.mu.Lock()
	if len(s.gaps) == 0 {
		// The clock did not poll while it had no subscribers to gaps, so the
		// time since the last tick is not a pause.
		s.lastTick = max(s.lastTick, s.Now())
	}
	s.gaps[sub] = struct{}{}
	s.mu.Unlock()
	s.wake()
	return sub
}

// CheckGap ticks now, so that a pause is detected before the next poll. Admission
// calls it so that a process that has just been continued detects the pause
// before it admits a request.
func (s *SystemClock) CheckGap() { s.tick() }

func (s *SystemClock) remove(sub *subscription) {
	s.mu.Lock()
	delete(s.subs, sub)
	delete(s.gaps, sub)
	s.mu.Unlock()
}

func (s *SystemClock) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if gap := now.Sub(s.lastTick); gap > GapThreshold {
		for g := range s.gaps {
			g.gap(gap)
		}
	}
	s.lastTick = max(s.lastTick, now)
	for sub := range s.subs {
		if sub.busy || now < sub.next {
			continue
		}
		sub.busy = true
		sub.next = now.Add(sub.period)
		sub.inProgress.Go(func() { s.run(sub) })
	}
}

func (s *SystemClock) run(sub *subscription) {
	sub.call()
	s.mu.Lock()
	sub.busy = false
	overdue := sub.next < s.Now()
	s.mu.Unlock()
	if overdue {
		s.wake()
	}
}
