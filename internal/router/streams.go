package router

import (
	"sync"

	"github.com/marjoramrock/marjoramrock/internal/config"
)

// streams tracks the requests in progress, so that those opened with a revoked
// key can be ended.
type streams struct {
	mu     sync.Mutex // guards the field below
	active map[*openStream]struct{}
}

// openStream is one request in progress. revoked is closed when its key is
// revoked.
type openStream struct {
	caller  caller
	revoked chan struct{}
	once    sync.Once
}

func newStreams() *streams { return &streams{active: make(map[*openStream]struct{})} }

func (s *streams) add(who caller) *openStream {
	o := &openStream{caller: who, revoked: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[o] = struct{}{}
	return o
}

func (s *streams) remove(o *openStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, o)
}

func (s *streams) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.active)
}

// revoke ends the requests whose key is no longer valid for their team.
func (s *streams) revoke(c *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := range s.active {
		key, ok := c.KeyByDigest(o.caller.keyDigest)
		if !o.caller.public && (!ok || key.Team != o.caller.team.Name) {
			o.once.Do(func() { close(o.revoked) })
		}
	}
}
