package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// unreadEvents and unreadEventGap make a stream of 3 s, within the route's timeout and
	// its goals.
	unreadEvents   = 30
	unreadEventGap = 100 * time.Millisecond
	// unreadEngines is the number of engines, one of which reads late.
	unreadEngines = 8
	// slowLength is how long that engine is slow, its last late answer included.
	slowLength = 6500 * time.Millisecond
)

// lateReader is an engine that begins to answer before it has read a long body. Its streams
// have no length and end with their connections.
type lateReader struct {
	record *record
	// readsLate makes the engine read the rest of the body after its answer, as a slow
	// engine does; otherwise it reads it at once.
	readsLate bool

	mu sync.Mutex // guards the field below
	// slowSince is when the engine first read late.
	slowSince time.Time
}

// isSlow reports whether the engine reads the body of a request late whose answer begins
// now. It does so while that answer ends within slowLength of the first late one.
func (e *lateReader) isSlow() bool {
	if !e.readsLate {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.slowSince.IsZero() {
		e.slowSince = now
	}
	return now.Add(unreadEvents*unreadEventGap).Sub(e.slowSince) <= slowLength
}

func newLateReader(s *store, r *record, name string, readsLate bool) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e := &lateReader{record: r, readsLate: readsLate}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return s.put("servers", name, map[string]any{
		"service": modelService, "addr": l.Addr().String(), "zone": "a", "version": "v1", "slots": 128, "state": "ready", "cold_left_ms": 0,
		"stage": "mixed", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}, "seq": 0,
	})
}

// event returns an event of a stream.
func event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id) }

func (e *lateReader) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := q.Header.Get("Request-Id")
	e.record.add("the engine runs %s, whose body has %d bytes", id, q.ContentLength)
	slow := e.isSlow()
	e.record.add("the engine reads the body of %s late: %v", id, slow)
	if !slow {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: stamp-%s\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nConnection: close\r\n\r\n", id, id); err != nil {
		return
	}
	for i := 1; i <= unreadEvents; i++ {
		if _, err := io.WriteString(c, event(id, i)); err != nil {
			e.record.add("the engine cannot write event %d of %s: %v", i, id, err)
			return
		}
		time.Sleep(unreadEventGap)
	}
	e.record.add("the engine has written all %d events of %s", unreadEvents, id)
	_, _ = io.Copy(io.Discard, q.Body) // A caller that has left needs no end.
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// playUnread sends requests for streams with long bodies to an engine that begins to
// answer before it has read them. The rule ORDER is broken if a stream ends as complete
// before its last piece.
func playUnread(r *record, trouble bool) (broken bool, err error) {
	const rounds, perRound = 4, 8
	const streams = rounds * perRound
	d, err := newDeployment(r, tenant{name: "crew", key: "key-crew"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	for i := range unreadEngines {
		if err := newLateReader(d.store, r, fmt.Sprintf("i-llm-%d", i+1), trouble && i == 0); err != nil {
			return false, err
		}
	}
	if err := d.startGateways("a"); err != nil {
		return false, err
	}
	answers := make([]answer, streams)
	errs := make([]error, streams)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() { answers[i], errs[i] = askLong(d, fmt.Sprintf("rate-%d", i)) })
		if i%perRound == perRound-1 {
			callers.Wait()
		}
	}
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	short := 0
	for i, a := range answers {
		events := strings.Count(a.body, "\n\n")
		r.add("rate-%d answered: %v; %d of %d events", i, a, events, unreadEvents)
		switch {
		case a.err == nil && a.status == 200 && events < unreadEvents:
			short++
		case !trouble && (a.err != nil || a.status != 200):
			return false, fmt.Errorf("rate-%d was not served: %v", i, a)
		}
	}
	r.add("%d of %d streams ended as complete before their last piece", short, streams)
	return short > 0, nil
}

// askLong asks for a stream with a long body.
func askLong(d *deployment, id string) (answer, error) {
	c, err := dial(d.gateways[0].client)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = c.conn.Close() }()
	return c.do(request{method: "POST", path: "/rate/1", id: id, body: strings.Repeat("p", longBodyBytes), header: map[string]string{
		"Authorization": "Bearer key-crew", "Deadline-Ms": "5000", "Model": modelName, "Token-Count": "9190,40", "Prefix-Hash": "p" + id + ":6300," + id + ":2890",
	}}, 6*time.Second), nil
}
