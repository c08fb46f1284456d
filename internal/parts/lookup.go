package parts

import "time"

// CacheLookup is a query for the leading parts of a prompt that one holder has
// cached under a salt, and its result.
type CacheLookup struct {
	Holder Holder
	Salt   string
	// Since excludes parts that were last used before it.
	Since time.Duration
	// HeldTokens and ReadyTokens are the result. HeldTokens is the number of tokens
	// in the leading parts that the holder has cached or is about to; ReadyTokens is
	// the number in those that are cached already, so that another engine can fetch
	// them.
	HeldTokens  int
	ReadyTokens int
}

// Lookup fills in the results of lookups for a prompt with the given parts. All
// results are of the same state of the directory.
func (d *Directory) Lookup(lookups []CacheLookup, parts []Part, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range lookups {
		l := &lookups[i]
		l.HeldTokens, l.ReadyTokens = d.lookup(l.Holder, l.Salt, parts, l.Since, now)
	}
}
