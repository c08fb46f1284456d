package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"
)

// client is a connection of a client.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c)}, nil
}

// request is a request of a client.
type request struct {
	method, path, id, body string
	header                 map[string]string
}

// encode returns the request as it is sent.
func (q request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n", q.method, q.path, q.id)
	names := make([]string, 0, len(q.header))
	for name := range q.header {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, q.header[name])
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// answer is what a client has got for a request. err is set if it is no complete answer.
type answer struct {
	status int
	stamp  string
	body   string
	closes bool
	// leaving is set if the answer says that its engine leaves.
	leaving bool
	err     error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, stamp %q, %d bytes, error: %v", a.status, a.stamp, len(a.body), a.err)
}

// do sends a request and reads its answer, for at most timeout.
func (c *client) do(q request, timeout time.Duration) answer {
	if err := c.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(c.conn, q.encode()); err != nil {
		return answer{err: fmt.Errorf("write: %w", err)}
	}
	return c.read(q.method)
}

// read reads an answer.
func (c *client) read(method string) answer {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: fmt.Errorf("head: %w", err)}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("Stamp"), body: string(body), closes: resp.Close, leaving: resp.Header.Get("Server-Leaving") != ""}
	if err != nil {
		a.err = fmt.Errorf("body: %w", err)
	}
	return a
}
