package router

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// startRawServer starts a server that hands each connection to serve and then closes it.
func startRawServer(t *testing.T, serve func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return l.Addr().String()
}
