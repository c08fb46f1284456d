// Package loopback finds free loopback addresses for tests to listen on.
package loopback

import (
	"math/rand/v2"
	"net"
	"strconv"
	"testing"
)

// The ports to choose from. They are below the default range of ephemeral ports on
// Linux (32768 and up), so that no outgoing connection takes a port between its choice
// and its use.
const (
	minPort     = 20000
	portCount   = 10000
	maxAttempts = 100
)

// FreeAddress returns an address of 127.0.0.1 whose port is free for TCP and UDP.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range maxAttempts {
		address := "127.0.0.1:" + strconv.Itoa(minPort+rand.IntN(portCount))
		if isFree(address) {
			return address
		}
	}
	t.Fatal("loopback: no free port found")
	return ""
}

func isFree(address string) bool {
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
