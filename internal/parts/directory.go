package parts

import (
	"container/list"
	"math"
	"slices"
	"strings"
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
	// Parts are in prompt order. The last one is specific to this call or its session.
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

// blockTokens is the resolution at which caches are tracked. Engines cache prompts in
// blocks of about this size.
const blockTokens = 16

// Blocks joins adjacent parts such that no two end in the same block of blockTokens, and
// omits the last ones if they end in no new block. The result is as precise as that, and
// its length depends on the tokens of the prompt, not on the number of parts. Prompts with
// a common prefix have leading blocks in common.
func Blocks(parts []Part) []Part {
	if !slices.ContainsFunc(parts, func(p Part) bool { return p.Tokens < blockTokens }) {
		return parts
	}
	var out []Part
	var begin, end int
	for _, p := range parts {
		end += p.Tokens
		if end/blockTokens > begin/blockTokens {
			out = append(out, Part{ID: p.ID, Tokens: end - begin})
			begin = end
		}
	}
	return out
}

// SharedBlocks returns the Blocks of the shared parts.
func (p Prompt) SharedBlocks() []Part { return Blocks(p.SharedParts()) }

// partKey identifies a part under a salt.
type partKey struct{ salt, id string }

// Holder identifies a cache: that of one incarnation of an engine, or a KV cache
// store.
type Holder struct {
	ID string
	// Born distinguishes the incarnations of an engine; it is zero for a KV cache store.
	Born int64
}

// cachedPart is a part in the cache of one holder.
type cachedPart struct {
	key      partKey
	tokens   int
	lastUsed time.Duration
	// readyAt is the expected time at which the part is cached.
	readyAt time.Duration
	// announcedAt is when Add last returned true for the part.
	announcedAt time.Duration
}

// cacheState is the expected content of the cache of one holder.
type cacheState struct {
	holder         Holder
	capacityTokens int
	tokens         int
	// bytes estimates the memory that the state takes.
	bytes int
	// lru lists the parts, most recently used first.
	lru   *list.List
	parts map[partKey]*list.Element
}

const (
	// partBytes and holderBytes estimate the memory of a part and of a holder without
	// their IDs.
	partBytes   = 288
	holderBytes = 512
	// evictedFraction is the fraction of a holder's parts that make room at a time.
	evictedFraction = 8
)

// bytes estimates the memory that a part takes. A salt has as many copies as prompts.
func (k partKey) bytes() int { return partBytes + len(k.salt) + len(k.id) }

// Directory tracks which holders have which parts cached. It is safe for
// concurrent use. Its size is bounded by the capacities of the caches, and by a limit.
type Directory struct {
	maxBytes int

	mu sync.Mutex // guards the fields below
	// caches maps the ID of a holder to the cache of its newest incarnation.
	caches map[string]*cacheState
	// bytes is the sum of those of the caches.
	bytes int
}

// NewDirectory returns an empty directory that takes up to about maxBytes of memory.
func NewDirectory(maxBytes int) *Directory {
	return &Directory{maxBytes: maxBytes, caches: make(map[string]*cacheState)}
}

// reannounceInterval is the shortest interval at which the use of a cached part is
// announced again. Peers discard parts that they do not know to be in use.
const reannounceInterval = time.Second

// Add records that a holder uses a part, which it is expected to have cached by
// readyAt. It evicts the least recently used parts of the holder beyond
// capacityTokens, and those of the largest holders beyond the limit of the directory.
// Add reports whether the caller should announce the part to the other VMs.
func (d *Directory) Add(h Holder, capacityTokens int, salt string, p Part, now, readyAt time.Duration) (announce bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.caches[h.ID]
	if c == nil || c.holder.Born != h.Born {
		d.removeHolder(h.ID)
		c = &cacheState{holder: h, lru: list.New(), parts: make(map[partKey]*list.Element)}
		d.caches[h.ID] = c
		d.grow(c, holderBytes+len(h.ID))
	}
	c.capacityTokens = capacityTokens
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
	// The ID may share memory with the whole head of a request.
	k.id = strings.Clone(k.id)
	c.parts[k] = c.lru.PushFront(&cachedPart{key: k, tokens: p.Tokens, lastUsed: now, readyAt: readyAt, announcedAt: now})
	c.tokens += p.Tokens
	d.grow(c, k.bytes())
	for c.tokens > c.capacityTokens && c.lru.Len() > 1 {
		d.remove(c, c.lru.Back())
	}
	for d.bytes > d.maxBytes && len(d.caches) > 0 {
		d.shrinkLargest()
	}
	return true
}

func (d *Directory) grow(c *cacheState, bytes int) {
	c.bytes += bytes
	d.bytes += bytes
}

func (d *Directory) remove(c *cacheState, e *list.Element) {
	item := e.Value.(*cachedPart)
	c.lru.Remove(e)
	delete(c.parts, item.key)
	c.tokens -= item.tokens
	d.grow(c, -item.key.bytes())
}

// shrinkLargest evicts the least recently used parts of the holder that takes the most
// memory, and the holder once it has none.
func (d *Directory) shrinkLargest() {
	var largest *cacheState
	for _, c := range d.caches {
		if largest == nil || c.bytes > largest.bytes {
			largest = c
		}
	}
	for range largest.lru.Len()/evictedFraction + 1 {
		if e := largest.lru.Back(); e != nil {
			d.remove(largest, e)
		}
	}
	if largest.lru.Len() == 0 {
		d.removeHolder(largest.holder.ID)
	}
}

func (d *Directory) removeHolder(id string) {
	if c := d.caches[id]; c != nil {
		d.bytes -= c.bytes
		delete(d.caches, id)
	}
}

// MarkReady records that a holder has cached parts by now, if they are known.
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
			d.remove(c, e)
		}
	}
}

// RemoveHolder discards everything known about a holder.
func (d *Directory) RemoveHolder(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.removeHolder(id)
}

// NoAgeLimit is passed as the time since which parts must have been used, to
// include all parts.
const NoAgeLimit = time.Duration(math.MinInt64)

// HeldTokens returns the number of tokens in the leading parts that a holder has
// cached under a salt or is about to, up to the first part that it lacks or that
// was not used at or after since.
func (d *Directory) HeldTokens(h Holder, salt string, parts []Part, since time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, _ := d.lookup(h, salt, parts, since, NoAgeLimit)
	return held
}

// lookup returns the result of HeldTokens, and how many of these tokens are in
// leading parts that are cached by now. The caller must hold d.mu.
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
