package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// A response with a status that does not exist must not be taken for an answer.
func TestResponseWithAnInvalidStatusIsAnError(t *testing.T) {
	tests := []struct {
		head  string
		valid bool
	}{
		{"HTTP/1.1 000 OK", false},
		{"HTTP/1.1 000", false},
		{"HTTP/1.0 000 OK", false},
		{"HTTP/1.1 099 OK", false},
		{"HTTP/1.1 +20 OK", false},
		{"HTTP/1.1 600 OK", false},
		{"HTTP/1.1 999 OK", false},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK", false},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", true},
		{"HTTP/1.1 200 OK", true},
		{"HTTP/1.1 599 Unknown", true},
	}
	for _, tt := range tests {
		for _, framing := range []string{"Content-Length: 2\r\n\r\nok", "\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, tt.head+"\r\nId: 1\r\n"+framing)
				}
			})
			text, err := call(t, pool(t), b.address, get("1"))
			if !tt.valid {
				require.ErrorIs(t, err, ErrInvalidStatus, "%s: %q", tt.head, text)
				continue
			}
			require.NoError(t, err, tt.head)
			require.Equal(t, "ok", text)
		}
	}
}
