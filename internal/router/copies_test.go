package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// startCopyingServer starts a server that answers with the path of each request. Before
// it answers another request on a connection, it sends its last answer there again.
func startCopyingServer(t *testing.T) (address string) {
	t.Helper()
	return startRawServer(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for last := ""; ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			body := strconv.Quote(req.URL.Path)
			reply := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
			if _, err := io.WriteString(c, last+reply); err != nil {
				return
			}
			last = reply
		}
	})
}

func TestCopyOfAnAnswerIsNotTakenForThatOfTheNextServiceCall(t *testing.T) {
	r := &Router{clients: newClients(nil)}
	server := config.Server{Name: "s", Address: startCopyingServer(t)}
	for i := range 6 {
		path := "/call-" + strconv.Itoa(i)
		var in fasthttp.RequestCtx
		in.Request.SetRequestURI(path)
		c := &serviceCall{r: r, id: strconv.Itoa(i), ctx: &in}
		resp := fasthttp.AcquireResponse()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		require.NoError(t, c.sendRepeatable(ctx, server, resp))
		cancel()
		require.Equal(t, strconv.Quote(path), string(resp.Body()))
		fasthttp.ReleaseResponse(resp)
	}
}

func TestCopyOfAnAnswerIsNotTakenForThatOfAControlCall(t *testing.T) {
	clients := newClients(nil)
	e := config.Engine{Name: "e", Address: startCopyingServer(t)}
	for range 3 {
		req := fasthttp.AcquireRequest()
		req.SetRequestURI("http://" + e.Address + pathChatCompletions)
		req.Header.Set(answer.HeaderRequestID, "id")
		resp, err := clients.call(e.Address, req, false, time.Now().Add(time.Second), nil)
		require.NoError(t, err)
		fasthttp.ReleaseResponse(resp)
		for _, path := range []string{loadPath, ordersPath} {
			raw, err := clients.exchange(e, fasthttp.MethodPost, path, nil, time.Second)
			require.NoError(t, err)
			require.Equal(t, strconv.Quote(path), string(raw))
		}
	}
}
