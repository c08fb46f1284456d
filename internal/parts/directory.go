package parts

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// Part is one part of a prompt. Prompts that contain a part with the same ID are
// identical up to the end of that part.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the input that a call sends to a model and the output that it
// asks for.
type Prompt struct {
	Model string
	// InputTokens is the length of the whole prompt, MaxOutputTokens the limit of
	// generated tokens.
	InputTokens     int
	MaxOutputTokens int
	// Parts are in prompt order; the last one belongs to this call or its session
	// alone.
	Parts []Part
}

// SharedParts returns the parts that other calls may have in common with this
// one.
func (p Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// partKey identifies a part under a salt.
type partKey struct{ salt, id string }

// Holder identifies a cache: that of one incarnation of an engine, or another
// store of cached parts.
type Holder struct {
	ID string
	// Born distinguishes the incarnations of an engine.
	Born int64
}

// cachedPart is a part in the cache of one holder.
type cachedPart struct {
	key      partKey
	tokens   int
	lastUsed time.Duration
	// readyAt is the estimated time at which the engine has computed the part.
	readyAt time.Duration
	// announcedAt is when Add last reported that peers should be told of it.
	announcedAt time.Duration
}

// cacheState is the believed content of the cache of one holder.
type cacheState struct {
	holder   Holder
	capacity int
	tokens   int
	// lru has the most recently used part first.
	lru   *list.List
	parts map[partKey]*list.Element
}

// Directory tracks which holders have which parts cached. It is safe for
// concurrent use. The capacities of the caches bound its memory.
type Directory struct {
	mu sync.Mutex // guards the fields below
	// caches maps the ID of a holder to the cache of its newest incarnation.
	caches map[string]*cacheState
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{caches: make(map[string]*cacheState)} }

// reannounceInterval is how often the use of a cached part is announced again:
// peers discard parts that go unused.
const reannounceInterval = time.Second

// Add records that a holder computes or uses a part, which it will have computed
// at readyAt. The capacity of its cache is in tokens; beyond it, the least
// recently used parts are evicted. Add reports whether to announce the part to
// peers.
func (d *Directory) Add(h Holder, capacity int, salt string, p Part, now, readyAt time.Duration) (announce bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.caches[h.ID]
	if c == nil || c.holder.Born != h.Born {
		c = &cacheState{holder: h, lru: list.New(), parts: make(map[partKey]*list.Element)}
		d.caches[h.ID] = c
	}
	c.capacity = capacity
	k := partKey{salt, p.ID}
	if e := c.parts[k]; e != nil {
		item := e.Value.(*cachedPart)
		item.lastUsed, item.readyAt = now, min(item.readyAt, readyAt)
		c.lru.MoveToFront(e)
		if announce = now-item.announcedAt >= reannounceInterval; announce {
			item.announcedAt = now
		}
		return announce
	}
	c.parts[k] = c.lru.PushFront(&cachedPart{key: k, tokens: p.Tokens, lastUsed: now, readyAt: readyAt, announcedAt: now})
	c.tokens += p.Tokens
	for c.tokens > c.capacity && c.lru.Len() > 1 {
		c.remove(c.lru.Back())
	}
	return true
}

func (c *cacheState) remove(e *list.Element) {
	item := e.Value.(*cachedPart)
	c.lru.Remove(e)
	delete(c.parts, item.key)
	c.tokens -= item.tokens
}

// MarkReady records that an engine has computed parts by now.
func (d *Directory) MarkReady(h Holder, salt string, parts []Part, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.caches[h.ID]
	if c == nil || c.holder.Born != h.Born {
		return
	}
	for _, p := range parts {
		if e := c.parts[partKey{salt, p.ID}]; e != nil {
			item := e.Value.(*cachedPart)
			item.readyAt = min(item.readyAt, now)
		}
	}
}

// RemovePart records that a holder no longer has a part cached.
func (d *Directory) RemovePart(id, salt, part string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.caches[id]; c != nil {
		if e := c.parts[partKey{salt, part}]; e != nil {
			c.remove(e)
		}
	}
}

// RemoveHolder discards everything known about a holder.
func (d *Directory) RemoveHolder(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.caches, id)
}

// NoAgeLimit is passed as the earliest use that a lookup counts, to include parts
// of any age.
const NoAgeLimit = time.Duration(math.MinInt64)

// HeldTokens returns how many tokens of the leading parts a holder is believed
// to have cached under a salt, counting only parts used at or after since.
func (d *Directory) HeldTokens(h Holder, salt string, parts []Part, since time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, _ := d.lookup(h, salt, parts, since, NoAgeLimit)
	return held
}

// lookup returns what HeldTokens does, and how many of these tokens are computed
// by now. The caller must hold d.mu.
func (d *Directory) lookup(h Holder, salt string, parts []Part, since, now time.Duration) (held, ready int) {
	c := d.caches[h.ID]
	if c == nil || c.holder.Born != h.Born {
		return 0, 0
	}
	pending := false
	for _, p := range parts {
		e := c.parts[partKey{salt, p.ID}]
		if e == nil || e.Value.(*cachedPart).lastUsed < since {
			break
		}
		held += p.Tokens
		if pending = pending || e.Value.(*cachedPart).readyAt > now; !pending {
			ready += p.Tokens
		}
	}
	return held, ready
}

// Len returns the number of parts known across all holders.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, c := range d.caches {
		n += len(c.parts)
	}
	return n
}
