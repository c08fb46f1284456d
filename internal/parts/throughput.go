package parts

import (
	"math"
	"sync"
	"time"
)

// averagingTimeConstant is the time constant of the exponentially decaying average
// of a ThroughputMeter.
const averagingTimeConstant = 2 * time.Second

// ThroughputMeter measures a rate in tokens per second. It is safe for concurrent
// use; the zero value is ready to use.
type ThroughputMeter struct {
	mu            sync.Mutex // guards the fields below
	decayedTokens float64
	updatedAt     time.Duration
}

// Add counts tokens at time now.
func (m *ThroughputMeter) Add(tokens int, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	m.decayedTokens += float64(tokens)
}

// Rate returns the recent average in tokens per second.
func (m *ThroughputMeter) Rate(now time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(now)
	return m.decayedTokens / averagingTimeConstant.Seconds()
}

func (m *ThroughputMeter) decay(now time.Duration) {
	if now > m.updatedAt {
		m.decayedTokens *= math.Exp(-float64(now-m.updatedAt) / float64(averagingTimeConstant))
		m.updatedAt = now
	}
}
