package timer

import "time"

// ManualClock is a Clock that the caller advances, for tests. The zero value is
// ready to use. It is not safe for concurrent use.
type ManualClock struct {
	now  Instant
	subs []*subscription
	gaps []*subscription
}

// Now implements Clock.
func (m *ManualClock) Now() Instant { return m.now }

// Every implements Clock.
func (m *ManualClock) Every(period time.Duration, f func()) Subscription {
	sub := &subscription{period: period, call: f, next: m.now.Add(period), cancel: m.remove}
	m.subs = append(m.subs, sub)
	return sub
}

// OnGap implements Clock.
func (m *ManualClock) OnGap(f func(time.Duration)) Subscription {
	sub := &subscription{gap: f, cancel: m.remove}
	m.gaps = append(m.gaps, sub)
	return sub
}

// Advance moves time forward by d and makes the calls that become due, in order
// of their due times.
func (m *ManualClock) Advance(d time.Duration) {
	end := m.now.Add(d)
	for {
		sub := m.due(end)
		if sub == nil {
			break
		}
		m.now = max(m.now, sub.next)
		sub.next = sub.next.Add(sub.period)
		sub.call()
	}
	m.now = end
}

// Pause moves time forward by d without periodic calls, as if the process had
// been stopped, and then reports the gap.
func (m *ManualClock) Pause(d time.Duration) {
	m.now = m.now.Add(d)
	for _, g := range m.gaps {
		g.gap(d)
	}
}

func (m *ManualClock) due(end Instant) *subscription {
	var first *subscription
	for _, sub := range m.subs {
		if sub.next <= end && (first == nil || sub.next < first.next) {
			first = sub
		}
	}
	return first
}

func (m *ManualClock) remove(sub *subscription) {
	m.subs = without(m.subs, sub)
	m.gaps = without(m.gaps, sub)
}

func without(subs []*subscription, drop *subscription) []*subscription {
	kept := subs[:0:0]
	for _, sub := range subs {
		if sub != drop {
			kept = append(kept, sub)
		}
	}
	return kept
}
