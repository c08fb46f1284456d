package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// backend is a test server that counts its connections.
type backend struct {
	address string
	opened  atomic.Int64
}

func serve(t *testing.T, f func(c net.Conn, r *bufio.Reader)) *backend {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.opened.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				f(c, bufio.NewReader(c))
			}()
		}
	}()
	return b
}

// respond reads requests and responds to each with the next of the texts.
func respond(texts ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for _, text := range texts {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
		// The connection stays open until the client closes it.
		_, _ = r.ReadByte()
	}
}

func pool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 4, TCPUserTimeout: time.Second})
	t.Cleanup(p.Close)
	return p
}

func call(t *testing.T, p *Pool, address string, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, address, r)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

func get(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/a?b=c", Host: "h.example", Header: http.Header{"Id": {id}},
		Matches: func(h http.Header, _ bool) bool { return h.Get("Id") == id },
	}
}

const ok1 = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

func TestConnectionsAreReusedOnlyAfterCompleteResponses(t *testing.T) {
	tests := []struct {
		name   string
		first  string
		opened int64
	}{
		{"content length", ok1, 1},
		{"chunked", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"connection close", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2},
		{"bytes after the response", ok1 + "HTTP/1.1 200", 2},
		{"keep-alive timeout of zero", "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := serve(t, respond(tt.first, ok1))
			p := pool(t)
			for range 2 {
				text, err := call(t, p, b.address, get("1"))
				require.NoError(t, err)
				require.Equal(t, "ok", text)
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, tt.opened, b.opened.Load())
		})
	}
}

func TestMismatchedResponsesAreSkipped(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate"
	b := serve(t, respond(late+ok1, ok1))
	p := pool(t)
	text, err := call(t, p, b.address, get("1"))
	require.NoError(t, err)
	require.Equal(t, "ok", text)
	_, err = call(t, p, b.address, get("1"))
	require.NoError(t, err)
	require.Equal(t, int64(2), b.opened.Load(), "a connection with mismatched responses is not reused")
}

func TestErrUnsentOnlyIfNothingWasSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = call(t, pool(t), closed, get("1"))
	require.ErrorIs(t, err, ErrUnsent)

	b := serve(t, func(_ net.Conn, r *bufio.Reader) { _, _ = http.ReadRequest(r) })
	_, err = call(t, pool(t), b.address, get("1"))
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrUnsent)
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, ok1)
		}
	})
	p := pool(t)
	for range 3 {
		_, err := call(t, p, b.address, get("1"))
		require.NoError(t, err)
		time.Sleep(30 * time.Millisecond)
	}
	require.Equal(t, int64(3), b.opened.Load())
}

func TestUnframedResponseEndsWithItsConnection(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		}
	})
	text, err := call(t, pool(t), b.address, get("1"))
	require.NoError(t, err)
	require.Equal(t, "whole", text)

	reset := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	_, err = call(t, pool(t), reset.address, get("1"))
	require.Error(t, err, "a reset does not end the body")
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\npart")
		}
	})
	_, err := call(t, pool(t), b.address, get("1"))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestEarlyResponseEndsTheConnection: a server may respond before it has read a long
// body, and read the rest later. The connection must not carry another call.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, ok1)
			time.Sleep(time.Second)
		}
	})
	p := pool(t)
	for range 2 {
		r := get("1")
		r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", 8<<20))
		text, err := call(t, p, b.address, r)
		require.NoError(t, err)
		require.Equal(t, "ok", text)
	}
	require.Equal(t, int64(2), b.opened.Load())
}

func TestCancelClosesTheConnection(t *testing.T) {
	left := make(chan struct{})
	b := serve(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = r.ReadByte()
			close(left)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := pool(t).Do(ctx, b.address, get("1"))
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Fatal("the server does not see the connection close")
	}
}

func TestMaxConnIdle(t *testing.T) {
	b := serve(t, respond(ok1, ok1))
	p := pool(t)
	_, err := call(t, p, b.address, get("1"))
	require.NoError(t, err)
	time.Sleep(60 * time.Millisecond)
	r := get("1")
	r.MaxConnIdle = 20 * time.Millisecond
	_, err = call(t, p, b.address, r)
	require.NoError(t, err)
	require.Equal(t, int64(2), b.opened.Load())
}

func TestCloseExpired(t *testing.T) {
	b := serve(t, respond(ok1, ok1))
	p := NewPool(Options{DialTimeout: time.Second, IdleTimeout: 10 * time.Millisecond, MaxIdlePerAddress: 4, TCPUserTimeout: time.Second})
	_, err := call(t, p, b.address, get("1"))
	require.NoError(t, err)
	time.Sleep(20 * time.Millisecond)
	p.CloseExpired()
	require.Empty(t, p.idle)
}

// The look at the permission is the last thing before the call is written.
func TestCallsAreNotWrittenWithoutPermission(t *testing.T) {
	read := make(chan string, 1)
	b := serve(t, func(_ net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		read <- line
	})
	r := get("1")
	r.Permit = func() bool { return false }
	_, err := call(t, pool(t), b.address, r)
	require.ErrorIs(t, err, ErrUnsent)
	require.ErrorIs(t, err, ErrNotPermitted)
	require.Empty(t, <-read, "the connection is closed without a byte")
}
