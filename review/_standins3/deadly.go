package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// How the case is played.
const (
	deadlyProcesses = 2
	deadlyCalm      = 4 * time.Second
	deadlyTrouble   = 24 * time.Second
	deadlyPerSecond = 2.0
	deadlyPart      = "dead"
	// deadlyDown is how long a crashed engine is away.
	deadlyDown = 3 * time.Second
	// deadlyRead is how long an engine reads a prompt before it begins to write an answer.
	deadlyRead   = 300 * time.Millisecond
	deadlyPeriod = 20 * time.Millisecond
	// After maxCrashes crashes and contactTime, no more than maxLate requests with the part may
	// reach engines.
	maxCrashes  = 5
	contactTime = 3 * time.Second
	maxLate     = 3
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
	// crashes and arrivals are the times of crashes, and of requests with deadlyPart.
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
		if !writeEvent(c, i) || !sleepUnlessClosed(c, deadlyPeriod) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// playDeadly sends requests whose part crashes the engines before they have sent anything.
func playDeadly(p *play) ([]string, error) {
	fleet := &crashingFleet{play: p, begun: make(map[string]bool), read: deadlyRead, events: 40}
	err := p.start(atlasConfig(), deadlyProcesses, atlasMemoryMB, func() error {
		for i := range atlasEngines {
			if err := (&crashingEngine{fleet: fleet, slot: i}).start("127.0.0.1:0"); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	began := time.Now()
	end := began.Add(deadlyCalm + deadlyTrouble)
	sound, deadly := newTally(), newTally()
	var clients sync.WaitGroup
	soundDue, deadlyDue := began, began.Add(deadlyCalm)
	for n := 0; time.Now().Before(end); time.Sleep(time.Millisecond) {
		now := time.Now()
		send := func(id, second string, t *tally) {
			g := p.gateways[rand.IntN(len(p.gateways))]
			q := request{
				id: id, path: "/draft/x", prefix: fmt.Sprintf("%x:119,%s:79,%x:628", 0x200+n%8, second, 0x10000+n),
				inputTokens: 826, outputTokens: 40, bodyBytes: 1700, deadline: 15 * time.Second, patience: atlasPatience,
			}
			clients.Go(func() { t.add(ask(g.entry, q)) })
		}
		for ; soundDue.Before(now); soundDue = soundDue.Add(interval(atlasDraftPerSec)) {
			n++
			send(fmt.Sprint("s", n), fmt.Sprintf("%x", 0x2000+n%234), sound)
		}
		for ; p.trouble && deadlyDue.Before(now); deadlyDue = deadlyDue.Add(interval(deadlyPerSecond)) {
			n++
			send(fmt.Sprint("x", n), deadlyPart, deadly)
		}
	}
	clients.Wait()
	for _, line := range sound.lines() {
		p.logf("sound requests: %s", line)
	}
	for _, line := range deadly.lines() {
		p.logf("requests with the deadly part: %s", line)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	late := 0
	if len(fleet.crashes) >= maxCrashes {
		from := fleet.crashes[maxCrashes-1].Add(contactTime)
		for _, at := range fleet.arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	p.logf("%d crashes, %d requests with the part reached engines, %d of them later than %s after crash %d", len(fleet.crashes), len(fleet.arrivals), late, contactTime, maxCrashes)
	if late > maxLate {
		return []string{fmt.Sprintf("%d requests with a part that crashes engines reached engines too late", late)}, nil
	}
	return nil, nil
}
