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
	"sync/atomic"
	"time"
)

// Sizes of the case.
const (
	// longBodyBytes is the size of a request's body, within max_body_bytes.
	longBodyBytes = 4 << 20
	// answerBytes is the size of a whole answer, brokenOffBytes what a crash leaves of it.
	answerBytes    = 800
	brokenOffBytes = 300
)

// Numbers of the case: one of resetEngines crashes, resetCrashes times, and starts again
// after resetDown.
const (
	resetEngines  = 4
	resetCrashes  = 3
	resetDown     = time.Second
	resetCrashGap = 3500 * time.Millisecond
)

// earlyEngine is an engine of the plain service that answers a request before it has read
// a long body. Its answers have no length and end with their connections.
type earlyEngine struct {
	listener net.Listener
	record   *record
	// crashed is closed when the engine crashes.
	crashed chan struct{}
}

func newEarlyEngine(s *store, r *record, name string) (*earlyEngine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &earlyEngine{listener: l, record: r, crashed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return e, s.put("servers", name, map[string]any{
		"service": plainService, "addr": l.Addr().String(), "zone": "a", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		"stage": "mixed", "models": []string{}, "seq": 1,
	})
}

// crash ends the engine with all its connections.
func (e *earlyEngine) crash() {
	close(e.crashed)
	_ = e.listener.Close() // It is closed in any case.
}

func (e *earlyEngine) serve(c *net.TCPConn) {
	// The kernel resets a connection that is closed with bytes unread.
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := q.Header.Get("Request-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: stamp-%s\r\nConnection: close\r\n\r\n", id, id)
	answer := strings.Repeat("x", answerBytes)
	if _, err := io.WriteString(c, head+answer[:brokenOffBytes]); err != nil {
		return
	}
	select {
	case <-time.After(200 * time.Millisecond):
	case <-e.crashed:
		e.record.add("the engine crashes after %d of %d bytes of its answer to %s", brokenOffBytes, answerBytes, id)
		return
	}
	if _, err := io.WriteString(c, answer[brokenOffBytes:]); err != nil {
		return
	}
	// It reads the rest of the request, and then ends the connection in good order.
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, longBodyBytes))
	_ = c.CloseWrite() // A caller that has left needs no end.
	_, _ = io.Copy(io.Discard, c)
}

// playReset sends bookings with long bodies to engines that answer before they have read
// them, one of which crashes in the middle of its answers. The rule MIXED is broken if a
// client gets such an answer as a whole one.
func playReset(r *record, trouble bool) (broken bool, err error) {
	const callers = 8
	d, err := newDeployment(r, tenant{name: "crew", key: "key-crew"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	var first *earlyEngine
	for i := range resetEngines {
		e, err := newEarlyEngine(d.store, r, fmt.Sprintf("i-app-%d", i+1))
		if err != nil {
			return false, err
		}
		if i == 0 {
			first = e
		}
	}
	if err := d.startGateways("a"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	var mixed, whole, other atomic.Int64
	for i := range callers {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := bookLong(d, fmt.Sprintf("book-%d-%d", i, n))
				switch {
				case a.err == nil && a.status == 200 && len(a.body) == answerBytes:
					whole.Add(1)
				case a.err == nil && a.status == 200:
					mixed.Add(1)
					r.add("book-%d-%d answered: %v, where the whole answer has %d bytes", i, n, a, answerBytes)
				default:
					other.Add(1)
				}
			}
		})
	}
	for i := range resetCrashes {
		time.Sleep(resetCrashGap - resetDown)
		if !trouble {
			continue
		}
		first.crash()
		d.store.remove("servers", fmt.Sprintf("i-app-1%s", strings.Repeat("x", i)))
		time.Sleep(resetDown)
		if first, err = newEarlyEngine(d.store, r, fmt.Sprintf("i-app-1%s", strings.Repeat("x", i+1))); err != nil {
			return false, err
		}
	}
	close(stop)
	running.Wait()
	r.add("bookings: %d whole, %d failed or refused; %d incomplete, but looked complete", whole.Load(), other.Load(), mixed.Load())
	if whole.Load() == 0 {
		return false, errors.New("no booking was served")
	}
	return mixed.Load() > 0, nil
}

// bookLong sends a booking with a long body.
func bookLong(d *deployment, id string) answer {
	c, err := dial(d.gateways[0].client)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	return c.do(request{method: "POST", path: "/book/1", id: id, body: strings.Repeat("b", longBodyBytes), header: map[string]string{"Authorization": "Bearer key-crew", "Deadline-Ms": "1500"}}, 3*time.Second)
}
