// Package loopback finds addresses on which tests can listen.
package loopback

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

// Ports that are tried: below those that Linux gives to outgoing connections by
// default, so that none of these takes one between its choice and its use.
const (
	lowest = 20000
	most   = 10000
	tries  = 100
)

// FreeAddress returns an address of 127.0.0.1 whose port is free for TCP and UDP.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range tries {
		address := "127.0.0.1:" + strconv.Itoa(lowest+rand.IntN(most))
		if free(address) {
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

func free(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}
