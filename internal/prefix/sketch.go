package prefix

import "sync"

const (
	// sketchRows and sketchColumns are the dimensions of a Sketch.
	sketchRows    = 4
	sketchColumns = 1 << 13
	// sketchHalvingPeriod is the number of additions after which all counters are
	// halved.
	sketchHalvingPeriod = 1 << 16
	// minSharedCount is the estimated count from which a prefix counts as shared.
	minSharedCount = 3
)

// Sketch is a count-min sketch that estimates how often each prefix of the
// prompts was seen recently. Its memory is fixed: 4 rows of 8,192 counters.
type Sketch struct {
	mu     sync.Mutex // guards the fields below
	counts [sketchRows][sketchColumns]uint16
	added  int
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch { return &Sketch{} }

// Add counts every block of a prompt once.
func (s *Sketch) Add(p Prompt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range p.chain {
		for row := range s.counts {
			c := &s.counts[row][column(h, row)]
			if *c < 1<<16-1 {
				*c++
			}
		}
	}
	s.added += len(p.chain)
	if s.added >= sketchHalvingPeriod {
		s.halve()
	}
}

func (s *Sketch) halve() {
	s.added = 0
	for row := range s.counts {
		for i := range s.counts[row] {
			s.counts[row][i] /= 2
		}
	}
}

// Depth returns the number of leading blocks by which to place a prompt: those
// up to the deepest block that was seen often, and at least those before the
// last message. A sketch without history uses only the latter, so that a
// restarted router agrees with its peers.
func (s *Sketch) Depth(p Prompt) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(p.chain); n > 0; n-- {
		if s.estimate(p.chain[n-1]) >= minSharedCount {
			return max(n, p.sharedBlocks())
		}
	}
	return p.sharedBlocks()
}

func (s *Sketch) estimate(h Hash) uint16 {
	least := uint16(1<<16 - 1)
	for row := range s.counts {
		least = min(least, s.counts[row][column(h, row)])
	}
	return least
}

func column(h Hash, row int) int {
	return int(uint64(h)>>(13*row)) & (sketchColumns - 1)
}
