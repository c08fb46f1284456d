package router

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
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

// call makes a request, which it releases, and returns the answer, with an open
// body for a stream. It returns errLost when lost is closed first; the call then
// ends in the background by its deadline.
func (c *clients) call(address string, req *fasthttp.Request, stream bool, deadline time.Time, lost <-chan struct{}) (*fasthttp.Response, error) {
	resp := fasthttp.AcquireResponse()
	resp.StreamBody = stream
	host := c.host(address)
	done := make(chan struct{})
	var err error
	go func() {
		defer close(done)
		err = host.DoDeadline(req, resp, deadline)
	}()
	select {
	case <-done:
		fasthttp.ReleaseRequest(req)
		if err != nil {
			_ = resp.CloseBodyStream()
			return nil, fmt.Errorf("router: backend %s: %w", address, err)
		}
		return resp, nil
	case <-lost:
		go func() {
			<-done
			fasthttp.ReleaseRequest(req)
			_ = resp.CloseBodyStream()
		}()
		return nil, errLost
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

// Paths of engines beside those of requests.
const (
	loadPath   = "/v1/load"
	ordersPath = "/v1/orders"
)

// exchange makes a short call to an engine and returns the body of its answer.
func (c *clients) exchange(e config.Engine, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + e.Address + path)
	c.authorize(req, e.Name)
	req.SetBodyRaw(body)
	if err := c.host(e.Address).DoTimeout(req, resp, timeout); err != nil {
		return nil, fmt.Errorf("router: engine %s: %w", e.Name, err)
	}
	if resp.StatusCode() >= fasthttp.StatusMultipleChoices {
		return nil, fmt.Errorf("router: engine %s: status %d", e.Name, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
