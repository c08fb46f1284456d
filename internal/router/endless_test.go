package router

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// startEndlessServer starts a server that answers each request with a start and then a
// text, repeated until the connection is closed.
func startEndlessServer(t *testing.T, start, text string) (address string) {
	t.Helper()
	block := bytes.Repeat([]byte(text), 64<<10/len(text))
	return startRawServer(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = c.Write(block)
		}
	})
}

// Answers without end must not take the memory of a VM: all calls at once hold a bounded
// part of it, and each ends with an error.
func TestMemoryOfAnswersWithoutEnd(t *testing.T) {
	const (
		callsOfAKind = 8
		maxHeapBytes = 64 << 20
		head         = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	)
	tests := []struct{ name, start, text string }{
		{"a head", head, "A: x\r\n"},
		{"a header", head + "A: ", "x"},
		{"a body that ends with its connection", head + "\r\n", "x"},
		{"a body with a length", head + "Content-Length: 30000000\r\n\r\n", "x"},
		{"a body in chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{"a chunk", head + "Transfer-Encoding: chunked\r\n\r\nffffff\r\n", "x"},
		{"an event", head + "\r\n", "data: x\n"},
		{"a line of an event", head + "\r\ndata: ", "x"},
		{"a comment", head + "\r\n", ": x\n"},
		{"a chunk's length", head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Router{clients: newClients(nil)}
			address := startEndlessServer(t, tt.start, tt.text)
			kinds := []func() error{
				func() error {
					var in fasthttp.RequestCtx
					in.Request.SetRequestURI("/call")
					resp := fasthttp.AcquireResponse()
					defer fasthttp.ReleaseResponse(resp)
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					defer cancel()
					return (&serviceCall{r: r, id: "1", ctx: &in}).sendRepeatable(ctx, config.Server{Name: "s", Address: address}, resp)
				},
				func() error {
					req := fasthttp.AcquireRequest()
					req.SetRequestURI("http://" + address + pathChatCompletions)
					req.Header.Set(answer.HeaderRequestID, "id")
					_, err := r.clients.call(address, req, false, time.Now().Add(5*time.Second), nil)
					return err
				},
				func() error {
					req := fasthttp.AcquireRequest()
					req.SetRequestURI("http://" + address + pathChatCompletions)
					resp, err := r.clients.call(address, req, true, time.Now().Add(5*time.Second), nil)
					if err != nil {
						return err
					}
					answer.ReadEvents(resp.BodyStream(), func(e answer.Event) bool {
						err = e.Err
						return true
					})
					resp.SetConnectionClose()
					return errors.Join(err, resp.CloseBodyStream())
				},
				func() error {
					_, err := r.clients.exchange(config.Engine{Name: "e", Address: address}, fasthttp.MethodGet, loadPath, nil, 5*time.Second)
					return err
				},
			}
			errs := make(chan error, callsOfAKind*len(kinds))
			var running sync.WaitGroup
			for range callsOfAKind {
				for _, call := range kinds {
					running.Go(func() { errs <- call() })
				}
			}
			done := make(chan struct{})
			go func() { running.Wait(); close(done) }()
			peak := uint64(0)
			for finished := false; !finished; {
				select {
				case <-done:
					finished = true
				case <-time.After(time.Millisecond):
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
			t.Logf("%d KB at the peak", peak>>10)
			require.Less(t, peak, uint64(maxHeapBytes))
			close(errs)
			for err := range errs {
				require.Error(t, err)
			}
		})
	}
}
