package prefix

import "sync"

// The size of a Sketch: rows of counters, fixed memory.
const (
	sketchRows    = 4
	sketchColumns = 1 << 13
	// sketchHalve is the number of additions after which all counts halve.
	sketchHalve = 1 << 16
	// sharedCount is the count from which a level is taken as shared.
	sharedCount = 3
)

// Sketch estimates how often each level of the nest was seen lately. Its
// memory is fixed: 4 rows of 8,192 counters.
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
	if s.added >= sketchHalve {
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

// Depth returns the number of blocks to place a prompt by: up to the deepest
// block that was seen often, and without any such sight the part before the
// last message, so that a sketch with no history agrees with its peers.
func (s *Sketch) Depth(p Prompt) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := len(p.chain); n > 0; n-- {
		if s.count(p.chain[n-1]) >= sharedCount {
			return max(n, p.shared())
		}
	}
	return p.shared()
}

func (s *Sketch) count(h Hash) uint16 {
	least := uint16(1<<16 - 1)
	for row := range s.counts {
		least = min(least, s.counts[row][column(h, row)])
	}
	return least
}

func column(h Hash, row int) int {
	return int(uint64(h)>>(13*row)) & (sketchColumns - 1)
}
