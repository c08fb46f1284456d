package router

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// startCuttingServer starts a server that answers each request with the beginning of a
// text, as long as the next of cuts says, and closes or resets the connection.
func startCuttingServer(t *testing.T, text string, reset bool, cuts <-chan int) (address string) {
	t.Helper()
	return startRawServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, text[:<-cuts])
		}
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
}

// A server may stop anywhere in its answer, also in the head, and close the connection.
// The caller must not get what has arrived as a whole answer.
func TestServiceAnswerCutAnywhereIsAnError(t *testing.T) {
	tests := []struct{ name, text string }{
		{"with a length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 7\r\n\r\ncontent"},
		{"in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/plain\r\n\r\n7\r\ncontent\r\n0\r\n\r\n"},
		{"without a length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", tt.name, reset), func(t *testing.T) {
				cuts := make(chan int, 1)
				r := &Router{clients: newClients(nil)}
				server := config.Server{Name: "s", Address: startCuttingServer(t, tt.text, reset, cuts)}
				send := func(cut int) (string, error) {
					cuts <- cut
					var in fasthttp.RequestCtx
					in.Request.SetRequestURI("/call")
					resp := fasthttp.AcquireResponse()
					defer fasthttp.ReleaseResponse(resp)
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					err := (&serviceCall{r: r, id: "1", ctx: &in}).sendRepeatable(ctx, server, resp)
					return string(resp.Body()), err
				}
				for cut := range len(tt.text) {
					body, err := send(cut)
					require.Error(t, err, "%q was taken for a whole answer, with the body %q", tt.text[:cut], body)
				}
				if !reset {
					_, err := send(len(tt.text))
					require.NoError(t, err)
				}
			})
		}
	}
}
