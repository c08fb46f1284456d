package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path, key, prefix string
	header                        map[string]string
	deadline                      time.Duration
	body                          string
}

// answer is what a client saw of a request.
type answer struct {
	request
	vm     string
	sentAt time.Time
	took   time.Duration
	status int
	stamp  string
	body   string
	// whole is set if the answer was complete.
	whole bool
	err   error
}

const clientHost = "jepu9.example"

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// bytes returns the request as it is sent.
func (r *request) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, clientHost, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return []byte(b.String())
}

// client sends requests one after the other on a kept connection to one VM.
type client struct {
	record *record
	vm     *vm

	mu     sync.Mutex // held while a request is under way
	conn   net.Conn
	reader *bufio.Reader
}

// send sends a request and reads the answer. The connection is kept if the answer allows
// it.
func (c *client) send(r request) answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := answer{request: r, vm: c.vm.name, sentAt: time.Now()}
	a.err = c.exchange(&a)
	a.took = time.Since(a.sentAt)
	c.record.add("request %s %s at %s: status %d, whole %t, %v, after %d ms", r.id, r.path, c.vm.name, a.status, a.whole, a.err, a.took.Milliseconds())
	return a
}

func (c *client) exchange(a *answer) (err error) {
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp4", c.vm.entry(), time.Second); err != nil {
			c.conn = nil
			return err
		}
		c.reader = bufio.NewReader(c.conn)
	}
	// The answer may come a little later than the deadline.
	if err := c.conn.SetDeadline(time.Now().Add(a.deadline + 2*time.Second)); err != nil {
		return err
	}
	if _, err := c.conn.Write(a.bytes()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.stamp = resp.StatusCode, resp.Header.Get("Stamp")
	raw, err := io.ReadAll(resp.Body)
	a.body = string(raw)
	if err != nil {
		return err
	}
	a.whole = true
	if resp.Close {
		c.close()
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
