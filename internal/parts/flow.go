package parts

import (
	"math"
	"sync"
	"time"
)

// flowWindow is the time constant over which a Flow is averaged.
const flowWindow = 2 * time.Second

// ThroughputMeter measures tokens a second. It is safe for concurrent use; the zero value
// is ready.
type ThroughputMeter struct {
	mu    sync.Mutex // guards the fields below
	level float64
	at    time.Duration
}

// Add counts tokens.
func (f *ThroughputMeter) Add(tokens int, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	f.level += float64(tokens)
}

// Rate returns the tokens a second of late.
func (f *ThroughputMeter) Rate(now time.Duration) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	return f.level / flowWindow.Seconds()
}

func (f *ThroughputMeter) decay(now time.Duration) {
	if now > f.at {
		f.level *= math.Exp(-float64(now-f.at) / float64(flowWindow))
		f.at = now
	}
}
