package inbound

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"golang.org/x/sys/unix"
)

// Limits bound what the connections of a listener may use. The zero value has no limits.
type Limits struct {
	// Conns bounds the number of connections, HeadFields the lines of one head.
	Conns      int
	HeadFields int
	// HeadMemory bounds the memory that heads hold until their requests have ended. It may
	// be shared with other listeners.
	HeadMemory *buffer.Budget
	// WriteTimeout bounds one write to a caller that reads nothing.
	WriteTimeout time.Duration
	// OnLimit is called when a limit has closed a connection.
	OnLimit func(r Reason, from net.Addr)
}

// Reason says which limit closed a connection.
type Reason string

// Reasons to close a connection.
const (
	// ReasonConns: another connection needed its place; ReasonRefusedConn: it was not
	// accepted, since all others carry requests.
	ReasonConns       Reason = "evicted_connections"
	ReasonRefusedConn Reason = "refused_connections"
	// ReasonFields: its head had too many lines; ReasonHeadMemory: it held the most memory
	// of all heads when they held as much as they may together.
	ReasonFields     Reason = "heads_with_many_fields"
	ReasonHeadMemory Reason = "heads_out_of_memory"
	// ReasonBodyMemory: it had sent most of a body, without a key, when the memory for
	// bodies was full.
	ReasonBodyMemory Reason = "slow_bodies"
)

const (
	// reservedDescriptors is the number of descriptors kept for files.
	reservedDescriptors = 200
	// maxUsableDescriptors bounds the result of UsableDescriptors where the process has no
	// limit worth the name.
	maxUsableDescriptors = 1 << 16
	// ConnBytes is the memory of a connection without its head: read and write buffer of
	// net/http (4 KB each), goroutine, the first buffer of a body (8 KB) and the records.
	ConnBytes = 24 << 10
)

// UsableDescriptors returns the number of descriptors that the process may use for
// connections.
func UsableDescriptors() int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur > maxUsableDescriptors {
		return maxUsableDescriptors
	}
	return max(1, int(r.Cur)-reservedDescriptors)
}

// Memory of a head that net/http reads: a line costs entries of a map and a slice beside
// its bytes, which are copied while the line grows and once more when it is complete. Of
// 60 KB in three-byte fields, 600 KB were resident.
const (
	headByteCost     = 4
	keptHeadByteCost = 2
	headFieldCost    = 64
	// freeHeadBytes is the cost up to which a head counts as part of ConnBytes.
	freeHeadBytes = 4 << 10
	// requestGarbage is what a request leaves behind at least, once it has been refused.
	requestGarbage = 8 << 10
)

// headScanner counts the bytes and lines of a head.
type headScanner struct {
	bytes, lines int
	// lineLength is the length of the current line, lastByte its last byte.
	lineLength int
	lastByte   byte
	// begun is set once there was a line that is not empty, ended after the empty line that
	// ends the head.
	begun, ended bool
}

// scan counts the part of the head at the start of p and returns its length.
func (s *headScanner) scan(p []byte) int {
	for i, b := range p {
		if s.ended {
			return i
		}
		s.bytes++
		if b != '\n' {
			s.lineLength++
			s.lastByte = b
			continue
		}
		empty := s.lineLength == 0 || s.lineLength == 1 && s.lastByte == '\r'
		s.ended = empty && s.begun
		s.begun = s.begun || !empty
		s.lines++
		s.lineLength = 0
	}
	return len(p)
}

// cost returns the memory that the head takes in addition to that of its connection. The
// byteCost is headByteCost while the head is read, then keptHeadByteCost.
func (s *headScanner) cost(byteCost int) int {
	if cost := byteCost*s.bytes + headFieldCost*s.lines; cost > freeHeadBytes {
		return cost
	}
	return 0
}

// Values of conn.phase. Connections may be closed to make room while they read a head or a
// body: no handler can have passed their requests on.
const (
	readingHead int32 = iota
	readingBody
	// handling connections carry a request that a handler may have passed on.
	handling
	// evicted connections have been closed to make room.
	evicted
)

// evict marks a connection that is to be closed to make room. It returns false if the
// connection must stay.
func (c *conn) evict() bool {
	return c.phase.CompareAndSwap(readingHead, evicted) || c.phase.CompareAndSwap(readingBody, evicted)
}

func (c *conn) isEvictable() bool { return c.phase.Load() <= readingBody }

const (
	// readAheadBytes bounds what is read at once after a head: a server that reads a body
	// through its buffer would get the next head with it, uncounted. It applies to reads of
	// up to maxBufferBytes, the largest buffer of a server; larger ones go to the body.
	readAheadBytes = 2 << 10
	maxBufferBytes = 32 << 10
	// headReadBytes bounds what is read of a head at once, and so what is kept beyond it.
	headReadBytes = 4 << 10
)

// readCounted reads from the connection. While it reads a head, it counts it and returns
// no more than the head; what was read beyond it comes first the next time. It returns an
// error if the connection must not be read further.
func (c *conn) readCounted(p []byte) (int, error) {
	counting := c.phase.Load() == readingHead && !c.head.ended
	switch {
	case counting:
		p = p[:min(len(p), headReadBytes)]
	case len(p) <= maxBufferBytes:
		p = p[:min(len(p), readAheadBytes)]
	}
	if len(c.rest) > 0 {
		return c.readRest(p, counting)
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 || !counting {
		c.bodyBytes.Add(int64(n))
		return n, err
	}
	end, limitErr := c.countHead(p[:n])
	if limitErr != nil {
		return 0, limitErr
	}
	if end < n {
		c.setRest(append([]byte(nil), p[end:n]...))
	}
	return end, err
}

// readRest is readCounted for what was read before.
func (c *conn) readRest(p []byte, counting bool) (int, error) {
	n := min(len(p), len(c.rest))
	if counting {
		var err error
		if n, err = c.countHead(c.rest[:n]); err != nil {
			return 0, err
		}
	}
	copy(p, c.rest[:n])
	c.setRest(c.rest[n:])
	return n, nil
}

func (c *conn) setRest(rest []byte) {
	if len(rest) == 0 {
		rest = nil
	}
	c.rest = rest
	c.restLength.Store(int64(len(rest)))
}

// countHead counts the part of a head at the start of p and returns its length. It returns
// an error if the head exceeds a limit.
func (c *conn) countHead(p []byte) (int, error) {
	if c.head.bytes == 0 {
		c.headBeganAt.Store(int64(time.Since(c.acceptedAt)))
		if budget := c.listener.limits.HeadMemory; budget != nil {
			budget.CollectGarbage(requestGarbage)
		}
	}
	end := c.head.scan(p)
	return end, c.checkHead()
}

func (c *conn) checkHead() error {
	l := c.listener.limits
	if l.HeadFields > 0 && c.head.lines > l.HeadFields {
		c.refuse("431 Request Header Fields Too Large", ReasonFields)
		return errClosedByLimit
	}
	need := c.head.cost(headByteCost) - int(c.charged.Load())
	if l.HeadMemory == nil || need <= 0 {
		return nil
	}
	for !l.HeadMemory.Take(need) {
		if !c.listener.evictHead(c) {
			c.refuse("503 Service Unavailable\r\nRetry-After: 0.5", ReasonHeadMemory)
			return errClosedByLimit
		}
	}
	c.charged.Add(int64(need))
	l.HeadMemory.CollectGarbage(need)
	if c.phase.Load() == evicted {
		c.release()
		return errClosedByLimit
	}
	return nil
}

// errClosedByLimit is of a type that net/http takes for a failed connection, to which it
// writes nothing more.
var errClosedByLimit = &net.OpError{Op: "read", Err: net.ErrClosed}

// refuse answers a request whose head is not complete, so that it cannot have run. The
// caller may still be sending, and then loses the response with its connection.
func (c *conn) refuse(status string, r Reason) {
	// An error means that the caller has left.
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = c.TCPConn.Write([]byte("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	_ = c.CloseWrite()
	c.listener.report(r, c)
}

// refusalWriteTimeout bounds the time to write a response without a body.
const refusalWriteTimeout = 100 * time.Millisecond

func (l *Listener) report(r Reason, c *conn) {
	if l.limits.OnLimit != nil {
		l.limits.OnLimit(r, c.RemoteAddr())
	}
}

// release returns the memory of the head to its budget.
func (c *conn) release() {
	if n := c.charged.Swap(0); n > 0 {
		c.listener.limits.HeadMemory.Return(int(n))
	}
}

// evictHead closes the connection with the largest incomplete head, the oldest one of
// those. It returns false if that is c itself.
func (l *Listener) evictHead(c *conn) bool {
	l.mu.Lock()
	victim, largest := c, c.charged.Load()
	for x := range l.conns {
		n := x.charged.Load()
		if x != c && x.isEvictable() && (n > largest || n == largest && n > 0 && x.acceptedAt.Before(victim.acceptedAt)) {
			victim, largest = x, n
		}
	}
	l.mu.Unlock()
	if victim == c {
		return false
	}
	if victim.evict() {
		l.report(ReasonHeadMemory, victim)
		_ = victim.Close()
	}
	return true
}

// makeRoom closes a connection if there are as many as there may be. It reports whether
// there is room for another one.
func (l *Listener) makeRoom() bool {
	for l.limits.Conns > 0 {
		l.mu.Lock()
		if len(l.conns) < l.limits.Conns {
			l.mu.Unlock()
			return true
		}
		victim := l.pickVictim()
		l.mu.Unlock()
		if victim == nil {
			return false
		}
		if victim.evict() {
			l.report(ReasonConns, victim)
			// The caller may have closed it, too.
			_ = victim.Close()
		}
	}
	return true
}

// freshTime is how long a connection may take to send a request before others are preferred
// to it.
const freshTime = time.Second

// pickVictim returns the connection to close for a new one, or nil if all carry requests:
// first one that takes long to send a head or body, the one with the largest head and then
// the oldest; then one that has been idle for the longest time; then the largest and oldest
// of the others.
func (l *Listener) pickVictim() *conn {
	var slow, idle, fresh *conn
	prefer := func(a, b *conn) bool {
		if b == nil {
			return true
		}
		x, y := a.charged.Load(), b.charged.Load()
		return x > y || x == y && a.waitingSince().Before(b.waitingSince())
	}
	for c := range l.conns {
		if !c.isEvictable() {
			continue
		}
		isIdle := http.ConnState(c.state.Load()) == http.StateIdle && c.usage.Load() == unread
		switch {
		case isIdle:
			if idle == nil || c.waitingSince().Before(idle.waitingSince()) {
				idle = c
			}
		case time.Since(c.waitingSince()) > freshTime:
			if prefer(c, slow) {
				slow = c
			}
		case prefer(c, fresh):
			fresh = c
		}
	}
	if slow != nil {
		return slow
	}
	if idle != nil && !idle.hasUnread() && idle.usage.CompareAndSwap(unread, claimed) {
		return idle
	}
	return fresh
}

// waitingSince returns since when a connection waits for a head or its rest.
func (c *conn) waitingSince() time.Time { return c.acceptedAt.Add(time.Duration(c.headBeganAt.Load())) }

// headRead returns the memory that only the reading of a head has taken.
func (c *conn) headRead() {
	kept := int64(c.head.cost(keptHeadByteCost))
	for held := c.charged.Load(); held > kept; held = c.charged.Load() {
		// The connection may be closed to make room in the meantime, which returns all.
		if c.charged.CompareAndSwap(held, kept) {
			c.listener.limits.HeadMemory.Return(int(held - kept))
			return
		}
	}
}

// headEnded resets the count of a head once its request has ended.
func (c *conn) headEnded() {
	c.head = headScanner{}
	c.headBeganAt.Store(int64(time.Since(c.acceptedAt)))
	c.release()
	c.untrustedBody.Store(false)
	c.bodyBytes.Store(0)
	if !c.phase.CompareAndSwap(handling, readingHead) {
		c.phase.CompareAndSwap(readingBody, readingHead)
	}
}

// unwantedBodyTimeout bounds the time to read a body that the handler ignores.
const unwantedBodyTimeout = time.Second

// WithoutBody is for handlers that ignore bodies. The server would wait without end for the
// rest of a body before it completes the request.
func WithoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			// A connection without deadlines fails later, when it is read or written.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unwantedBodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// ConnContext is the hook of the same name of the server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler passes requests on to next unless their connections have been closed to make
// room. From then on, these are not closed for others.
func Handler(next http.Handler) http.Handler {
	return BodyHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !BeginRequest(Conn(r)) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	}))
}

// BodyHandler is Handler for a next that reads a body and must call BeginRequest before it
// passes the request on.
func BodyHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !BeginBody(Conn(r)) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// Conn returns the connection of a request, or nil if its server lacks the hook ConnContext.
func Conn(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}

// BeginBody must be called when the head of a request has been read. It returns false if
// the connection has been closed to make room.
func BeginBody(c net.Conn) bool {
	x, ok := c.(*conn)
	if !ok {
		return true
	}
	if !x.phase.CompareAndSwap(readingHead, readingBody) {
		return false
	}
	x.headRead()
	return true
}

// BeginRequest must be called before a request is passed on. It returns false if the
// connection has been closed to make room: then the request must not run. From then on, the
// connection is not closed for others until the server reports http.StateIdle.
func BeginRequest(c net.Conn) bool {
	x, ok := c.(*conn)
	return !ok || x.phase.CompareAndSwap(readingBody, handling)
}

// pressureTime is how long after a refused connection others end with their responses.
const pressureTime = time.Second

// ShouldClose reports whether a connection should end with its response, since others have
// been refused: a client that always has another request would keep its place for good.
func ShouldClose(c net.Conn) bool {
	x, ok := c.(*conn)
	return ok && time.Since(time.Unix(0, x.listener.refusedAt.Load())) < pressureTime
}

// MarkUntrusted lets MakeRoomForBody close the connection while the body is read.
func MarkUntrusted(c net.Conn) {
	if x, ok := c.(*conn); ok {
		x.untrustedBody.Store(true)
	}
}

// MakeRoomForBody closes the connection that has sent most of a body, of those that are
// marked as untrusted and have taken more than freshTime. It reports whether there was one.
func MakeRoomForBody(c net.Conn) bool {
	x, ok := c.(*conn)
	if !ok {
		return false
	}
	l := x.listener
	var victim *conn
	l.mu.Lock()
	for y := range l.conns {
		slow := y != x && y.untrustedBody.Load() && y.phase.Load() == readingBody && time.Since(y.waitingSince()) > freshTime
		if slow && (victim == nil || y.bodyBytes.Load() > victim.bodyBytes.Load()) {
			victim = y
		}
	}
	l.mu.Unlock()
	if victim == nil || !victim.evict() {
		return false
	}
	l.report(ReasonBodyMemory, victim)
	_ = victim.Close()
	return true
}
