package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelName   = "daka510000"
	serviceName = "huvo11a"
	engineSlots = 128
	// prefillTime is the time until the first event of a stream.
	prefillTime = 40 * time.Millisecond
	// restartTime is how long after a crash an engine is back; it is "some seconds".
	restartTime = 4 * time.Second
)

// arrival is a request that reached an engine.
type arrival struct {
	id, engine string
	at         time.Time
	// began is set once the engine began to write an answer.
	began bool
	// deadly is set if the request has the part that crashes engines.
	deadly bool
}

// fleet is the engines of one service.
type fleet struct {
	record *record
	store  *store
	// deadlyPart is the part of a prompt that crashes engines, or empty.
	deadlyPart string

	mu       sync.Mutex // guards the fields below
	started  int
	arrivals []*arrival
	crashes  []time.Time
	closed   bool
	running  map[*engine]bool
	// events is the number of events of a stream, gap the time between two.
	events int
	gap    time.Duration
}

func newFleet(rec *record, s *store, n int, deadlyPart string) (*fleet, error) {
	f := &fleet{record: rec, store: s, deadlyPart: deadlyPart, running: make(map[*engine]bool), events: 4, gap: 15 * time.Millisecond}
	for i := range n {
		if err := f.start(zones[i%len(zones)]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// engine is one incarnation of an engine.
type engine struct {
	fleet    *fleet
	id, zone string
	address  string
	born     int64
	server   *http.Server
	stopped  chan struct{}
	once     sync.Once
}

// start starts a new engine and its heartbeat.
func (f *fleet) start(zone string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("engine: %w", err)
	}
	f.mu.Lock()
	f.started++
	e := &engine{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a9000+f.started), zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	f.running[e] = true
	f.mu.Unlock()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	f.record.add("engine %s at %s (%s) started", e.id, e.address, zone)
	e.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-e.stopped:
				return
			case <-ticker.C:
				e.beat()
			}
		}
	}()
	return nil
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.fleet.store.put("servers", e.id, map[string]any{
		"service": serviceName, "addr": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready", "cold_left_ms": 0,
		"stage": "mixed", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}, "seq": 0, "born": e.born,
	})
}

// crash ends the engine as the end of its process does. The platform removes its entry
// after three heartbeat intervals of silence; the engine is back after restartTime.
func (e *engine) crash(cause string) {
	e.once.Do(func() {
		f := e.fleet
		close(e.stopped)
		_ = e.server.Close()
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		n, closed := len(f.crashes), f.closed
		delete(f.running, e)
		f.mu.Unlock()
		f.record.add("engine %s crashes on request %s (crash %d)", e.id, cause, n)
		time.AfterFunc(3*heartbeat, func() { f.store.remove("servers", e.id) })
		if !closed {
			time.AfterFunc(restartTime, func() {
				if err := f.start(e.zone); err != nil {
					f.record.add("%v", err)
				}
			})
		}
	})
}

func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	var all []*engine
	for e := range f.running {
		all = append(all, e)
	}
	f.mu.Unlock()
	for _, e := range all {
		e.once.Do(func() { close(e.stopped); _ = e.server.Close() })
	}
}

// refuse answers that a request has not run.
func (e *engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch r.URL.Path {
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "mixed", "models": []any{map[string]any{"name": modelName, "version": 1}}, "busy": false, "seq": 0})
		return
	case "/order":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if v := r.Header.Get("Expect-Version"); v != "" && v != "1" {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	f := e.fleet
	a := &arrival{id: id, engine: e.id, at: time.Now(), deadly: hasPart(r.Header.Get("Prefix-Hash"), f.deadlyPart)}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	events, gap := f.events, f.gap
	f.mu.Unlock()
	f.record.add("request %s reaches engine %s", id, e.id)
	select {
	case <-time.After(prefillTime):
	case <-r.Context().Done():
		return
	}
	f.mu.Lock()
	a.began = true
	f.mu.Unlock()
	w.Header().Set("Stamp", "stamp-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	if a.deadly {
		e.crash(id)
		panic(http.ErrAbortHandler)
	}
	for i := 1; i <= events; i++ {
		if _, err := io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: "+id+" "+strconv.Itoa(i)+"\n\n"); err != nil {
			return
		}
		_ = flush.Flush()
		time.Sleep(gap)
	}
}

// setStream sets the number of events of the streams that begin from now on, and the time
// between two of them.
func (f *fleet) setStream(events int, gap time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events, f.gap = events, gap
}

// deadlyAfter counts the requests with the deadly part that reached engines after a time.
func (f *fleet) deadlyAfter(at time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, a := range f.arrivals {
		if a.deadly && a.at.After(at) {
			n++
		}
	}
	return n
}

// hasPart reports whether a prompt has a part.
func hasPart(prefix, part string) bool {
	for _, p := range strings.Split(prefix, ",") {
		if id, _, _ := strings.Cut(p, ":"); part != "" && id == part {
			return true
		}
	}
	return false
}

// summary returns the arrivals by request, and the times of the crashes.
func (f *fleet) summary() (byID map[string][]arrival, crashes []time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byID = make(map[string][]arrival)
	for _, a := range f.arrivals {
		byID[a.id] = append(byID[a.id], *a)
	}
	return byID, append([]time.Time(nil), f.crashes...)
}
