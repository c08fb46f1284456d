package parts

import "time"

// CacheLookup asks how much of a prompt one incarnation holds under a salt.
type CacheLookup struct {
	Holder Holder
	Salt   string
	// Since is the oldest use of a part that counts.
	Since time.Duration
	// HeldTokens and Read are the answer: the tokens of the opening parts that are
	// held or about to be, and of those the ones that are there to be fetched.
	HeldTokens  int
	ReadyTokens int
}

// Lookup answers for several holders at once.
func (d *Directory) Lookup(holdings []CacheLookup, parts []Part, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range holdings {
		h := &holdings[i]
		h.HeldTokens, h.ReadyTokens = d.held(h.Holder, h.Salt, parts, h.Since, now)
	}
}
