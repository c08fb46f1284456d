package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Sizes of the case.
const (
	// longBodyBytes is the size of a request's body, within max_body_bytes.
	longBodyBytes = 4 << 20
	// answerBytes is the size of a whole answer, brokenOffBytes what a crash leaves of it.
	answerBytes    = 800
	brokenOffBytes = 300
	// receiveBufferBytes is the size of the engine's receive buffers, so that an engine
	// that does not read blocks the writer.
	receiveBufferBytes = 16 << 10
)

// earlyEngine is an engine of the plain service that answers a request before it has read
// a long body. Its answers have no length and end with their connections.
type earlyEngine struct {
	address string
	record  *record
	// crashes makes the engine reset each connection in the middle of its answer.
	crashes bool
}

func newEarlyEngine(s *store, r *record, crashes bool) (*earlyEngine, error) {
	l, err := listenSmall()
	if err != nil {
		return nil, err
	}
	e := &earlyEngine{address: l.Addr().String(), record: r, crashes: crashes}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return e, s.put("servers", "i-app-1", map[string]any{
		"service": plainService, "addr": e.address, "zone": "a", "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		"stage": "mixed", "models": []string{}, "seq": 1,
	})
}

// listenSmall listens on a free port, with small receive buffers.
func listenSmall() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
}

func (e *earlyEngine) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	q, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := q.Header.Get("Request-Id")
	e.record.add("the engine runs %s, whose body has %d bytes", id, q.ContentLength)
	time.Sleep(30 * time.Millisecond)
	answer := strings.Repeat("x", answerBytes)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nStamp: stamp-%s\r\nConnection: close\r\n\r\n", id, id)
	if e.crashes {
		answer = answer[:brokenOffBytes]
	}
	if _, err := io.WriteString(c, head+answer); err != nil {
		return
	}
	time.Sleep(30 * time.Millisecond)
	if e.crashes {
		// The kernel resets a connection whose process ends with bytes unread.
		e.record.add("the engine's connection of %s is reset after %d of %d bytes", id, brokenOffBytes, answerBytes)
		_ = c.SetLinger(0) // The connection is closed in any case.
		return
	}
	// It reads the rest of the request, and then ends the connection in good order.
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, longBodyBytes))
	_ = c.CloseWrite() // A caller that has left needs no end.
	_, _ = io.Copy(io.Discard, c)
}

// playReset sends bookings with long bodies to an engine that answers before it has read
// them, and whose connections are reset in the middle of the answer. The rule MIXED is
// broken if a client gets such an answer as a whole one.
func playReset(r *record, trouble bool) (broken bool, err error) {
	const bookings = 20
	d, err := newDeployment(r, tenant{name: "crew", key: "key-crew"})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	if _, err := newEarlyEngine(d.store, r, trouble); err != nil {
		return false, err
	}
	if err := d.startGateways("a"); err != nil {
		return false, err
	}
	mixed := 0
	for i := range bookings {
		c, err := dial(d.gateways[0].client)
		if err != nil {
			return false, err
		}
		q := request{method: "POST", path: "/book/1", id: fmt.Sprintf("book-%d", i), body: strings.Repeat("b", longBodyBytes), header: map[string]string{"Authorization": "Bearer key-crew", "Deadline-Ms": "1500"}}
		a := c.do(q, 3*time.Second)
		_ = c.conn.Close()
		r.add("%s answered: %v", q.id, a)
		whole := len(a.body) == answerBytes
		switch {
		case a.err == nil && a.status == 200 && !whole:
			mixed++
		case !trouble && (a.err != nil || a.status != 200):
			return false, fmt.Errorf("%s was not served: %v", q.id, a)
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.add("%d of %d answers were incomplete, but looked complete", mixed, bookings)
	return mixed > 0, nil
}
