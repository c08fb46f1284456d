// Package loopback finds free loopback addresses for tests to listen on.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"
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

// nextPort counts the ports tried. Consecutive calls never return the same port, since
// the first one may not be bound yet.
var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(portCount)) }

// FreeAddress returns a loopback address whose port is free for TCP and UDP. No other
// process that uses this package gets the same one.
func FreeAddress(t testing.TB) string {
	t.Helper()
	return FreeAddressOn(t, processIP(os.Getpid()))
}

// FreeAddressOn is like FreeAddress for a loopback IP of the caller's choice, which other
// processes may use as well.
func FreeAddressOn(t testing.TB, ip string) string {
	t.Helper()
	for range maxAttempts {
		address := ip + ":" + strconv.Itoa(minPort+int(nextPort.Add(1)%portCount))
		if isFree(address) {
			return address
		}
	}
	t.Fatal("loopback: no free port found")
	return ""
}

// processIP returns the loopback IP of the process with the given ID, which is below
// 1<<22 on Linux. The first octets keep clear of 127.0.0.0/10, where tests choose
// addresses themselves.
func processIP(pid int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
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
