package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A response without a length ends with its connection. If the connection fails while the
// call is still being written, the write may get the error in place of the read, and the
// part that was read must not be taken for the whole response.
func TestResponseCutWhileTheCallIsWrittenIsAnError(t *testing.T) {
	const (
		rounds = 20
		part   = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"
	)
	tests := []struct {
		name     string
		rounds   int
		finish   func(c *net.TCPConn)
		complete bool
	}{
		{"reset", rounds, func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		{"closed with unread bytes", rounds, func(*net.TCPConn) {}, false},
		{"closed after a while with unread bytes", 1, func(c *net.TCPConn) {
			for range 40 {
				time.Sleep(50 * time.Millisecond)
				if _, err := io.WriteString(c, "part"); err != nil {
					return
				}
			}
		}, false},
		{"ended, then reset", rounds, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			_ = c.SetLinger(0)
		}, true},
		{"ended, the request left unread", 1, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(500 * time.Millisecond)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, part)
				time.Sleep(10 * time.Millisecond)
				tt.finish(c.(*net.TCPConn))
			})
			for range tt.rounds {
				r := get("1")
				r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
				text, err := call(t, pool(t), b.address, r)
				if tt.complete {
					require.NoError(t, err)
					require.Equal(t, "part", text)
				} else {
					require.Error(t, err, "%d bytes were taken for the whole response", len(text))
				}
			}
		})
	}
}
