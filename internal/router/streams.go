package router

import (
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/config"
)

// streams knows the answers in progress, so that the withdrawal of a key
// ends those that were opened with it.
type streams struct {
	mu   sync.Mutex // guards the field below
	open map[*openStream]struct{}
}

// openStream is one answer in progress; revoked is closed when its key goes.
type openStream struct {
	who     caller
	revoked chan struct{}
	once    sync.Once
}

func newStreams() *streams { return &streams{open: make(map[*openStream]struct{})} }

func (s *streams) add(who caller) *openStream {
	o := &openStream{who: who, revoked: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[o] = struct{}{}
	return o
}

func (s *streams) remove(o *openStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, o)
}

func (s *streams) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// revoke ends the answers whose key is not in force for their team.
func (s *streams) revoke(c *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.open {
		key, ok := c.KeyByDigest(o.who.digest)
		if !o.who.open && (!ok || key.Team != o.who.team.Name) {
			o.once.Do(func() { close(o.revoked) })
		}
	}
}
