package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A server may stop anywhere in its response, also in the head, and close the connection.
// What has arrived must not be taken for a whole response with an empty or short body.
func TestResponseCutAnywhereIsAnError(t *testing.T) {
	tests := []struct{ name, head, body string }{
		{"with a length", "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 7\r\n\r\n", "content"},
		{"length of zero", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n", ""},
		{"in chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nStamp: s\r\n\r\n", "7\r\ncontent\r\n0\r\n\r\n"},
		{"without a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\n\r\n", ""},
		{"line ends without carriage returns", "HTTP/1.1 200 OK\nId: 1\nContent-Length: 7\n\n", "content"},
		{"after an informational response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 7\r\n\r\n", "content"},
		{"after a response to another call", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 7\r\n\r\n", "content"},
	}
	for _, tt := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", tt.name, reset), func(t *testing.T) {
				text := tt.head + tt.body
				cuts := make(chan int, 1)
				b := serve(t, func(c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, text[:<-cuts])
					if reset {
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				p := pool(t)
				for cut := range len(text) {
					cuts <- cut
					got, err := call(t, p, b.address, get("1"))
					require.Error(t, err, "%q was taken for a whole response, with the body %q", text[:cut], got)
				}
				if !reset {
					cuts <- len(text)
					_, err := call(t, p, b.address, get("1"))
					require.NoError(t, err)
				}
			})
		}
	}
}
