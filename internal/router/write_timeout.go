package router

import (
	"fmt"
	"net"
	"time"
)

// Limits and timeouts for connections from callers.
const (
	maxRequestBytes   = 16 << 20
	maxHeaderBytes    = 32 << 10
	callerReadTimeout = 30 * time.Second
	callerIdleTimeout = 90 * time.Second
	// callerWriteTimeout bounds one write to a caller.
	callerWriteTimeout = 30 * time.Second
)

// writeTimeoutListener sets a new deadline before each write on its
// connections.
type writeTimeoutListener struct{ net.Listener }

// Accept implements net.Listener.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("router: accept: %w", err)
	}
	return writeTimeoutConn{conn}, nil
}

type writeTimeoutConn struct{ net.Conn }

// Write implements net.Conn.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return 0, fmt.Errorf("router: write deadline: %w", err)
	}
	return c.Conn.Write(p)
}

// discardLogger discards the HTTP server's own log lines. The router logs the
// events of package event instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
