// Package upstream makes HTTP/1.1 calls over pooled connections. It reports what a
// caller needs in order to know whether a call may have run: whether any byte of
// it was written, and whether the response that was read belongs to it. It never
// retries a call by itself.
package upstream
