// Package socket looks at TCP connections without reading from them.
package socket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what a connection has received that nobody has read.
type State int

// States of a connection.
const (
	// Closed connections have been closed by the peer, or failed.
	Closed State = iota
	// Quiet connections are open and have no unread byte.
	Quiet
	// Unread connections have unread bytes.
	Unread
)

// Peek returns the state of a connection.
func Peek(c syscall.Conn) State {
	raw, err := c.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Quiet
		case err == nil && n > 0:
			state = Unread
		}
	}); err != nil {
		return Closed
	}
	return state
}
