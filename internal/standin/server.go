package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const maxRequestBodyBytes = 64 << 20

// server is the HTTP server embedded in every stand-in.
type server struct {
	listener net.Listener
	http     *fasthttp.Server
}

func listen(address string, handler fasthttp.RequestHandler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("standin: listen: %w", err)
	}
	s := &server{
		listener: listener,
		http: &fasthttp.Server{
			Handler:               handler,
			MaxRequestBodySize:    maxRequestBodyBytes,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
			ReadTimeout:           time.Minute,
			Logger:                discardLogger{},
		},
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// Address returns the listening address.
func (s *server) Address() string { return s.listener.Addr().String() }

// Close stops listening and gives open requests 200 ms to end.
func (s *server) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

func decodeBody(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error("standin: "+err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// discardLogger discards the log lines of the HTTP server.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
