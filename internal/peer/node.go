package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Timings of connections.
const (
	idleTimeout      = 20 * time.Second
	handshakeTimeout = 2 * time.Second
	serveTimeout     = 10 * time.Second
)

// maxStreamsPerConn bounds the requests in progress on one connection.
const maxStreamsPerConn = 1024

// closeReason and closeCode are what peers receive when this node closes a
// connection.
const (
	closeReason                           = "closing"
	closeCode   quic.ApplicationErrorCode = 0
)

const protocolName = "marjoramrock/2"

// ErrUnexpected means that a reply was not of the requested type.
var ErrUnexpected = errors.New("peer: unexpected type of reply")

// Handler answers a request.
type Handler func(ctx context.Context, m Message) (Message, error)

// AddressFilter is called before each exchange with an address, in either
// direction. An error prevents the exchange.
type AddressFilter func(address string) error

// Options configure a Node.
type Options struct {
	Address string
	TLS     *tls.Config
	Handler Handler
	Filter  AddressFilter
	// OnInvalid is called for requests that could not be read or decoded.
	OnInvalid func(address string, err error)
}

// Node serves and calls peers over one UDP socket.
type Node struct {
	options   Options
	transport *quic.Transport
	listener  *quic.Listener
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu    sync.Mutex // guards the field below
	conns map[string]*clientConn
}

// clientConn is an outgoing connection. Ready is closed once conn or err is set.
type clientConn struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// NewNode returns a node that listens on an address until Close is called.
func NewNode(o Options) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp", o.Address)
	if err != nil {
		return nil, fmt.Errorf("peer: address: %w", err)
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	n := &Node{
		options:   o,
		transport: &quic.Transport{Conn: socket},
		conns:     make(map[string]*clientConn),
	}
	n.listener, err = n.transport.Listen(o.TLS, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("peer: listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { n.accept(ctx) })
	return n, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		HandshakeIdleTimeout: handshakeTimeout,
		MaxIncomingStreams:   maxStreamsPerConn,
	}
}

// Address returns the local address of the socket.
func (n *Node) Address() string { return n.transport.Conn.LocalAddr().String() }

// Close aborts all exchanges, closes the connections with closeCode so that peers
// notice, and waits for the handlers to return.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close()
	n.mu.Lock()
	open := n.conns
	n.conns = make(map[string]*clientConn)
	n.mu.Unlock()
	for _, l := range open {
		<-l.ready
		if l.conn != nil {
			_ = l.conn.CloseWithError(closeCode, closeReason)
		}
	}
	n.done.Wait()
	_ = n.transport.Close()
	_ = n.transport.Conn.Close()
}

func (n *Node) accept(ctx context.Context) {
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return
		}
		n.done.Go(func() { n.serve(ctx, conn) })
	}
}

func (n *Node) serve(ctx context.Context, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			_ = conn.CloseWithError(closeCode, closeReason)
			return
		}
		n.done.Go(func() { n.answer(ctx, conn.RemoteAddr().String(), stream) })
	}
}

func (n *Node) answer(ctx context.Context, from string, stream *quic.Stream) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	if n.options.Filter(from) != nil {
		stream.CancelRead(0)
		stream.CancelWrite(0)
		return
	}
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	m, err := receive(stream)
	if err != nil {
		n.options.OnInvalid(from, err)
		stream.CancelWrite(0)
		return
	}
	reply, err := n.options.Handler(ctx, m)
	if err != nil {
		reply = &FailureError{Text: err.Error()}
	}
	if err := send(stream, reply); err != nil {
		stream.CancelWrite(0)
	}
}

func receive(stream *quic.Stream) (Message, error) {
	raw, err := io.ReadAll(io.LimitReader(stream, MaxMessageBytes))
	if err != nil {
		return nil, fmt.Errorf("peer: receive: %w", err)
	}
	return Decode(raw)
}

func send(stream *quic.Stream, m Message) error {
	raw, err := Encode(m)
	if err != nil {
		return err
	}
	if _, err := stream.Write(raw); err != nil {
		return fmt.Errorf("peer: send: %w", err)
	}
	if err := stream.Close(); err != nil {
		return fmt.Errorf("peer: send: %w", err)
	}
	return nil
}

// Call sends a request to a peer and returns its reply as R. It returns a
// *FailureError if the peer failed or refused it, and ErrUnexpected, wrapped, for a
// reply of another type.
func Call[R Message](ctx context.Context, n *Node, address string, m Message) (R, error) {
	var none R
	reply, err := n.call(ctx, address, m)
	if err != nil {
		return none, fmt.Errorf("peer: call %s: %w", address, err)
	}
	if failure, ok := reply.(*FailureError); ok {
		return none, failure
	}
	typed, ok := reply.(R)
	if !ok {
		return none, fmt.Errorf("%w from %s", ErrUnexpected, address)
	}
	return typed, nil
}

func (n *Node) call(ctx context.Context, address string, m Message) (Message, error) {
	if err := n.options.Filter(address); err != nil {
		return nil, err
	}
	reply, err := n.callOnce(ctx, address, m)
	if !isRemoteClose(err) {
		return reply, err
	}
	return n.callOnce(ctx, address, m)
}

// callOnce makes one attempt at a call.
func (n *Node) callOnce(ctx context.Context, address string, m Message) (Message, error) {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := exchange(ctx, conn, m)
	if err != nil {
		// The peer's process may have been replaced by one that does not know the
		// connection, without any notice. The next call dials again.
		n.forget(address, conn)
	}
	return reply, err
}

// isRemoteClose reports whether a call failed because the peer closed the
// connection with closeCode while the call was in progress. All messages are
// idempotent, so the call may be retried with the process that now has the address.
func isRemoteClose(err error) bool {
	var ended *quic.ApplicationError
	return errors.As(err, &ended) && ended.Remote && ended.ErrorCode == closeCode
}

func exchange(ctx context.Context, conn *quic.Conn, m Message) (Message, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := send(stream, m); err != nil {
		return nil, err
	}
	return receive(stream)
}

// connect returns the connection to an address. Concurrent callers share one dial.
func (n *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	n.mu.Lock()
	l, ok := n.conns[address]
	if !ok || l.ended() {
		l = &clientConn{ready: make(chan struct{})}
		n.conns[address] = l
		go n.dial(address, l)
	}
	n.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.ready:
	}
	if l.err != nil {
		return nil, l.err
	}
	return l.conn, nil
}

// ended reports whether the connection was established and has been closed.
func (l *clientConn) ended() bool {
	select {
	case <-l.ready:
		return l.conn != nil && l.conn.Context().Err() != nil
	default:
		return false
	}
}

func (n *Node) dial(address string, l *clientConn) {
	defer close(l.ready)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	target, err := net.ResolveUDPAddr("udp", address)
	if err == nil {
		l.conn, err = n.transport.Dial(ctx, target, n.options.TLS, quicConfig())
	}
	if err != nil {
		l.err = fmt.Errorf("dial: %w", err)
		n.forget(address, nil)
	}
}

// forget drops a connection so that the next call dials again.
func (n *Node) forget(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.conns[address]; l != nil && l.conn == conn {
		delete(n.conns, address)
	}
}
