package timer

import (
	"sync"
	"time"
)

// Instant is a monotonic time, counted from the start of its Service.
// Instants of different processes must not be compared.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Clock tells the time and calls subscribers as it passes.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Every calls f once per period until the subscription is cancelled.
	// A call that outlasts its period delays the next one.
	Every(period time.Duration, f func()) Subscription
	// OnGap calls f with the length of every pause longer than the
	// service's threshold, before any later periodic call starts.
	OnGap(f func(gap time.Duration)) Subscription
}

// Subscription is a running registration with a Service.
type Subscription interface {
	// Cancel ends the registration. A call in progress is not interrupted.
	Cancel()
}

// PollInterval is how often the system service looks at the clock while somebody
// wants to hear of pauses; else it sleeps until the next call is due.
const PollInterval = 40 * time.Millisecond

// longestSleep bounds the sleep of a service without subscribers.
const longestSleep = time.Second

// GapThreshold is the shortest time between two ticks that counts as a pause.
const GapThreshold = 400 * time.Millisecond

// SystemClock is the Service of a running process.
type SystemClock struct {
	start time.Time
	stop  chan struct{}
	once  sync.Once
	// changed is sent to when a call may be due sooner than was known.
	changed chan struct{}

	mu sync.Mutex // guards the fields below
	// last is the instant of the newest tick; it never decreases. It is zero,
	// the start, before the first one, so that an early pause counts too.
	last Instant
	subs map[*subscription]struct{}
	gaps map[*subscription]struct{}
}

type subscription struct {
	period time.Duration
	next   Instant
	busy   bool
	call   func()
	gap    func(time.Duration)
	cancel func(*subscription)
}

func (s *subscription) Cancel() { s.cancel(s) }

// NewSystemClock returns a running service. Close ends it.
func NewSystemClock() *SystemClock {
	s := &SystemClock{
		start:   time.Now(),
		stop:    make(chan struct{}),
		changed: make(chan struct{}, 1),
		subs:    make(map[*subscription]struct{}),
		gaps:    make(map[*subscription]struct{}),
	}
	go func() {
		due := time.NewTimer(longestSleep)
		defer due.Stop()
		for {
			due.Reset(s.sleep())
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

// sleep returns how long there is nothing to do.
func (s *SystemClock) sleep() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sleep := longestSleep
	if len(s.gaps) > 0 {
		sleep = PollInterval
	}
	now := s.Now()
	for sub := range s.subs {
		// The end of a call that outlasts its period wakes the service.
		if !sub.busy || sub.next > now {
			sleep = min(sleep, sub.next.Sub(now))
		}
	}
	return max(sleep, 0)
}

// wake makes the service look again at what is due.
func (s *SystemClock) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Now returns the time since the service was started.
func (s *SystemClock) Now() Instant { return Instant(time.Since(s.start)) }

// Close stops all periodic calls.
func (s *SystemClock) Close() { s.once.Do(func() { close(s.stop) }) }

// Every implements Service.
func (s *SystemClock) Every(period time.Duration, f func()) Subscription {
	sub := &subscription{period: period, call: f, next: s.Now().Add(period), cancel: s.remove}
	s.mu.Lock()
	s.subs[sub] = struct{}{}
	s.mu.Unlock()
	s.wake()
	return sub
}

// OnGap implements Service.
func (s *SystemClock) OnGap(f func(time.Duration)) Subscription {
	sub := &subscription{gap: f, cancel: s.remove}
	s.mu.Lock()
	if len(s.gaps) == 0 {
		// Nobody wanted to hear of pauses until now.
		s.last = max(s.last, s.Now())
	}
	s.gaps[sub] = struct{}{}
	s.mu.Unlock()
	s.wake()
	return sub
}

// Check looks for a pause now instead of at the next tick. Admission calls it
// so that a process that has just been continued notices before it acts.
func (s *SystemClock) Check() { s.tick() }

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
	if gap := now.Sub(s.last); gap > GapThreshold {
		for g := range s.gaps {
			g.gap(gap)
		}
	}
	s.last = max(s.last, now)
	for sub := range s.subs {
		if sub.busy || now < sub.next {
			continue
		}
		sub.busy = true
		sub.next = now.Add(sub.period)
		go s.run(sub)
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
