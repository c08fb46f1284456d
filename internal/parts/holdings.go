package parts

import "time"

// Holding asks how much of a prompt one incarnation holds under a salt.
type Holding struct {
	Holder Holder
	Salt   string
	// Tokens is the answer: those of the opening parts that are held.
	Tokens int
}

// Holdings answers for several holders at once, counting parts that were used
// since an instant.
func (d *Directory) Holdings(holdings []Holding, parts []Part, since time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range holdings {
		h := &holdings[i]
		h.Tokens = d.held(h.Holder, h.Salt, parts, since)
	}
}
