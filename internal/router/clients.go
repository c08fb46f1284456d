package router

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Bounds towards backend servers.
const (
	dialTimeout      = 500 * time.Millisecond
	backendConns     = 512
	backendIdle      = 10 * time.Second
	maxAnswerBytes   = 32 << 20
	writeTimeout     = 10 * time.Second
	maxClientEntries = 8192
)

// dialError is a failure before any byte was written.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// unsent reports whether an error of a call means that no byte of it left.
func unsent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// clients holds one HTTP client for each backend server address.
type clients struct {
	credentials map[string]string

	mu    sync.Mutex // guards the field below
	hosts map[string]*fasthttp.HostClient
}

func newClients(credentials []Credential) *clients {
	c := &clients{credentials: make(map[string]string), hosts: make(map[string]*fasthttp.HostClient)}
	for _, credential := range credentials {
		c.credentials[credential.Backend] = credential.Secret
	}
	return c
}

// host returns the pooled client for an address.
func (c *clients) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		if len(c.hosts) >= maxClientEntries {
			clear(c.hosts)
		}
		h = newHost(address, dial)
		c.hosts[address] = h
	}
	return h
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}

// newHost returns a client that never repeats a request by itself.
func newHost(address string, dial fasthttp.DialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          dial,
		MaxConns:                      backendConns,
		MaxIdleConnDuration:           backendIdle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		MaxResponseBodySize:           maxAnswerBytes,
		WriteTimeout:                  writeTimeout,
		DisableHeaderNamesNormalizing: false,
	}
}

// once returns a client with one fresh connection, so that a call is not sent
// on a connection that the server has closed.
func (c *clients) once(address string) (*fasthttp.HostClient, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, fmt.Errorf("router: backend %s: %w", address, err)
	}
	used := false
	return newHost(address, func(string) (net.Conn, error) {
		if used {
			return nil, &dialError{err: net.ErrClosed}
		}
		used = true
		return conn, nil
	}), nil
}

// authorize shows the system's own credential to a backend server.
func (c *clients) authorize(req *fasthttp.Request, backend string) {
	if secret, ok := c.credentials[backend]; ok {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+secret)
	}
}

// forwarded are the callers' headers that backend servers see.
var forwarded = []string{
	fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage,
	"Traceparent", "Tracestate",
}

func forwardHeaders(from, to *fasthttp.Request) {
	for _, name := range forwarded {
		if value := from.Header.Peek(name); len(value) > 0 {
			to.Header.SetBytesV(name, value)
		}
	}
}
