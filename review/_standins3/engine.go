package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const model = "m"

// answer writes the response to a request that an engine runs. It returns false if the
// connection must be closed.
type answer func(e *engine, c net.Conn, r *http.Request) bool

// engine is a stand-in of an engine, or of a plain server if it has no version.
type engine struct {
	id, service, address string
	version              int64
	slots                int
	answer               answer

	mu sync.Mutex // guards the fields below
	// runs counts the runs of each request.
	runs    map[string]int
	running int
	// mostRunning is the largest number of requests that ran at once.
	mostRunning int
}

func startEngine(s *store, id, service string, version int64, slots int, a answer) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, address: l.Addr().String(), version: version, slots: slots, answer: a, runs: make(map[string]int)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, s.put("servers", id, e.entry("ready"))
}

// entry returns the entry of the engine in the store's list.
func (e *engine) entry(state string) map[string]any {
	entry := map[string]any{
		"service": e.service, "addr": e.address, "zone": zone, "version": "v1", "slots": e.slots, "state": state,
		"cold_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	}
	if e.version > 0 {
		entry["models"] = e.models()
	}
	return entry
}

func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": model, "version": e.version, "adapters": []string{}}}
}

func (e *engine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !e.handle(c, r) {
			return
		}
	}
}

func (e *engine) handle(c net.Conn, r *http.Request) bool {
	switch {
	case r.URL.Path == "/report":
		raw, err := json.Marshal(map[string]any{
			"stage": "mixed", "models": e.models(), "busy": false, "seq": 0, "queued": 0, "in_flight": 0, "kv_used": 0, "kv_total": 100000, "handles": 0,
		})
		return err == nil && writeAnswer(c, "200 OK", "", string(raw))
	case r.Header.Get("Expect-Instance") != e.id:
		return writeAnswer(c, "421 Misdirected Request", "Not-Run: 1\r\n"+echo(r), "")
	case e.version > 0 && r.Header.Get("Expect-Version") != "" && r.Header.Get("Expect-Version") != fmt.Sprint(e.version):
		return writeAnswer(c, "421 Misdirected Request", "Not-Run: 1\r\n"+echo(r), "")
	}
	e.begin(r)
	defer e.end()
	return e.answer(e, c, r)
}

func (e *engine) begin(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.Header.Get("Request-Id")]++
	e.running++
	e.mostRunning = max(e.mostRunning, e.running)
}

func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// most returns the largest number of requests that ran at once, and the number of all.
func (e *engine) most() (atOnce, all int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mostRunning, len(e.runs)
}

func echo(r *http.Request) string { return "Request-Id: " + r.Header.Get("Request-Id") + "\r\n" }

func writeAnswer(w io.Writer, status, header, body string) bool {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// stream answers with events, one each interval.
func stream(events int, interval time.Duration) answer {
	return func(e *engine, c net.Conn, r *http.Request) bool {
		if !writeStreamHead(c, e, r) {
			return false
		}
		for i := range events {
			if !sleepUnlessClosed(c, interval) || !writeEvent(c, i+1) {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func writeStreamHead(c net.Conn, e *engine, r *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sStamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nWeight-Versions: %d\r\n\r\n",
		echo(r), e.id, e.version)
	return err == nil
}

// writeEvent writes the nth event of a stream as a chunk.
func writeEvent(c net.Conn, n int) bool {
	text := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// sleepUnlessClosed returns false if the connection is closed in the meantime. An engine
// serves one request at a time on a connection, so nothing else arrives.
func sleepUnlessClosed(c net.Conn, d time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
		return false
	}
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	var one [1]byte
	_, err := c.Read(one[:])
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// endlessHead answers with a head without end, of headers of few bytes each. Its first bytes
// come at once, the others at a rate of bytes a second.
func endlessHead(first, rate int) answer {
	return func(_ *engine, c net.Conn, r *http.Request) bool {
		const period = 50 * time.Millisecond
		headers := 0
		send := func(size int) bool {
			var b strings.Builder
			for b.Len() < size {
				fmt.Fprintf(&b, "%s:\n", headerName(headers))
				headers++
			}
			_, err := io.WriteString(c, b.String())
			return err == nil
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo(r)); err != nil || !send(first) {
			return false
		}
		for sleepUnlessClosed(c, period) {
			if !send(rate * int(period/time.Millisecond) / 1000) {
				return false
			}
		}
		return false
	}
}

// headerName returns the nth of many short header names.
func headerName(n int) string {
	const letters, others = 26, "abcdefghijklmnopqrstuvwxyz0123456789-_"
	return string([]byte{byte('a' + n%letters), others[n/letters%len(others)], others[n/letters/len(others)%len(others)]})
}
