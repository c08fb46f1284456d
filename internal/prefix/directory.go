package prefix

import "sync"

// MaxBlocksPerEngine bounds the blocks that a Directory remembers per engine.
const MaxBlocksPerEngine = 1 << 10

// Directory remembers which blocks engines were seen to hold. Entries belong
// to one incarnation of an engine and go with it. It is safe for concurrent
// use; its memory is bounded by DirectoryLimit for each engine.
type Directory struct {
	mu sync.Mutex // guards the fields below
	// engines holds one shelf for each engine, of its newest incarnation.
	engines map[string]*shelf
}

// shelf is the known blocks of one incarnation. Two generations of blocks
// stand in for an order of use: when young is full it becomes old.
type shelf struct {
	incarnation string
	young, old  map[Hash]struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{engines: make(map[string]*shelf)} }

// Add records the blocks of a prompt on an engine.
func (d *Directory) Add(p Prompt, engine, incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.engines[engine]
	if s == nil || s.incarnation != incarnation {
		s = &shelf{incarnation: incarnation, young: make(map[Hash]struct{})}
		d.engines[engine] = s
	}
	for _, h := range p.chain {
		s.add(h)
	}
}

func (s *shelf) add(h Hash) {
	if len(s.young) >= MaxBlocksPerEngine/2 {
		s.old = s.young
		s.young = make(map[Hash]struct{}, MaxBlocksPerEngine/2)
	}
	s.young[h] = struct{}{}
}

func (s *shelf) has(h Hash) bool {
	if _, ok := s.young[h]; ok {
		return true
	}
	_, ok := s.old[h]
	return ok
}

// Match returns how many opening blocks of a prompt an incarnation holds.
func (d *Directory) Match(p Prompt, engine, incarnation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.engines[engine]
	if s == nil || s.incarnation != incarnation {
		return 0
	}
	for n, h := range p.chain {
		if !s.has(h) {
			return n
		}
	}
	return len(p.chain)
}

// DropOlder drops the less recently seen half of what is known of an engine,
// which was found to evict faster than remembered.
func (d *Directory) DropOlder(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.engines[engine]; s != nil {
		s.old = nil
	}
}

// RemoveEngine drops everything known of an engine.
func (d *Directory) RemoveEngine(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.engines, engine)
}

// Len returns the number of blocks known of all engines.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.engines {
		n += len(s.young) + len(s.old)
	}
	return n
}
