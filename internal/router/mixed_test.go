package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// sendService makes a service call and returns the body of its response.
func sendService(t *testing.T, address, body string) (string, error) {
	t.Helper()
	r := &Router{clients: newClients(nil)}
	var in fasthttp.RequestCtx
	in.Request.Header.SetMethod(fasthttp.MethodPost)
	in.Request.SetRequestURI("/call")
	in.Request.SetBodyString(body)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	err := (&serviceCall{r: r, id: "1", ctx: &in}).sendRepeatable(ctx, config.Server{Name: "s", Address: address}, resp)
	return string(resp.Body()), err
}

// A response with a status that does not exist must not be taken for an answer, in any of the
// calls that the router makes.
func TestResponseWithAnInvalidStatusIsAnError(t *testing.T) {
	tests := []struct {
		head  string
		valid bool
	}{
		{"HTTP/1.1 000 OK", false},
		{"\r\nHTTP/1.1 000 OK", false},
		{"HTTP/1.1  000 OK", false},
		{"HTTP/1.1 000", false},
		{"HTTP/1.1 099 OK", false},
		{"HTTP/1.1 600 OK", false},
		{"HTTP/1.1 999 OK", false},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK", false},
		{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK", true},
		{"HTTP/1.1 200 OK", true},
		{"HTTP/1.1 200", true},
	}
	for _, tt := range tests {
		for _, slow := range []bool{false, true} {
			address := startRawServer(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				text := tt.head + "\r\nContent-Length: 2\r\n\r\nok"
				if !slow {
					_, _ = io.WriteString(c, text)
					return
				}
				for i := range text {
					_, _ = io.WriteString(c, text[i:i+1])
				}
			})
			calls := map[string]func() error{
				"service": func() error { _, err := sendService(t, address, "x"); return err },
				"control": func() error {
					_, err := newClients(nil).exchange(config.Engine{Name: "e", Address: address}, fasthttp.MethodPost, ordersPath, nil, time.Second)
					return err
				},
			}
			for name, stream := range map[string]bool{"whole answer": false, "stream": true} {
				calls[name] = func() error {
					req := fasthttp.AcquireRequest()
					req.SetRequestURI("http://" + address + pathChatCompletions)
					resp, err := newClients(nil).call(address, req, stream, time.Now().Add(time.Second), nil)
					if err == nil {
						return resp.CloseBodyStream()
					}
					return err
				}
			}
			for name, call := range calls {
				if err := call(); tt.valid {
					require.NoError(t, err, "%s: %s", name, tt.head)
				} else {
					require.Error(t, err, "%s: %s", name, tt.head)
				}
			}
		}
	}
}

// A server may answer a long upload at once, without a length, and reset the connection while
// the upload is still being written. The part must not be taken for the whole answer.
func TestEarlyResponseThatIsResetIsAnError(t *testing.T) {
	const rounds = 10
	address := startRawServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart")
			time.Sleep(10 * time.Millisecond)
		}
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range rounds {
		body, err := sendService(t, address, strings.Repeat("x", 8<<20))
		require.Error(t, err, "%q was taken for the whole answer", body)
	}
}
