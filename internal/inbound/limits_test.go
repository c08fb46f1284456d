package inbound

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/stretchr/testify/require"
)

// startLimitedServer starts a server whose handler waits for release if the path is /wait.
func startLimitedServer(t *testing.T, limits Limits) (l *Listener, running, release chan struct{}) {
	t.Helper()
	l, err := Listen("127.0.0.1:0", limits)
	require.NoError(t, err)
	running, release = make(chan struct{}, 8), make(chan struct{})
	s := &http.Server{ConnState: Track, ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			running <- struct{}{}
			<-release
		}
	}))}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l, running, release
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func requireStatus(t *testing.T, c net.Conn, status int) {
	t.Helper()
	// The reader takes no byte of a response that follows: each ends with its head.
	var head []byte
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		var b [1]byte
		_, err := c.Read(b[:])
		require.NoError(t, err)
		head = append(head, b[0])
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
}

func requireClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

// A request that a handler has passed on must not be cut to make room for another.
func TestConnectionsThatCarryRequestsAreNotEvicted(t *testing.T) {
	l, running, release := startLimitedServer(t, Limits{Conns: 2})
	busy, half := dial(t, l), dial(t, l)
	write(t, busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	write(t, half, request[:10])
	time.Sleep(20 * time.Millisecond)
	next := dial(t, l)
	write(t, next, request)
	requireStatus(t, next, http.StatusOK)
	requireClosed(t, half)
	close(release)
	requireStatus(t, busy, http.StatusOK)
}

func TestNewConnectionsAreRefusedWhileAllCarryRequests(t *testing.T) {
	l, running, release := startLimitedServer(t, Limits{Conns: 1})
	busy := dial(t, l)
	write(t, busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-running
	refused := dial(t, l)
	requireClosed(t, refused)
	l.mu.Lock()
	for c := range l.conns {
		require.True(t, ShouldClose(c))
	}
	l.mu.Unlock()
	close(release)
	requireStatus(t, busy, http.StatusOK)
}

// Half-sent bodies of routes that need no key kept all others out until they timed out.
func TestSlowBodiesMakeRoom(t *testing.T) {
	l, err := Listen("127.0.0.1:0", Limits{Conns: 2})
	require.NoError(t, err)
	small, full := make(chan net.Conn, 1), make(chan net.Conn, 1)
	s := &http.Server{ConnState: Track, ConnContext: ConnContext, Handler: BodyHandler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		MarkUntrusted(Conn(r))
		if r.ContentLength > 100 {
			full <- Conn(r)
		} else {
			small <- Conn(r)
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil || !BeginRequest(Conn(r)) {
			panic(http.ErrAbortHandler)
		}
	}))}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	first, second := dial(t, l), dial(t, l)
	write(t, first, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n"+strings.Repeat("x", 4000))
	<-full
	write(t, second, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	c := <-small
	require.False(t, MakeRoomForBody(c), "no body is slow yet")
	time.Sleep(freshTime + 50*time.Millisecond)
	require.True(t, MakeRoomForBody(c))
	requireClosed(t, first)
	require.False(t, MakeRoomForBody(c), "its own body is the only one left")
	write(t, second, strings.Repeat("x", 9))
	requireStatus(t, second, http.StatusOK)
}

// The largest head must make room, not the ordinary requests that come after it.
func TestLargestHeadIsEvicted(t *testing.T) {
	budget := buffer.NewBudget(300 << 10)
	l, _, _ := startLimitedServer(t, Limits{HeadMemory: budget})
	large := dial(t, l)
	write(t, large, "GET / HTTP/1.1\r\nHost: h\r\nField: "+strings.Repeat("x", 50<<10))
	// All of the head has been read.
	require.Eventually(t, func() bool { return budget.Used() > 200<<10 }, time.Second, time.Millisecond)
	c := dial(t, l)
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\nField: "+strings.Repeat("x", 40<<10)+"\r\n\r\n")
	requireStatus(t, c, http.StatusOK)
	requireClosed(t, large)
	require.Eventually(t, func() bool { return budget.Used() == 0 }, time.Second, time.Millisecond)
}

func TestHeadsWithManyFieldsAreRefused(t *testing.T) {
	l, _, _ := startLimitedServer(t, Limits{HeadFields: 100})
	c := dial(t, l)
	write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 100))
	requireStatus(t, c, http.StatusRequestHeaderFieldsTooLarge)
	kept := dial(t, l)
	// The head of a pipelined request is counted although it arrives with that before it.
	pipelined := dial(t, l)
	write(t, pipelined, request+"GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\n", 100))
	requireStatus(t, pipelined, http.StatusOK)
	requireStatus(t, pipelined, http.StatusRequestHeaderFieldsTooLarge)
	for range 3 {
		// Lines of a body are none of a head.
		write(t, kept, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n"+strings.Repeat("\n", 200))
		requireStatus(t, kept, http.StatusOK)
	}
}

// A handler that ignores bodies must not wait for the rest of one.
func TestRestOfAnIgnoredBodyIsNotAwaited(t *testing.T) {
	l := listen(t)
	s := &http.Server{Handler: WithoutBody(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	c := dial(t, l)
	write(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\nx")
	requireStatus(t, c, http.StatusOK)
	requireClosed(t, c)
}

// The scanner must find the end of a head where net/http does, however it is split.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte(request+"body\n\n"), 3)
	f.Add([]byte("GET / HTTP/1.1\nA: b\n\n\n"), 1)
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\n"), 2)
	f.Fuzz(func(t *testing.T, raw []byte, split int) {
		var whole, parts headScanner
		whole.scan(raw)
		split = max(0, min(split, len(raw)))
		if n := parts.scan(raw[:split]); n == split {
			parts.scan(raw[split:])
		}
		require.Equal(t, whole, parts)
		r := bufio.NewReader(strings.NewReader(string(raw)))
		if _, err := http.ReadRequest(r); err == nil {
			require.True(t, whole.ended)
			require.LessOrEqual(t, whole.bytes, len(raw))
		}
	})
}

// What follows a head in one read must reach the server, whatever it reads next.
func FuzzAllBytesAreReadOnce(f *testing.F) {
	f.Add([]byte(request+request+"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"+request), uint16(7), uint8(1))
	f.Add([]byte(request+strings.Repeat("x", 9000)), uint16(4096), uint8(2))
	f.Fuzz(func(t *testing.T, raw []byte, size uint16, each uint8) {
		l := listen(t)
		client := dial(t, l)
		accepted, err := l.Accept()
		require.NoError(t, err)
		go func() {
			_, _ = client.Write(raw)
			_ = client.(*net.TCPConn).CloseWrite()
		}()
		var got []byte
		for i := 0; ; i++ {
			p := make([]byte, int(size)+1)
			n, err := accepted.Read(p)
			got = append(got, p[:n]...)
			if err != nil {
				break
			}
			// Requests begin and end between any two reads.
			if i%(int(each)+1) == 0 {
				Track(accepted, http.StateIdle)
			} else if BeginBody(accepted) {
				BeginRequest(accepted)
			}
		}
		require.Equal(t, string(raw), string(got))
		_ = accepted.Close()
	})
}

// The memory of a head was given back twice if its connection was closed for another one
// while the head ended, so that the budget permitted more heads for good.
func TestHeadMemoryOfClosedConnectionIsReturnedOnce(t *testing.T) {
	const rounds, cost = 300000, headByteCost * 8 << 10
	budget := buffer.NewBudget(rounds * cost)
	conns := make([]*conn, rounds)
	for i := range conns {
		conns[i] = &conn{listener: &Listener{limits: Limits{HeadMemory: budget}}, head: headScanner{bytes: 8 << 10}}
		conns[i].charged.Store(cost)
		require.True(t, budget.Take(cost))
	}
	// The two goroutines meet at each connection.
	var arrived atomic.Int64
	var done sync.WaitGroup
	for _, f := range []func(*conn){(*conn).headRead, (*conn).release} {
		done.Go(func() {
			for i, c := range conns {
				for arrived.Add(1); arrived.Load() < int64(2*i+2); {
					runtime.Gosched()
				}
				f(c)
			}
		})
	}
	done.Wait()
	for _, c := range conns {
		c.release()
	}
	require.Zero(t, budget.Used())
}

// Requests that are refused at once leave garbage as fast as they are parsed. They must wait
// for the collector, which may lag while there are few processors.
func TestRequestsWaitForTheCollector(t *testing.T) {
	const requests, budget = 2000, 1 << 20
	l, _, _ := startLimitedServer(t, Limits{HeadMemory: buffer.NewBudget(budget)})
	// The collector does not run by itself.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	c := dial(t, l)
	for range requests {
		write(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		requireStatus(t, c, http.StatusOK)
	}
	runtime.ReadMemStats(&after)
	require.Greater(t, int(after.NumGC-before.NumGC), requests*requestGarbage/budget)
}
