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

// maxBytesInSockets is what a server can write before it blocks, though nothing is read.
const maxBytesInSockets = 8 << 20

// A head without end must not be read without bound: the connection is closed at once.
func TestHeadsWithoutEnd(t *testing.T) {
	tests := []struct{ name, start, repeated string }{
		{"one header without end", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"headers without end", "HTTP/1.1 200 OK\r\n", "A: x\r\n"},
		{"no status line", "", "x"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"responses to other calls", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		{"a body of another call", "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "x"},
		{"a chunk header", "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "1"},
		{"a trailer", "HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{})
			b := serve(t, func(c net.Conn, r *bufio.Reader) {
				defer close(closed)
				_, _ = http.ReadRequest(r)
				_, _ = io.WriteString(c, tt.start)
				block := strings.Repeat(tt.repeated, 4096/len(tt.repeated))
				for {
					n, err := io.WriteString(c, block)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			began := time.Now()
			_, err := call(t, pool(t), b.address, get("1"))
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrUnsent)
			require.Less(t, time.Since(began), 2*time.Second)
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection is still open")
			}
			require.Less(t, written.Load(), int64(maxBytesInSockets))
		})
	}
}

func TestReadAllReturnsNoPartOfALongBody(t *testing.T) {
	tests := []struct {
		size int
		err  error
	}{{0, nil}, {9, nil}, {10, nil}, {11, ErrTooLarge}, {1000, ErrTooLarge}}
	for _, tt := range tests {
		raw, err := ReadAll(strings.NewReader(strings.Repeat("x", tt.size)), 10)
		require.ErrorIs(t, err, tt.err)
		if tt.err == nil {
			require.Len(t, raw, tt.size)
		} else {
			require.Empty(t, raw)
		}
	}
}

// Responses to other calls end at their announced size: what follows within a longer
// body must not be read as a response.
func TestABodyOfAnotherCallIsNotReadAsAResponse(t *testing.T) {
	b := serve(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		forged := strings.Repeat("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad", 1<<16)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n"+strings.Repeat("x", maxMismatchedBodyBytes)+forged)
	})
	_, err := call(t, pool(t), b.address, get("1"))
	require.ErrorIs(t, err, ErrMismatchedResponse)
}

// sendCopies answers the first call and sends its answer again once the second call has
// been read, so that the copy arrives after the client has looked at the idle connection.
func sendCopies(answers ...string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		for _, text := range answers {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
		_, _ = r.ReadByte()
	}
}

func TestLateCopiesAreNotTakenForTheNextResponse(t *testing.T) {
	copyOf1 := ok1
	ok2 := "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nme"
	tests := []struct {
		name, first, second string
		want                string
	}{
		{"a copy before the response", ok1, copyOf1 + ok2, "me"},
		{"a copy and no response", ok1, copyOf1, ""},
		{"half a copy", ok1, copyOf1[:20], ""},
		{"half a copy before the response", ok1, copyOf1[:20] + "\r\n\r\n" + ok2, ""},
		{"a copy after the response", ok1, ok2 + copyOf1, "me"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := serve(t, sendCopies(tt.first, tt.second))
			p := pool(t)
			request := func(id string) *Request {
				r := get(id)
				r.Matches = func(h http.Header, reused bool) bool { return h.Get("Id") == id || h.Get("Id") == "" && !reused }
				return r
			}
			_, err := call(t, p, b.address, request("1"))
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			resp, err := p.Do(ctx, b.address, request("2"))
			if tt.want == "" {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			raw, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tt.want, string(raw))
			// The connection carried more than its calls' responses.
			require.Empty(t, p.idle[b.address])
		})
	}
}

// A response without an id fits any call, so its connection carries no other one.
func TestConnectionsOfServersWithoutIDsAreNotReused(t *testing.T) {
	const noID = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	b := serve(t, respond(noID, noID))
	p := pool(t)
	for _, id := range []string{"1", "2"} {
		r := get(id)
		r.Matches = func(h http.Header, reused bool) bool { return h.Get("Id") == id || h.Get("Id") == "" && !reused }
		text, err := call(t, p, b.address, r)
		require.NoError(t, err)
		require.Equal(t, "no", text)
	}
	require.Equal(t, int64(2), b.opened.Load())
}

func TestNewConnIsUsedForOneCall(t *testing.T) {
	b := serve(t, respond(ok1, ok1))
	p := pool(t)
	for range 2 {
		r := get("1")
		r.NewConn = true
		_, err := call(t, p, b.address, r)
		require.NoError(t, err)
	}
	require.Equal(t, int64(2), b.opened.Load())
}

func FuzzResponse(f *testing.F) {
	f.Add(ok1)
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, response string) {
		client, server := net.Pipe()
		limit := &limitedReader{r: client}
		c := &conn{Conn: client, reader: bufio.NewReaderSize(limit, readBufferBytes), limit: limit}
		go func() {
			_, _ = io.WriteString(server, response)
			_ = server.Close()
		}()
		x := &exchange{pool: NewPool(Options{}), conn: c, writeDone: make(chan struct{}), stopCancel: func() bool { return true }}
		resp, err := x.read(get("1"))
		if err == nil {
			if resp.Header.Get("Id") != "1" {
				t.Fatal("a response to another call was accepted")
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		_ = client.Close()
	})
}
