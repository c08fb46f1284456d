package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUnsent means that no byte of a call was written, so that it cannot have run.
var ErrUnsent = errors.New("call was not sent")

// ErrMismatchedResponse means that a connection carried only answers to other calls.
var ErrMismatchedResponse = errors.New("answer to another call")

const (
	// readBuffer holds the head of an answer and several events of a stream, in bytes.
	readBuffer = 8 << 10
	// inlineWrite is the largest call written before its answer is awaited, in
	// bytes; it fits a socket's send buffer.
	inlineWrite = 4 << 10
	// foreignLimit bounds the answers to other calls that are skipped.
	foreignLimit = 3
	// foreignBytes bounds the body of such an answer.
	foreignBytes = 1 << 20
	// idleMargin is taken off the idle time that a server announces, so that a
	// call does not cross its close.
	idleMargin = 500 * time.Millisecond
)

// Options shape a Pool.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection is kept where the server names no time.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the idle connections to one address.
	MaxIdlePerAddress int
	// TCPUserTimeout is after how long without an acknowledgement of sent bytes a
	// connection counts as dead.
	TCPUserTimeout time.Duration
}

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex // guards the fields below
	idle   map[string][]*conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	p := &Pool{options: o, idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: o.TCPUserTimeout / 2, Interval: o.TCPUserTimeout / 4, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if cerr := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.TCPUserTimeout.Milliseconds()))
			}); cerr != nil {
				return cerr
			}
			return err
		},
	}
	return p
}

// Request is one call.
type Request struct {
	Method string
	// Target is the path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxConnIdle calls use a kept connection only if it was used within this time;
	// zero takes any.
	MaxConnIdle time.Duration
	// Matches reports whether an answer belongs to the call; nil takes any.
	Matches func(http.Header) bool
}

// Response is the head of an answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the size of the body in bytes, or -1 where it is not announced.
	ContentLength int64
	Body   io.ReadCloser
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	used   time.Time
	// life is how long the connection may stay idle.
	life time.Duration
}

// Do makes a call. An error that is not ErrUnsent means that it may have run.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.take(ctx, address, r.MaxConnIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{pool: p, address: address, conn: c, stop: stop}
	resp, err := x.run(r)
	if err != nil {
		x.abandon()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, err
	}
	return resp, nil
}

// take returns a kept connection that looks sound, or a new one.
func (p *Pool) take(ctx context.Context, address string, fresh time.Duration) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		idle := time.Since(c.used)
		if idle < c.life && (fresh == 0 || idle < fresh) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer), life: p.options.IdleTimeout}, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for another call.
func (p *Pool) put(address string, c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if p.closed || len(list) >= p.options.MaxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[address] = append(list, c)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.used) < c.life {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// Close closes the idle connections and keeps no others.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = make(map[string][]*conn)
}

// quiet reports whether a kept connection is open and has no unread byte.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	}); err != nil {
		return false
	}
	return quiet
}

// exchange is one call on one connection.
type exchange struct {
	pool    *Pool
	address string
	conn    *conn
	stop    func() bool
	// wrote is closed once the call is written; whole tells that all of it was.
	wrote chan struct{}
	whole bool
	// skipped is set once an answer to another call was read.
	skipped bool
}

func (x *exchange) run(r *Request) (*Response, error) {
	head := encode(r)
	x.wrote = make(chan struct{})
	if len(head)+len(r.Body) <= inlineWrite {
		n, err := x.conn.Write(append(head, r.Body...))
		x.whole = err == nil
		close(x.wrote)
		if err != nil && n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
		}
	} else {
		n, err := x.conn.Write(head)
		if err != nil {
			close(x.wrote)
			if n == 0 {
				return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
			}
			return nil, err
		}
		go func() {
			// A failed write shows in the answer's absence.
			_, err := x.conn.Write(r.Body)
			x.whole = err == nil
			close(x.wrote)
		}()
	}
	return x.read(r)
}

func (x *exchange) read(r *Request) (*Response, error) {
	for range foreignLimit {
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength,
				Body: &body{ReadCloser: resp.Body, x: x, kept: x.keeps(resp)},
			}, nil
		}
		x.skipped = true
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, foreignBytes)); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMismatchedResponse, err)
		}
	}
	return nil, ErrMismatchedResponse
}

// keeps reports whether the connection may carry another call after an answer,
// and notes how long it may be idle.
func (x *exchange) keeps(resp *http.Response) bool {
	if resp.Close || x.skipped || (resp.ContentLength < 0 && len(resp.TransferEncoding) == 0) {
		return false
	}
	x.conn.life = x.pool.options.IdleTimeout
	for _, v := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(v), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				x.conn.life = time.Duration(n)*time.Second - idleMargin
			}
		}
	}
	return x.conn.life > 0
}

func (x *exchange) abandon() {
	x.stop()
	_ = x.conn.Close()
}

// finish keeps the connection after a whole answer.
func (x *exchange) finish() {
	select {
	case <-x.wrote:
	default:
		x.abandon()
		return
	}
	if !x.stop() || !x.whole || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.address, x.conn)
}

// body reads an answer and gives the connection back at its end.
type body struct {
	io.ReadCloser
	x    *exchange
	kept bool
	done bool
	end  bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.end = true
	}
	return n, err
}

// Close ends the call: the server sees the connection go unless the answer was
// read to its end.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	if b.end && b.kept {
		b.x.finish()
	} else {
		b.x.abandon()
	}
	return nil
}

// encode writes the request line and the headers.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Header values were parsed, so that they hold no line breaks.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
