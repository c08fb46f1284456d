package socket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeek(t *testing.T) {
	tests := []struct {
		name string
		act  func(peer net.Conn) error
		want State
	}{
		{"nothing sent", func(net.Conn) error { return nil }, Quiet},
		{"a byte sent", func(peer net.Conn) error { _, err := io.WriteString(peer, "x"); return err }, Unread},
		{"a byte sent before the end", func(peer net.Conn) error {
			if _, err := io.WriteString(peer, "x"); err != nil {
				return err
			}
			return peer.Close()
		}, Unread},
		{"closed by the peer", func(peer net.Conn) error { return peer.Close() }, Closed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			peer, err := net.Dial("tcp4", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = peer.Close() }()
			c, err := l.Accept()
			require.NoError(t, err)
			require.NoError(t, tt.act(peer))
			require.Eventually(t, func() bool { return Peek(c.(*net.TCPConn)) == tt.want }, time.Second, time.Millisecond)
			require.NoError(t, c.Close())
			require.Equal(t, Closed, Peek(c.(*net.TCPConn)))
		})
	}
}
