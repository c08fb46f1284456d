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

// maxStreams bounds the requests in progress on one connection.
const maxStreams = 1024

// closing and closingCode are the reason that peers are given for the end of a
// connection.
const (
	closing                               = "closing"
	closingCode quic.ApplicationErrorCode = 0
)

const protocolName = "marjoramrock/2"

// ErrUnexpected means that a reply was of another kind than asked for.
var ErrUnexpected = errors.New("peer: unexpected reply")

// Handler answers a request.
type Handler func(ctx context.Context, m Message) (Message, error)

// AddressFilter is asked before any exchange with an address; an error keeps it from
// happening in either direction.
type AddressFilter func(address string) error

// Options shape a Node.
type Options struct {
	Address string
	TLS     *tls.Config
	Handler Handler
	Filter  AddressFilter
	// OnInvalid is told of messages that were refused.
	OnInvalid func(address string, err error)
}

// Node listens for and calls peers over one UDP socket.
type Node struct {
	options   Options
	transport *quic.Transport
	listener  *quic.Listener
	cancel    context.CancelFunc
	done      sync.WaitGroup

	mu    sync.Mutex // guards the field below
	conns map[string]*link
}

// link is one outgoing connection; ready is closed once conn or err is set.
type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// NewNode returns a listening node. Close ends it.
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
		conns:     make(map[string]*link),
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
		MaxIncomingStreams:   maxStreams,
	}
}

// Address returns the address in use.
func (n *Node) Address() string { return n.transport.Conn.LocalAddr().String() }

// Close ends all exchanges and tells the peers.
func (n *Node) Close() {
	n.cancel()
	_ = n.listener.Close()
	n.mu.Lock()
	open := n.conns
	n.conns = make(map[string]*link)
	n.mu.Unlock()
	for _, l := range open {
		<-l.ready
		if l.conn != nil {
			_ = l.conn.CloseWithError(closingCode, closing)
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
			_ = conn.CloseWithError(closingCode, closing)
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

// Call calls a peer and returns its reply as R. It returns a *FailureError when the
// peer refused, and ErrUnexpected for a reply of another kind.
func Call[R Message](ctx context.Context, n *Node, address string, m Message) (R, error) {
	var none R
	reply, err := n.call(ctx, address, m)
	if err != nil {
		return none, fmt.Errorf("peer: ask %s: %w", address, err)
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
	reply, err := n.try(ctx, address, m)
	if !saidGoodbye(err) {
		return reply, err
	}
	return n.try(ctx, address, m)
}

// try makes one attempt at a call.
func (n *Node) try(ctx context.Context, address string, m Message) (Message, error) {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := exchange(ctx, conn, m)
	if err != nil {
		// The peer may have been replaced by one that does not know the
		// connection, which nothing tells us; the next call dials anew.
		n.forget(address, conn)
	}
	return reply, err
}

// saidGoodbye reports whether a call failed because the peer closed the
// connection in good order while the call was on its way. Every message is
// idempotent, so it may be sent again to the process that took the address.
func saidGoodbye(err error) bool {
	var ended *quic.ApplicationError
	return errors.As(err, &ended) && ended.Remote && ended.ErrorCode == closingCode
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

// connect returns the connection to an address, dialling once for all callers
// that wait for it.
func (n *Node) connect(ctx context.Context, address string) (*quic.Conn, error) {
	n.mu.Lock()
	l, ok := n.conns[address]
	if !ok || l.ended() {
		l = &link{ready: make(chan struct{})}
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

// ended reports whether the connection was made and is over.
func (l *link) ended() bool {
	select {
	case <-l.ready:
		return l.conn != nil && l.conn.Context().Err() != nil
	default:
		return false
	}
}

func (n *Node) dial(address string, l *link) {
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

// forget drops a connection so that the next call dials anew.
func (n *Node) forget(address string, conn *quic.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.conns[address]; l != nil && l.conn == conn {
		delete(n.conns, address)
	}
}
