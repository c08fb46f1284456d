package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which engines write their entries.
const heartbeat = 1200 * time.Millisecond

// engine is a stand-in of an engine: of a plain service, or of models if model is not
// empty. It serves each request in full and answers it unchanged. It is safe for
// concurrent use.
type engine struct {
	id, service, zone, model string
	address                  string
	store                    *store
	record                   *record
	// firstAfter is the time to the response, or to the first event; eventGap is the time
	// between two of events events.
	firstAfter, eventGap time.Duration
	events               int
	// quiet leaves the engine's runs out of the record.
	quiet bool
	stop  func() error

	mu sync.Mutex // guards the fields below
	// version is that of the weights; orders counts the accepted orders.
	version, orders int64
	// cache maps salt and ID of a cached part to the team whose request made it.
	cache map[[2]string]string
	// runs holds the requests that the engine has begun to work on.
	runs []*run
	// left is set once the engine has left the list.
	left bool
	// draining is set once the engine has begun to leave.
	draining bool
}

// run is a request that an engine has begun to work on.
type run struct {
	id, tenant string
	at         time.Time
	// answered is set once the whole answer has been written.
	answered bool
	// reused maps the parts that were found in the cache to the tenants that made them.
	reused map[string]string
}

// newEngine serves an engine and registers it.
func newEngine(e *engine) (*engine, error) {
	e.cache, e.version = make(map[[2]string]string), 1
	if e.firstAfter == 0 {
		e.firstAfter = 20 * time.Millisecond
	}
	if e.events == 0 {
		e.events, e.eventGap = 10, 20*time.Millisecond
	}
	var err error
	if e.address, e.stop, err = serve("127.0.0.1:0", e); err != nil {
		return nil, err
	}
	if err := e.register(); err != nil {
		return nil, err
	}
	go func() {
		for range time.Tick(heartbeat) {
			_ = e.register() // Encoding the entry cannot fail.
		}
	}()
	return e, nil
}

func (e *engine) models() []map[string]any {
	if e.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": e.model, "version": e.version, "adapters": []string{}}}
}

// register writes the engine's entry, unless it has left.
func (e *engine) register() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left {
		return nil
	}
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": 128, "state": state, "cold_left_ms": 0,
		"stage": "mixed", "models": e.models(), "seq": e.orders,
	}
	return e.store.put("servers", e.id, entry)
}

// announce lets the engine begin to leave: it reports draining, and says so in its answers.
func (e *engine) announce() error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.register()
}

// leave removes the engine's entry. The engine reports no draining, and goes on serving.
func (e *engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = true
	e.store.remove("servers", e.id)
}

// end ends the engine with what it is working on.
func (e *engine) end() { _ = e.stop() } // It is the end in any case.

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
		return
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		writeJSON(w, map[string]any{"stage": "mixed", "models": e.models(), "busy": false, "seq": e.orders, "queued": 0, "in_flight": 0, "kv_used": 0, "kv_total": 134082, "handles": 0})
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if e.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	stale := r.Header.Get("Expect-Version") != "" && r.Header.Get("Expect-Version") != strconv.FormatInt(e.version, 10)
	e.mu.Unlock()
	if stale {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	x := e.begin(r)
	if !e.quiet {
		e.record.add("engine %s runs %s for tenant %q, salt %q, parts reused from %v", e.id, x.id, x.tenant, r.Header.Get("Cache-Salt"), x.reused)
	}
	time.Sleep(e.firstAfter)
	w.Header().Set("Stamp", "stamp-"+id)
	if e.model == "" {
		body := strings.Repeat("x", 800)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, err := io.WriteString(w, body)
		e.mu.Lock()
		x.answered = err == nil && r.Context().Err() == nil
		e.mu.Unlock()
		return
	}
	e.stream(w, r)
}

// begin notes that the engine begins to work on a request, and caches its parts.
func (e *engine) begin(r *http.Request) *run {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := &run{at: time.Now(), id: r.Header.Get("Request-Id"), tenant: r.Header.Get("Tenant"), reused: make(map[string]string)}
	missing := false
	for _, piece := range strings.Split(r.Header.Get("Prefix-Hash"), ",") {
		part, _, ok := strings.Cut(piece, ":")
		if !ok {
			continue
		}
		key := [2]string{r.Header.Get("Cache-Salt"), part}
		maker, cached := e.cache[key]
		if cached && !missing {
			x.reused[part] = maker
			continue
		}
		// A part counts as cached only if all parts before it are.
		missing = true
		e.cache[key] = x.tenant
	}
	e.runs = append(e.runs, x)
	return x
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.FormatInt(e.version, 10))
	flusher := w.(http.Flusher)
	for i := 1; i <= e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-time.After(e.eventGap):
		case <-r.Context().Done():
			e.record.add("engine %s: the connection of %s was closed after event %d of %d", e.id, r.Header.Get("Request-Id"), i, e.events)
			return
		}
	}
}

// ran returns the requests that the engine has begun to work on.
func (e *engine) ran() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, 0, len(e.runs))
	for _, x := range e.runs {
		out = append(out, *x)
	}
	return out
}
