package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// rawFleet is engines whose streams have neither a length nor chunks and end with their
// connections. From time to time one falls silent and then goes on.
type rawFleet struct {
	record *record
	events int
	gap    time.Duration

	mu        sync.Mutex // guards the fields below
	runs      map[string][]*rawRun
	engines   []*rawEngine
	listeners []net.Listener
}

// rawRun is a request that an engine ran.
type rawRun struct {
	engine string
	// from is the number of the first event, sent that of the last one.
	from, sent int
	// whole is set if the engine wrote the stream to its end.
	whole bool
}

// rawEngine is one engine.
type rawEngine struct {
	fleet       *rawFleet
	id, address string

	mu          sync.Mutex // guards the field below
	pausedUntil time.Time
}

func newRawFleet(rec *record, s *store, n, events int, gap time.Duration) (*rawFleet, error) {
	f := &rawFleet{record: rec, events: events, gap: gap, runs: make(map[string][]*rawRun)}
	for i := range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("engine: %w", err)
		}
		e := &rawEngine{fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a9001+i), address: l.Addr().String()}
		f.engines, f.listeners = append(f.engines, e), append(f.listeners, l)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go e.serve(c)
			}
		}()
		zone := zones[i%len(zones)]
		born := time.Now().UnixMilli()
		go func() {
			for {
				s.put("servers", e.id, map[string]any{
					"service": serviceName, "addr": e.address, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0,
					"stage": "mixed", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}, "seq": 0, "born": born,
				})
				time.Sleep(heartbeat)
			}
		}()
	}
	return f, nil
}

func (f *rawFleet) close() {
	for _, l := range f.listeners {
		_ = l.Close()
	}
}

// pauseOne makes a random engine fall silent.
func (f *rawFleet) pauseOne(d time.Duration) {
	e := f.engines[rand.IntN(len(f.engines))]
	f.record.add("engine %s falls silent for %s", e.id, d)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(d)
}

// awaitVoice waits until the engine is not silent.
func (e *rawEngine) awaitVoice() {
	for {
		e.mu.Lock()
		left := time.Until(e.pausedUntil)
		e.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// serve serves the requests of a connection.
func (e *rawEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		e.awaitVoice()
		if !e.answer(c, req) {
			return
		}
	}
}

// answer answers a request. It reports whether the connection can carry another one.
func (e *rawEngine) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	switch {
	case req.URL.Path == "/report":
		text := fmt.Sprintf(`{"stage":"mixed","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0}`, modelName)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err == nil
	case req.Header.Get("Expect-Instance") != e.id:
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	f := e.fleet
	run := &rawRun{engine: e.id, from: first}
	f.mu.Lock()
	f.runs[id] = append(f.runs[id], run)
	f.mu.Unlock()
	f.record.add("engine %s runs request %s from event %d", e.id, id, first)
	time.Sleep(prefillTime)
	e.awaitVoice()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: stamp-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n", id, e.id); err != nil {
		return false
	}
	for i := first; i <= f.events; i++ {
		e.awaitVoice()
		if _, err := fmt.Fprintf(c, "id: %d\ndata: %s %d\n\n", i, id, i); err != nil {
			return false
		}
		f.mu.Lock()
		run.sent = i
		f.mu.Unlock()
		time.Sleep(f.gap)
	}
	e.awaitVoice()
	f.mu.Lock()
	run.whole = true
	f.mu.Unlock()
	return false
}
