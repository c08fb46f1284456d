package parts

import (
	"container/list"
	"math"
	"sync"
	"time"
)

// Part is one piece of a prompt: all prompts with the same ID open alike.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a call asks a model to read and write.
type Prompt struct {
	Model string
	// InputTokens is the size of the whole prompt, Output the most tokens to write.
	InputTokens     int
	MaxOutputTokens int
	// Parts are in order; the last is the call's own or its session's.
	Parts []Part
}

// SharedParts returns the parts that other calls may have too.
func (p Prompt) SharedParts() []Part {
	if len(p.Parts) == 0 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// key is a part under a salt.
type key struct{ salt, id string }

// Holder names one incarnation of an engine.
type Holder struct {
	ID   string
	Born int64
}

// entry is a part on one engine's shelf.
type entry struct {
	key    key
	tokens int
	used   time.Duration
	// ready is when the engine has read it, as far as that is known.
	ready time.Duration
	// told is when Add last reported it as news.
	told time.Duration
}

// shelf is what one incarnation is believed to hold, least recently used last.
type shelf struct {
	holder   Holder
	capacity int
	tokens   int
	order    *list.List
	entries  map[key]*list.Element
}

// Directory remembers which engines hold which parts. It is safe for
// concurrent use; its memory is bounded by the capacities of the engines.
type Directory struct {
	mu sync.Mutex // guards the fields below
	// shelves are by the ID of the engine, for its newest incarnation.
	shelves map[string]*shelf
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{shelves: make(map[string]*shelf)} }

// retell is after how long the use of a known part is news again: others
// forget parts that are not used.
const retell = time.Second

// Add records that an engine reads a part, and will have read it at an instant.
// Capacity is the size of its memory in tokens; what was used least recently
// yields. It reports whether that is news to others.
func (d *Directory) Add(h Holder, capacity int, salt string, p Part, now, ready time.Duration) (news bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shelves[h.ID]
	if s == nil || s.holder.Born != h.Born {
		s = &shelf{holder: h, order: list.New(), entries: make(map[key]*list.Element)}
		d.shelves[h.ID] = s
	}
	s.capacity = capacity
	k := key{salt, p.ID}
	if e := s.entries[k]; e != nil {
		item := e.Value.(*entry)
		item.used, item.ready = now, min(item.ready, ready)
		s.order.MoveToFront(e)
		if news = now-item.told >= retell; news {
			item.told = now
		}
		return news
	}
	s.entries[k] = s.order.PushFront(&entry{key: k, tokens: p.Tokens, used: now, ready: ready, told: now})
	s.tokens += p.Tokens
	for s.tokens > s.capacity && s.order.Len() > 1 {
		s.drop(s.order.Back())
	}
	return true
}

func (s *shelf) drop(e *list.Element) {
	item := e.Value.(*entry)
	s.order.Remove(e)
	delete(s.entries, item.key)
	s.tokens -= item.tokens
}

// MarkReady records that an engine has read parts.
func (d *Directory) MarkReady(h Holder, salt string, parts []Part, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.shelves[h.ID]
	if s == nil || s.holder.Born != h.Born {
		return
	}
	for _, p := range parts {
		if e := s.entries[key{salt, p.ID}]; e != nil {
			item := e.Value.(*entry)
			item.ready = min(item.ready, now)
		}
	}
}

// RemovePart records that an engine no longer holds a part.
func (d *Directory) RemovePart(id, salt, part string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.shelves[id]; s != nil {
		if e := s.entries[key{salt, part}]; e != nil {
			s.drop(e)
		}
	}
}

// RemoveHolder drops all that is known of an engine.
func (d *Directory) RemoveHolder(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.shelves, id)
}

// NoAgeLimit is the oldest use that Held is asked for where parts do not age.
const NoAgeLimit = time.Duration(math.MinInt64)

// HeldTokens returns how many tokens of the opening parts an engine is believed to
// hold under a salt, counting parts that were used since an instant.
func (d *Directory) HeldTokens(h Holder, salt string, parts []Part, since time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	held, _ := d.held(h, salt, parts, since, NoAgeLimit)
	return held
}

// held returns also how many of these tokens are read at an instant.
func (d *Directory) held(h Holder, salt string, parts []Part, since, now time.Duration) (held, read int) {
	s := d.shelves[h.ID]
	if s == nil || s.holder.Born != h.Born {
		return 0, 0
	}
	reading := false
	for _, p := range parts {
		e := s.entries[key{salt, p.ID}]
		if e == nil || e.Value.(*entry).used < since {
			break
		}
		held += p.Tokens
		if reading = reading || e.Value.(*entry).ready > now; !reading {
			read += p.Tokens
		}
	}
	return held, read
}

// Len returns how many parts are known of all engines.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, s := range d.shelves {
		n += len(s.entries)
	}
	return n
}
