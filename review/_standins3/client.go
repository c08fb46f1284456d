package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Keys of the two teams.
const (
	apiKey      = "key"
	otherAPIKey = "otherkey"
)

// request is a request of a client for a stream.
type request struct {
	id, path, prefix string
	// key is apiKey unless it is set.
	key          string
	inputTokens  int
	outputTokens int
	bodyBytes    int
	deadline     time.Duration
	// patience is how long the client waits for the first event, and between two.
	patience time.Duration
}

// result is what a client has seen.
type result struct {
	status int
	// events is the number of events that have arrived.
	events int
	// whole is set if the response was complete.
	whole bool
	took  time.Duration
	err   error
}

// String implements fmt.Stringer.
func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %d events, %v, after %s", r.status, r.events, r.err, r.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("status %d, %d events, whole %t, after %s", r.status, r.events, r.whole, r.took.Round(time.Millisecond))
}

// ask sends a request on a new connection and reads the response to its end.
func ask(address string, q request) (x result) {
	began := time.Now()
	defer func() { x.took = time.Since(began) }()
	const connectTime = time.Second
	c, err := net.DialTimeout("tcp4", address, connectTime)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = c.Close() }()
	end := began.Add(q.deadline)
	wait := func() error {
		next := time.Now().Add(q.patience)
		if next.After(end) {
			next = end
		}
		return c.SetReadDeadline(next)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: %s\r\nToken-Count: %d,%d\r\nPrefix-Hash: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		q.path, host, q.id, model, q.inputTokens, q.outputTokens, q.prefix, q.deadline.Milliseconds(), cmp.Or(q.key, apiKey), q.bodyBytes)
	if _, err := io.WriteString(c, head+strings.Repeat("x", q.bodyBytes)); err != nil {
		return result{err: err}
	}
	if err := wait(); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	x.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			x.events++
			if err := wait(); err != nil {
				x.err = err
				return x
			}
		}
	}
	x.err = lines.Err()
	x.whole = x.err == nil
	return x
}
