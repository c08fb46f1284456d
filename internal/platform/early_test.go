package platform_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/stretchr/testify/require"
)

// A server in trouble may report success before it has read an object, and reset the
// connection. The object must not count as stored. Nor does a status that does not exist
// count as success.
func TestResponsesOfAServerInTroubleAreErrors(t *testing.T) {
	const objectBytes = 8 << 20
	tests := []struct {
		name, response string
		readsAll       bool
		stored         bool
	}{
		{"early, without a length", "HTTP/1.1 200 OK\r\n\r\n", false, false},
		{"early, with a length", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, false},
		{"invalid status", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", true, false},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					r, err := http.ReadRequest(bufio.NewReader(c))
					if err == nil && tt.readsAll {
						_, err = io.Copy(io.Discard, r.Body)
					}
					if err == nil {
						_, _ = io.WriteString(c, tt.response)
					}
					time.Sleep(10 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c := platform.NewClient(platform.Settings{ObjectsURL: "http://" + l.Addr().String(), Bucket: "b"}, nil)
			if err := c.PutObject(ctx, "object", make([]byte, objectBytes)); tt.stored {
				require.NoError(t, err)
			} else {
				require.Error(t, err)
			}
		})
	}
}
