// Command _standins3 plays cases of the review: it starts processes of the system with
// stand-ins of the platform's store, of engines and of clients. It exits with 1 if a rule was
// broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxPlay bounds the time of a case.
const maxPlay = 100 * time.Second

// play is one play of a case.
type play struct {
	// trouble is unset if the case is to be played without its disruption.
	trouble bool
	// dir holds settings and logs of the processes.
	dir   string
	store *store

	gateways []*gateway
	began    time.Time

	mu     sync.Mutex // guards the field below
	record *os.File
}

// cases holds the cases by name. Each returns what broke the rule, if anything.
var cases = map[string]func(*play) ([]string, error){
	"silence":       playSilence,
	"endless-heads": playEndlessHeads,
	"inner-part":    playInner,
	"batches":       playBatches,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _standins3 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(*play) ([]string, error), recordFile string) int {
	dir, err := os.MkdirTemp("", "standins3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p := &play{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now()}
	if p.record, err = os.Create(filepath.Clean(recordFile)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = p.record.Close() }()
	defer p.stop()
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := f(p)
		done <- outcome{broken, err}
	}()
	var broken []string
	select {
	case x := <-done:
		broken, err = x.broken, x.err
	case <-time.After(maxPlay):
		err = errors.New("the case takes too long")
	}
	switch {
	case err != nil:
		p.logf("could not run: %v", err)
		return exitFailed
	case len(broken) > 0:
		for _, line := range broken {
			p.logf("broken: %s", line)
		}
		return exitBroken
	}
	p.logf("the rule held")
	return exitHeld
}

// logf adds a line to the record.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f s  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the store with a configuration, the engines, and processes of the system.
func (p *play) start(config map[string]any, processes, memoryMB int, startEngines func() error) error {
	var err error
	if p.store, err = startStore(); err != nil {
		return err
	}
	if err := p.store.put("op", "version/"+model, map[string]any{"model": model, "version": 1}); err != nil {
		return err
	}
	if err := p.store.put("op", "config", config); err != nil {
		return err
	}
	if err := startEngines(); err != nil {
		return err
	}
	for i := range processes {
		g, err := newGateway(p.dir, fmt.Sprint("vm", i), p.store.address, memoryMB)
		if err != nil {
			return err
		}
		p.gateways = append(p.gateways, g)
		if err := g.start(); err != nil {
			return err
		}
	}
	const startTime = 10 * time.Second
	for _, g := range p.gateways {
		if err := g.waitReady(startTime); err != nil {
			return err
		}
		p.logf("process %s is ready", g.name)
	}
	return nil
}

// stop ends the processes.
func (p *play) stop() {
	for _, g := range p.gateways {
		g.kill()
	}
}
