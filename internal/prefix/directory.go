package prefix

import "sync"

// MaxBlocksPerEngine bounds the blocks that a Directory tracks for each engine.
const MaxBlocksPerEngine = 1 << 10

// Directory tracks which blocks engines are believed to have cached. Entries
// belong to one incarnation of an engine and are discarded with it. Directory is
// safe for concurrent use; its memory is bounded by MaxBlocksPerEngine for each
// engine.
type Directory struct {
	mu sync.Mutex // guards the fields below
	// engines maps each engine to the blocks of its newest incarnation.
	engines map[string]*engineBlocks
}

// engineBlocks is the set of blocks known for one incarnation. Two generations
// approximate eviction in LRU order: when recent is full, it replaces older.
type engineBlocks struct {
	incarnation   string
	recent, older map[Hash]struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{engines: make(map[string]*engineBlocks)} }

// Add records that an engine has the blocks of a prompt cached.
func (d *Directory) Add(p Prompt, engine, incarnation string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.engines[engine]
	if b == nil || b.incarnation != incarnation {
		b = &engineBlocks{incarnation: incarnation, recent: make(map[Hash]struct{})}
		d.engines[engine] = b
	}
	for _, h := range p.chain {
		b.add(h)
	}
}

func (b *engineBlocks) add(h Hash) {
	if len(b.recent) >= MaxBlocksPerEngine/2 {
		b.older = b.recent
		b.recent = make(map[Hash]struct{}, MaxBlocksPerEngine/2)
	}
	b.recent[h] = struct{}{}
}

func (b *engineBlocks) contains(h Hash) bool {
	if _, ok := b.recent[h]; ok {
		return true
	}
	_, ok := b.older[h]
	return ok
}

// Match returns how many leading blocks of a prompt an incarnation has cached.
func (d *Directory) Match(p Prompt, engine, incarnation string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.engines[engine]
	if b == nil || b.incarnation != incarnation {
		return 0
	}
	for n, h := range p.chain {
		if !b.contains(h) {
			return n
		}
	}
	return len(p.chain)
}

// DropOlder discards the less recently seen half of the blocks of an engine that
// turned out to evict blocks earlier than the directory does.
func (d *Directory) DropOlder(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b := d.engines[engine]; b != nil {
		b.older = nil
	}
}

// RemoveEngine discards everything known about an engine.
func (d *Directory) RemoveEngine(engine string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.engines, engine)
}

// Len returns the number of blocks known across all engines.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, b := range d.engines {
		n += len(b.recent) + len(b.older)
	}
	return n
}
