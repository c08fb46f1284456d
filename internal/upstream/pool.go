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
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/socket"
	"golang.org/x/sys/unix"
)

// ErrUnsent means that no byte of a call was written, so that it cannot have run.
var ErrUnsent = errors.New("call was not sent")

// ErrNotPermitted means that Request.Permit returned false.
var ErrNotPermitted = errors.New("call is no longer permitted")

// ErrMismatchedResponse means that a connection carried only responses to other
// calls.
var ErrMismatchedResponse = errors.New("response to another call")

// ErrTooLarge means that a response, or its head, exceeds its size limit.
var ErrTooLarge = buffer.ErrTooLarge

// ErrInvalidStatus means that a response has a status that does not exist.
var ErrInvalidStatus = errors.New("invalid status of a response")

const (
	// readBufferBytes fits the head of a response and several events of a stream.
	readBufferBytes = 8 << 10
	// maxHeadBytes bounds the head of a response. It is the largest head that callers
	// may send, too.
	maxHeadBytes = 64 << 10
	// maxInlineWriteBytes bounds a call that is written before its response is
	// read. It fits a socket's send buffer, so that the write doesn't block.
	maxInlineWriteBytes = 4 << 10
	// maxMismatchedResponses bounds the responses read for one call until one
	// matches it.
	maxMismatchedResponses = 3
	// maxMismatchedBodyBytes bounds the body that is discarded of such a response.
	maxMismatchedBodyBytes = 1 << 20
	// idleTimeoutMargin is subtracted from the idle timeout that a server
	// announces, so that no call is sent while the server closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
)

// Options configure a Pool.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the server announces
	// no timeout.
	IdleTimeout time.Duration
	// MaxIdlePerAddress bounds the idle connections to one address.
	MaxIdlePerAddress int
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as dead. The keep-alive probes are timed to match. During a call
	// with a later deadline, the deadline takes its place.
	TCPUserTimeout time.Duration
}

// Pool is a pool of connections by address. It is safe for concurrent use.
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
				err = setUserTimeout(fd, o.TCPUserTimeout)
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
	// Target is the path and query as sent in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxConnIdle bounds the idle time of a pooled connection that the call may
	// use; zero means no bound.
	MaxConnIdle time.Duration
	// Matches reports whether a response belongs to the call; nil accepts any. It is
	// told whether the connection has carried an earlier call, whose response may have
	// been sent twice.
	Matches func(h http.Header, reused bool) bool
	// NewConn makes the call on a new connection.
	NewConn bool
	// Permit is called right before the call is written, and must return true: the
	// process may have been paused since the call was decided, or the connection may
	// have taken long to open. Nil permits the call.
	Permit func() bool
}

// Response is the head of a response. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the size of the body in bytes, or -1 if it is not announced.
	ContentLength int64
	// EndsWithConn is set if the body has neither a length nor chunks and ends with its
	// connection.
	EndsWithConn bool
	Body         io.ReadCloser
}

type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit bounds what reader reads while it reads a head.
	limit    *limitedReader
	lastUsed time.Time
	// reused is set once the connection has carried a call.
	reused bool
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// extended is set while the deadline of a call takes the place of TCPUserTimeout.
	extended bool
}

// Do makes a call. After any error other than ErrUnsent, the call may have run.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	x := &exchange{pool: p, address: address, conn: c, stopCancel: stop}
	resp, err := x.run(r)
	if err != nil {
		x.closeConn()
		if ctx.Err() != nil {
			err = fmt.Errorf("%w: %w", ctx.Err(), err)
		}
		return nil, err
	}
	return resp, nil
}

// acquire returns a pooled connection that is still reusable, or a new one.
func (p *Pool) acquire(ctx context.Context, address string, r *Request) (*conn, error) {
	for !r.NewConn {
		c := p.pop(address)
		if c == nil {
			break
		}
		idle := time.Since(c.lastUsed)
		if idle < c.idleTimeout && (r.MaxConnIdle == 0 || idle < r.MaxConnIdle) && c.reusable() && p.extendTimeout(ctx, c) == nil {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	limit := &limitedReader{r: nc}
	c := &conn{Conn: nc, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit, idleTimeout: p.options.IdleTimeout}
	if err := p.extendTimeout(ctx, c); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// extendTimeout lets the server be silent until the deadline of a call: it may leave the rest
// of the call unread while it works, or stop for a moment, and the kernel cannot tell that
// from a dead connection.
func (p *Pool) extendTimeout(ctx context.Context, c *conn) error {
	deadline, ok := ctx.Deadline()
	if !ok || time.Until(deadline) <= p.options.TCPUserTimeout {
		return nil
	}
	c.extended = true
	return c.setTimeout(time.Until(deadline), false)
}

// restoreTimeout undoes extendTimeout.
func (p *Pool) restoreTimeout(c *conn) error {
	if !c.extended {
		return nil
	}
	c.extended = false
	return c.setTimeout(p.options.TCPUserTimeout, true)
}

// setTimeout sets how long the server may leave sent bytes unacknowledged, and whether it
// is probed while there are none.
func (c *conn) setTimeout(timeout time.Duration, probe bool) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("connection: %w", err)
	}
	keepAlive := 0
	if probe {
		keepAlive = 1
	}
	if cerr := raw.Control(func(fd uintptr) {
		if err = setUserTimeout(fd, timeout); err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, keepAlive)
		}
	}); cerr != nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("connection: setting its timeout: %w", err)
	}
	return nil
}

func setUserTimeout(fd uintptr, d time.Duration) error {
	return unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// limitedReader reads from r. While it is limited, it fails with ErrTooLarge once left
// bytes have been read.
type limitedReader struct {
	r       io.Reader
	limited bool
	left    int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, fmt.Errorf("%w: head", ErrTooLarge)
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ReadAll reads a body of at most limit bytes to its end. It returns ErrTooLarge for a
// longer one, never a part of it.
func ReadAll(body io.Reader, limit int) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && len(raw) > limit {
		err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	if err != nil {
		return nil, err
	}
	return raw, nil
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

// put returns a connection to the pool.
func (p *Pool) put(address string, c *conn) {
	c.lastUsed, c.reused = time.Now(), true
	if p.restoreTimeout(c) != nil {
		// The connection has failed.
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if p.closed || len(list) >= p.options.MaxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[address] = append(list, c)
}

// CloseExpired closes the connections that have exceeded their idle timeout.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.lastUsed) < c.idleTimeout {
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

// Close closes the idle connections; connections returned later are closed, too.
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

// reusable reports whether a pooled connection is open and has no unread byte.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	return socket.Peek(sc) == socket.Quiet
}

// exchange is one call on one connection.
type exchange struct {
	pool       *Pool
	address    string
	conn       *conn
	stopCancel func() bool
	// writeDone is closed when the write of the call has ended; writeErr, which is set
	// before, is nil if it wrote the whole call.
	writeDone chan struct{}
	writeErr  error
	// mismatched is set once a response to another call was read.
	mismatched bool
}

func (x *exchange) run(r *Request) (*Response, error) {
	head := encode(r)
	x.writeDone = make(chan struct{})
	if r.Permit != nil && !r.Permit() {
		close(x.writeDone)
		return nil, fmt.Errorf("%w: %w", ErrUnsent, ErrNotPermitted)
	}
	if len(head)+len(r.Body) <= maxInlineWriteBytes {
		n, err := x.conn.Write(append(head, r.Body...))
		x.writeErr = err
		close(x.writeDone)
		if err != nil && n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
		}
	} else {
		n, err := x.conn.Write(head)
		if err != nil {
			x.writeErr = err
			close(x.writeDone)
			if n == 0 {
				return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
			}
			return nil, err
		}
		go func() {
			_, x.writeErr = x.conn.Write(r.Body)
			close(x.writeDone)
		}()
	}
	return x.read(r)
}

func (x *exchange) read(r *Request) (*Response, error) {
	for range maxMismatchedResponses {
		x.conn.limit.limited, x.conn.limit.left = true, maxHeadBytes
		resp, err := http.ReadResponse(x.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, err
		}
		x.conn.limit.limited = false
		if !IsStatus(resp.StatusCode) {
			return nil, fmt.Errorf("%w: %q", ErrInvalidStatus, resp.Status)
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header, x.conn.reused || x.mismatched) {
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, EndsWithConn: endsWithConn(resp),
				Body: &body{ReadCloser: resp.Body, x: x, reusable: x.canReuse(r, resp), endsWithConn: endsWithConn(resp)},
			}, nil
		}
		x.mismatched = true
		// What follows an incomplete body would be read as a head.
		if err := discardBody(resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMismatchedResponse, err)
		}
	}
	return nil, ErrMismatchedResponse
}

// IsStatus reports whether a number is a status of HTTP. Parsers accept others, and some
// servers in trouble send them.
func IsStatus(code int) bool { return code >= 100 && code <= 599 }

// discardBody reads a body of at most maxMismatchedBodyBytes to its end.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxMismatchedBodyBytes+1))
	if err == nil && n > maxMismatchedBodyBytes {
		err = ErrTooLarge
	}
	return err
}

func endsWithConn(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// canReuse reports whether the connection may carry another call after a response,
// and sets its idle timeout.
func (x *exchange) canReuse(r *Request, resp *http.Response) bool {
	// The responses of a server that sends no IDs cannot be told apart on a used
	// connection.
	if r.Matches != nil && !r.Matches(resp.Header, true) {
		return false
	}
	if resp.Close || x.mismatched || endsWithConn(resp) {
		return false
	}
	x.conn.idleTimeout = x.pool.options.IdleTimeout
	for _, v := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		if s, ok := strings.CutPrefix(strings.TrimSpace(v), "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil {
				x.conn.idleTimeout = time.Duration(n)*time.Second - idleTimeoutMargin
			}
		}
	}
	return x.conn.idleTimeout > 0
}

// connFailure returns the error of a connection that failed before the server ended it.
// It is called once a read has met the end of the connection, and ends the write of the
// call. The kernel reports a failure only once, to the write or to the read, and the end
// of the stream from then on.
func (x *exchange) connFailure() error {
	// If this fails, the connection has been closed, which ends the write, too.
	_ = x.conn.SetWriteDeadline(time.Now())
	<-x.writeDone
	switch {
	case errors.Is(x.writeErr, os.ErrDeadlineExceeded), errors.Is(x.writeErr, syscall.EPIPE):
		// The write was still blocked, or failed after the server had ended the
		// connection.
		return nil
	}
	return x.writeErr
}

func (x *exchange) closeConn() {
	x.stopCancel()
	_ = x.conn.Close()
}

// release returns the connection to the pool after a complete response.
func (x *exchange) release() {
	select {
	case <-x.writeDone:
	default:
		x.closeConn()
		return
	}
	if !x.stopCancel() || x.writeErr != nil || x.conn.reader.Buffered() > 0 {
		_ = x.conn.Close()
		return
	}
	x.pool.put(x.address, x.conn)
}

// body is the body of a response. Closing it releases the connection.
type body struct {
	io.ReadCloser
	x            *exchange
	reusable     bool
	endsWithConn bool
	closed       bool
	// atEOF is set once the whole body was read.
	atEOF bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if b.endsWithConn {
		if err := b.x.connFailure(); err != nil {
			return n, fmt.Errorf("%w: writing the call: %w", io.ErrUnexpectedEOF, err)
		}
	}
	b.atEOF = true
	return n, io.EOF
}

// Close ends the call. The connection is closed unless the response was read to its
// end, so that the server notices that the call was abandoned.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.atEOF && b.reusable {
		b.x.release()
	} else {
		b.x.closeConn()
	}
	return nil
}

// encode returns the request line and the headers.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Header values come from a parser, so they contain no line breaks.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
