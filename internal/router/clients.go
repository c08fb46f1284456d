package router

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/valyala/fasthttp"
)

// Limits and timeouts for connections to backend servers.
const (
	dialTimeout         = 500 * time.Millisecond
	maxConnsPerBackend  = 512
	backendIdleTimeout  = 10 * time.Second
	maxAnswerBytes      = 8 << 20
	backendWriteTimeout = 10 * time.Second
	maxHostClients      = 8192
	// maxHeldAnswerBytes bounds the bytes of answers that are read whole, of all calls in
	// progress together.
	maxHeldAnswerBytes = 12 << 20
)

// dialError is a failure to connect, before any byte of the request was
// written.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// notSent reports whether err means that no byte of the request was written.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns)
}

// clients holds one HTTP client per backend server address.
type clients struct {
	credentials map[string]string
	// held bounds the memory of answers that are read whole.
	held *buffer.Budget

	mu    sync.Mutex // guards the field below
	hosts map[string]*fasthttp.HostClient
}

func newClients(credentials []Credential) *clients {
	c := &clients{credentials: make(map[string]string), held: buffer.NewBudget(maxHeldAnswerBytes), hosts: make(map[string]*fasthttp.HostClient)}
	for _, credential := range credentials {
		c.credentials[credential.Backend] = credential.Secret
	}
	return c
}

// hostClient returns the shared client for an address.
func (c *clients) hostClient(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[address]
	if h == nil {
		if len(c.hosts) >= maxHostClients {
			clear(c.hosts)
		}
		h = newHostClient(address, dial)
		c.hosts[address] = h
	}
	return h
}

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return &statusConn{Conn: conn}, nil
}

// newHostClient returns a client that never retries a request by itself.
func newHostClient(address string, dial fasthttp.DialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          dial,
		MaxConns:                      maxConnsPerBackend,
		MaxIdleConnDuration:           backendIdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		MaxResponseBodySize:           maxAnswerBytes,
		WriteTimeout:                  backendWriteTimeout,
		DisableHeaderNamesNormalizing: false,
	}
}

// call sends req, releases it, and returns the response, whose body is open if
// stream is set. It returns errEngineLost if lost is closed first; the call
// then continues in the background until its deadline.
func (c *clients) call(address string, req *fasthttp.Request, stream bool, deadline time.Time, lost <-chan struct{}) (*fasthttp.Response, error) {
	resp := fasthttp.AcquireResponse()
	host := c.hostClient(address)
	done := make(chan struct{})
	var err error
	go func() {
		defer close(done)
		if stream {
			resp.StreamBody = true
			err = host.DoDeadline(req, resp, deadline)
		} else {
			err = c.doWhole(host, req, resp, deadline)
		}
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
		return nil, errEngineLost
	}
}

// doWhole makes a call and reads the whole body of its response. The library would
// allocate a body by the length that the response announces, and bound each by itself.
func (c *clients) doWhole(client *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	resp.StreamBody = true
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return err
	}
	body, err := c.readBody(resp)
	if err != nil {
		// What is left of the body must not be read as the next response.
		resp.SetConnectionClose()
	}
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("response body: %w", err)
	}
	resp.SetBodyRaw(body)
	return nil
}

// readBody reads the body of a response to its end. The budget counts the body while it
// is read: the answers that have no end are not held for longer.
func (c *clients) readBody(resp *fasthttp.Response) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return resp.Body(), nil
	}
	b := buffer.New(c.held, maxAnswerBytes)
	defer b.Release()
	if err := b.ReadAll(stream); err != nil {
		return nil, err
	}
	body, announced := b.Bytes(), resp.Header.ContentLength()
	if announced >= 0 && len(body) != announced {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// singleUse returns a client with one new connection, so that the call is not
// sent on a pooled connection that the server has already closed.
func (c *clients) singleUse(address string) (*fasthttp.HostClient, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, fmt.Errorf("router: backend %s: %w", address, err)
	}
	used := false
	return newHostClient(address, func(string) (net.Conn, error) {
		if used {
			return nil, &dialError{err: net.ErrClosed}
		}
		used = true
		return conn, nil
	}), nil
}

// authorize adds the router's credential for a backend server to req.
func (c *clients) authorize(req *fasthttp.Request, backend string) {
	if secret, ok := c.credentials[backend]; ok {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+secret)
	}
}

// forwardedHeaders are the request headers that are forwarded to backend
// servers.
var forwardedHeaders = []string{
	fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage,
	"Traceparent", "Tracestate",
}

func forwardHeaders(from, to *fasthttp.Request) {
	for _, name := range forwardedHeaders {
		if value := from.Header.Peek(name); len(value) > 0 {
			to.Header.SetBytesV(name, value)
		}
	}
}

// Paths of an engine's control API.
const (
	loadPath   = "/v1/load"
	ordersPath = "/v1/orders"
)

// exchange makes a control request to an engine and returns the response body. The
// response has no ID, so the request has a connection of its own.
func (c *clients) exchange(e config.Engine, method, path string, body []byte, timeout time.Duration) ([]byte, error) {
	client, err := c.singleUse(e.Address)
	if err != nil {
		return nil, err
	}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + e.Address + path)
	c.authorize(req, e.Name)
	req.SetBodyRaw(body)
	if err := c.doWhole(client, req, resp, time.Now().Add(timeout)); err != nil {
		return nil, fmt.Errorf("router: engine %s: %w", e.Name, err)
	}
	if resp.StatusCode() >= fasthttp.StatusMultipleChoices {
		return nil, fmt.Errorf("router: engine %s: status %d", e.Name, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}
