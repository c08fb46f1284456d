package inbound

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/socket"
)

const (
	// backlogTimeout is how long a listener that is being closed waits for another
	// connection. Those in the backlog of the kernel are accepted without delay.
	backlogTimeout = 50 * time.Millisecond
	// stopCheckPeriod is the interval between two looks at the connections that are
	// left.
	stopCheckPeriod = 10 * time.Millisecond
	// maxSilentTime is how long a new connection may stay without a request while the
	// process stops.
	maxSilentTime = time.Second
)

// Listener is a listener of an http.Server, whose hook Track must be set. Its method
// Stop takes the place of http.Server.Shutdown, which closes connections whose request
// it has just read, and leaves those that only the kernel has accepted to be reset.
type Listener struct {
	*net.TCPListener
	limits  Limits
	closing atomic.Bool
	// refusedAt is when a connection was refused last, in Unix nanoseconds.
	refusedAt atomic.Int64
	// done is set once nothing is accepted any more.
	done atomic.Bool

	mu    sync.Mutex // guards the field below
	conns map[*conn]struct{}
}

// conn is a connection of a caller.
type conn struct {
	*net.TCPConn
	listener   *Listener
	acceptedAt time.Time
	state      atomic.Int32
	// usage is unread until bytes of a request have been read, and again once its
	// response is complete. It never leaves claimed.
	usage atomic.Int32
	// phase says whether the connection may be closed to make room for others.
	phase atomic.Int32
	// head counts the head that is being read. Only the goroutine that reads it uses it.
	head headScanner
	// rest holds bytes that were read together with a head and follow it, restLength their
	// number.
	rest       []byte
	restLength atomic.Int64
	// headBeganAt is when the connection began to wait for a head, or for its rest once
	// that has begun, as a duration since acceptedAt.
	headBeganAt atomic.Int64
	// untrustedBody is set while a body is read that needs no key, bodyBytes the part of it
	// that has been read.
	untrustedBody atomic.Bool
	bodyBytes     atomic.Int64
	// charged is the memory of the head that is taken from the listener's HeadMemory.
	charged atomic.Int64
}

// Values of conn.usage.
const (
	// unread connections have delivered no byte of a request.
	unread int32 = iota
	// inUse connections have.
	inUse
	// claimed connections are about to be closed as unused. They deliver no bytes.
	claimed
)

// Listen listens on a TCP address. The server needs the hooks Track and ConnContext, and a
// handler wrapped by Handler.
func Listen(address string, limits Limits) (*Listener, error) {
	return ListenOn("tcp4", address, limits)
}

// ListenOn is Listen for another network than "tcp4".
func ListenOn(network, address string, limits Limits) (*Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, fmt.Errorf("inbound: %w", err)
	}
	return &Listener{TCPListener: l.(*net.TCPListener), limits: limits, conns: make(map[*conn]struct{})}, nil
}

// Accept implements net.Listener. After Stop it returns net.ErrClosed once the backlog
// is empty.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptWaiting()
		if err != nil {
			return nil, err
		}
		accepted := &conn{TCPConn: c, listener: l, acceptedAt: time.Now()}
		if !l.makeRoom() {
			l.refusedAt.Store(time.Now().UnixNano())
			l.report(ReasonRefusedConn, accepted)
			// The caller may have closed it, too.
			_ = c.Close()
			continue
		}
		l.mu.Lock()
		l.conns[accepted] = struct{}{}
		l.mu.Unlock()
		return accepted, nil
	}
}

// acceptWaiting accepts a connection. After Stop, it waits for one from the moment at
// which it is called: a deadline that passed before may have hidden one.
func (l *Listener) acceptWaiting() (*net.TCPConn, error) {
	if !l.closing.Load() {
		c, err := l.AcceptTCP()
		if err == nil || !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	if err := l.SetDeadline(time.Now().Add(backlogTimeout)); err != nil {
		return nil, err
	}
	c, err := l.AcceptTCP()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		defer l.done.Store(true)
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	return c, err
}

// Track is the ConnState hook of the server.
func Track(c net.Conn, s http.ConnState) {
	if c, ok := c.(*conn); ok {
		c.state.Store(int32(s))
		if s == http.StateIdle {
			c.headEnded()
			c.usage.CompareAndSwap(inUse, unread)
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.readCounted(p)
	if n > 0 && !c.usage.CompareAndSwap(unread, inUse) && c.usage.Load() == claimed {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if t := c.listener.limits.WriteTimeout; t > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(t)); err != nil {
			return 0, err
		}
	}
	return c.TCPConn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.release()
	return c.TCPConn.Close()
}

// Stop accepts the connections in the backlog, closes the listener, and waits until
// all connections have ended or ctx is done. It closes those that carry no request. The
// server must end a connection with the response to its request. Stop reports whether
// all connections have ended.
func (l *Listener) Stop(ctx context.Context) bool {
	l.closing.Store(true)
	// An error means that the listener is closed already.
	_ = l.SetDeadline(time.Now().Add(backlogTimeout))
	ticker := time.NewTicker(stopCheckPeriod)
	defer ticker.Stop()
	for quiet := 0; quiet < 2; {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
		// A connection may have been accepted since the listener was looked at last.
		if quiet++; l.closeUnused() > 0 || !l.done.Load() {
			quiet = 0
		}
	}
	return true
}

// closeUnused closes the connections that carry no request, and returns the number of
// the others.
func (l *Listener) closeUnused() int {
	l.mu.Lock()
	var unused []*conn
	used := 0
	for c := range l.conns {
		if c.claimUnused() {
			unused = append(unused, c)
		} else {
			used++
		}
	}
	l.mu.Unlock()
	for _, c := range unused {
		// The caller may have closed it, too.
		_ = c.Close()
	}
	return used
}

// claimUnused reports whether a connection carries no request, not even an unread or
// half-read one. From then on, it delivers no bytes.
func (c *conn) claimUnused() bool {
	switch http.ConnState(c.state.Load()) {
	case http.StateIdle:
	case http.StateNew:
		if time.Since(c.acceptedAt) <= maxSilentTime {
			return false
		}
	default:
		return false
	}
	return !c.hasUnread() && c.usage.CompareAndSwap(unread, claimed)
}

// hasUnread reports whether bytes have arrived that nobody has read.
func (c *conn) hasUnread() bool { return c.restLength.Load() > 0 || socket.Peek(c) == socket.Unread }
