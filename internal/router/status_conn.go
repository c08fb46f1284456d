package router

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

// maxStatusLineBytes bounds the part of a status line that is looked at.
const maxStatusLineBytes = 64

// statusConn is a connection to a backend server on which a response with an invalid status
// is an error. The HTTP client would take the status 000 for 200. It reads a response only
// once the request has been written.
type statusConn struct {
	net.Conn
	// line is the beginning of the line that is being read, without what follows
	// maxStatusLineBytes, while inHead is set.
	line   []byte
	inHead bool
	// interim is set while the rest of the head of an interim response is read. Another
	// status line follows.
	interim bool
}

// Write implements net.Conn.
func (c *statusConn) Write(p []byte) (int, error) {
	c.line, c.inHead, c.interim = c.line[:0], true, false
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *statusConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if statusErr := c.check(p[:n]); statusErr != nil {
		return 0, statusErr
	}
	return n, err
}

// check looks at the next bytes of a head.
func (c *statusConn) check(p []byte) error {
	for len(p) > 0 && c.inHead {
		piece, rest, ended := bytes.Cut(p, []byte("\n"))
		c.line = append(c.line, piece[:min(len(piece), maxStatusLineBytes-len(c.line))]...)
		if !ended {
			return nil
		}
		p = rest
		if err := c.checkLine(strings.TrimRight(string(c.line), "\r")); err != nil {
			return err
		}
		c.line = c.line[:0]
	}
	return nil
}

// checkLine looks at a line of a head. Empty lines may precede the status line.
func (c *statusConn) checkLine(line string) error {
	if c.interim || line == "" {
		c.interim = c.interim && line != ""
		return nil
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return fmt.Errorf("%w: %q", upstream.ErrInvalidStatus, line)
	}
	code, err := strconv.Atoi(fields[1])
	if err != nil || !upstream.IsStatus(code) {
		return fmt.Errorf("%w: %q", upstream.ErrInvalidStatus, line)
	}
	c.interim = code < 200
	c.inHead = c.interim
	return nil
}
