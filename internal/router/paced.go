package router

import (
	"fmt"
	"net"
	"time"
)

// Bounds towards callers.
const (
	maxRequestBytes = 16 << 20
	maxHeaderBytes  = 32 << 10
	readTimeout     = 30 * time.Second
	idleTimeout     = 90 * time.Second
	// stuckTimeout is how long one write to a caller may take.
	stuckTimeout = 30 * time.Second
)

// pacedListener gives each write on its connections its own time bound.
type pacedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l pacedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("router: accept: %w", err)
	}
	return pacedConn{conn}, nil
}

type pacedConn struct{ net.Conn }

// Write implements net.Conn.
func (c pacedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(stuckTimeout)); err != nil {
		return 0, fmt.Errorf("router: write deadline: %w", err)
	}
	return c.Conn.Write(p)
}

// quiet drops the HTTP server's own log lines; the catalogue has ours.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}
