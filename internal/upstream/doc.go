// Package upstream makes HTTP/1.1 calls over kept connections and tells apart
// what a caller needs in order to know whether a call may have run: whether a
// byte of it was written, and whether the answer that was read belongs to it.
// It never repeats a call by itself.
package upstream
