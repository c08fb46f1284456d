package router

import "time"

// Limits and timeouts for connections from callers.
const (
	maxRequestBytes   = 16 << 20
	maxHeaderBytes    = 32 << 10
	callerReadTimeout = 30 * time.Second
	callerIdleTimeout = 90 * time.Second
	// callerWriteTimeout bounds one write to a caller.
	callerWriteTimeout = 30 * time.Second
)

// discardLogger discards the HTTP server's own log lines. The router logs the
// events of package event instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
