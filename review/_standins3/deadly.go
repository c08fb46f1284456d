package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyPart crashes engines.
	deadlyPart = "dead"
	// deadlyDown is how long a crashed engine is away.
	deadlyDown = 3 * time.Second
	// eventPeriod is the time between two events of an answer.
	eventPeriod = 20 * time.Millisecond
	// maxCrashes and contactTime bound when the rules apply: the time counts from that crash.
	maxCrashes  = 5
	contactTime = 3 * time.Second
)

// crashingEngine is an engine that crashes when it begins to write an answer on deadlyPart.
type crashingEngine struct {
	fleet *crashingFleet
	slot  int

	mu       sync.Mutex // guards the fields below
	engine   *engine
	listener net.Listener
	conns    map[net.Conn]struct{}
	starts   int
	down     bool
}

// crashingFleet is a service of such engines.
type crashingFleet struct {
	play *play

	mu sync.Mutex // guards the fields below
	// crashes and arrivals are the times of crashes, and of requests with deadlyPart at engines.
	crashes, arrivals []time.Time
	// begun holds the requests that engines have begun to answer.
	begun map[string]bool
	// read is how long engines read a prompt at most, events the number of events of an answer.
	read   time.Duration
	events int
}

func (e *crashingEngine) start(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	id := fmt.Sprintf("e%d-%d", e.slot, e.starts)
	x := &engine{id: id, service: "taalmodel", address: l.Addr().String(), version: 1, slots: atlasSlots, answer: e.answer, runs: make(map[string]int)}
	e.engine, e.listener, e.conns, e.down = x, l, make(map[net.Conn]struct{}), false
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = struct{}{}
			e.mu.Unlock()
			go x.serve(c)
		}
	}()
	return e.fleet.play.store.put("servers", id, x.entry("ready"))
}

func isDeadly(prefixHash string) bool { return strings.Contains(prefixHash, deadlyPart+":") }

// crash resets all connections, and starts the engine again under another id.
func (e *crashingEngine) crash(request string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	_ = e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	cut, id, address := len(e.conns), e.engine.id, e.engine.address
	e.mu.Unlock()
	e.fleet.mu.Lock()
	e.fleet.crashes = append(e.fleet.crashes, time.Now())
	n := len(e.fleet.crashes)
	e.fleet.mu.Unlock()
	e.fleet.play.logf("crash %d: engine %s on request %s, %d connections", n, id, request, cut)
	time.AfterFunc(deadlyDown, func() {
		if err := e.start(address); err != nil {
			e.fleet.play.logf("engine does not start: %v", err)
		}
	})
	// The platform removes the entry after three heartbeat intervals of silence.
	const lapseTime = 3600 * time.Millisecond
	time.AfterFunc(lapseTime, func() { e.fleet.play.store.remove("servers", id) })
}

func (e *crashingEngine) answer(x *engine, c net.Conn, r *http.Request) bool {
	deadly := isDeadly(r.Header.Get("Prefix-Hash"))
	if deadly {
		e.fleet.mu.Lock()
		e.fleet.arrivals = append(e.fleet.arrivals, time.Now())
		e.fleet.mu.Unlock()
		e.fleet.play.logf("request %s with the deadly part reaches engine %s", r.Header.Get("Request-Id"), x.id)
	}
	if !sleepUnlessClosed(c, rand.N(e.fleet.read)) {
		return false
	}
	if deadly {
		e.crash(r.Header.Get("Request-Id"))
		return false
	}
	if !writeStreamHead(c, x, r) {
		return false
	}
	e.fleet.mu.Lock()
	e.fleet.begun[r.Header.Get("Request-Id")] = true
	e.fleet.mu.Unlock()
	for i := 1; i <= e.fleet.events; i++ {
		if !writeEvent(c, i) || !sleepUnlessClosed(c, eventPeriod) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
