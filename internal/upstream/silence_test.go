package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// A sound server may leave the rest of a long call unread for some time, while it answers
// or before. Only the call's deadline may end it, not the time for which an idle connection
// may be silent.
func TestServerThatReadsLateKeepsItsCall(t *testing.T) {
	const (
		idleSilence = 500 * time.Millisecond
		readLate    = 4 * idleSilence
	)
	tests := []struct {
		name  string
		early string // what is sent before the rest of the call is read
	}{
		{"answers meanwhile", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"},
		{"answers later", ""},
	}
	const whole = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart and end"
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.early)
				time.Sleep(readLate)
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, strings.TrimPrefix(whole, tt.early))
			})
			p := NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 4, TCPUserTimeout: idleSilence})
			defer p.Close()
			r := get("1")
			r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 16<<20))
			text, err := call(t, p, b.address, r)
			require.NoError(t, err)
			require.Equal(t, "part and end", text)
		})
	}
}

// An idle connection whose server has gone silent must be noticed soon, also after a call
// with a late deadline.
func TestIdleConnectionsHaveTheirOwnTimeout(t *testing.T) {
	b := serve(t, respond(ok1, ok1))
	p := pool(t)
	for range 2 {
		_, err := call(t, p, b.address, get("1"))
		require.NoError(t, err)
		c := p.idle[b.address][0]
		raw, err := c.Conn.(syscall.Conn).SyscallConn()
		require.NoError(t, err)
		var timeout, keepAlive int
		require.NoError(t, raw.Control(func(fd uintptr) {
			timeout, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			keepAlive, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		}))
		require.Equal(t, int(p.options.TCPUserTimeout.Milliseconds()), timeout)
		require.NotZero(t, keepAlive)
	}
	require.Equal(t, int64(1), b.opened.Load())
}
