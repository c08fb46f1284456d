package main

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
)

// tally counts results.
type tally struct {
	mu     sync.Mutex // guards the field below
	counts map[string]int
}

func newTally() *tally { return &tally{counts: make(map[string]int)} }

func (t *tally) add(x result) {
	kind := fmt.Sprintf("status %d", x.status)
	var timeout net.Error
	switch {
	case errors.As(x.err, &timeout) && timeout.Timeout():
		kind += ", the client has left"
	case x.err != nil:
		kind += ", broken off"
	default:
		kind += ", whole"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[kind]++
}

func (t *tally) lines() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for kind, n := range t.counts {
		out = append(out, fmt.Sprintf("%d with %s", n, kind))
	}
	slices.Sort(out)
	return out
}
