package event

import (
	"sync"
	"time"
)

// samplePeriod is the time between two log lines for the same key.
const samplePeriod = 10 * time.Second

// Sampler bounds the number of log lines about what may happen very often. The zero value
// is ready to use. It is safe for concurrent use.
type Sampler struct {
	mu sync.Mutex // guards the field below
	// byKey never shrinks: keys must be few.
	byKey map[string]*sample
}

type sample struct {
	loggedAt time.Time
	// times counts what has happened since loggedAt.
	times int
}

// Count counts one occurrence. It returns the number of occurrences to log, or 0 if a line
// was logged a short time ago.
func (s *Sampler) Count(key string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.byKey[key]
	if x == nil {
		if s.byKey == nil {
			s.byKey = make(map[string]*sample)
		}
		x = &sample{}
		s.byKey[key] = x
	}
	x.times++
	if now.Sub(x.loggedAt) < samplePeriod {
		return 0
	}
	n := x.times
	x.loggedAt, x.times = now, 0
	return n
}
