package e2e

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/procstat"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/stretchr/testify/require"
)

// The crowds of untrusted clients of a router, and the bound of its peak resident memory.
const (
	untrustedMemoryBytes = 128 << 20
	untrustedConns       = 600
	untrustedBodyConns   = 60
	untrustedSendTime    = 3 * time.Second
)

// Bodies and heads of clients without a key used up the memory of a router.
func TestUntrustedClientsOfARouter(t *testing.T) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"
	large := strings.Repeat("x", 8<<20)
	entry := func(v *vm) string { return v.entryAddress }
	status := func(v *vm) string { return v.statusAddress }
	tests := []struct {
		name          string
		address       func(*vm) string
		conns         int
		begin, repeat string
	}{
		{"bodies without key", entry, untrustedBodyConns, head + "Content-Length: 8388608\r\n\r\n" + large, ""},
		{"half bodies without key", entry, untrustedBodyConns, head + "Content-Length: 8388609\r\n\r\n" + large, ""},
		{"half bodies with a wrong key", entry, untrustedBodyConns, head + "Authorization: Bearer wrong\r\nContent-Length: 8388609\r\n\r\n" + large, ""},
		{"chunks without end", entry, untrustedBodyConns, head + "Transfer-Encoding: chunked\r\n\r\n", "800\r\n" + large[:0x800] + "\r\n"},
		{"half bodies on an open route", entry, untrustedBodyConns, "POST /open HTTP/1.1\r\nHost: h\r\nContent-Length: 8388609\r\n\r\n" + large, ""},
		{"half heads", entry, untrustedConns, head + strings.Repeat("a:\n", 10000), ""},
		{"heads without end", entry, untrustedConns, head, strings.Repeat("Field: x\r\n", 400)},
		{"empty lines", entry, untrustedConns, "", strings.Repeat("\r\n", 2000)},
		{"responses never read", entry, untrustedConns, "", strings.Repeat("GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n", 40)},
		{"half heads on the status address", status, untrustedConns, head + strings.Repeat("a:\n", 10000), ""},
		{"half bodies on the status address", status, untrustedBodyConns, "POST /faults HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n" + large[:3900000], ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, fleetOptions{routers: 1, zones: []string{"zone-a"}, enginesPerZone: 1})
			v := f.vms[0]
			defer sendUntrusted(tt.address(v), tt.conns, tt.begin, tt.repeat)()
			require.Eventually(t, func() bool {
				reply, err := f.requestModel(v, teamLarge, trial.ModelRequest{Messages: []string{"p"}, MaxTokens: 4})
				return err == nil && reply.Status == 200
			}, time.Minute, 100*time.Millisecond, "no answer to an ordinary request")
			peak, err := procstat.PeakResidentBytes(v.cmd.Process.Pid)
			require.NoError(t, err)
			t.Logf("peak resident memory %.1f MB", float64(peak)/(1<<20))
			require.LessOrEqual(t, peak, int64(untrustedMemoryBytes), "peak resident memory")
		})
	}
}

// sendUntrusted opens connections that send begin, and then repeat for untrustedSendTime.
// It returns a function that closes them.
func sendUntrusted(address string, conns int, begin, repeat string) (closeAll func()) {
	deadline := time.Now().Add(untrustedSendTime)
	var mu sync.Mutex
	var open []net.Conn
	var sending sync.WaitGroup
	for range conns {
		sending.Go(func() {
			c, err := net.DialTimeout("tcp4", address, untrustedSendTime)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(deadline)
			_, err = io.WriteString(c, begin)
			for repeat != "" && err == nil {
				_, err = io.WriteString(c, repeat)
			}
		})
	}
	sending.Wait()
	return func() {
		for _, c := range open {
			_ = c.Close()
		}
	}
}

// The largest body within the limits is served in calm.
func TestLargestBodyIsServedByARouter(t *testing.T) {
	f := newFleet(t, fleetOptions{routers: 1, zones: []string{"zone-a"}, enginesPerZone: 1})
	got := f.sendCall(f.vms[0], "POST", "/lookups/x", f.keys[teamLarge], "", strings.Repeat("x", 8<<20), nil)
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	// Clients see why a body was not read.
	got = f.sendCall(f.vms[0], "POST", "/lookups/x", "wrong", "", strings.Repeat("x", 8<<20), nil)
	require.NoError(t, got.err)
	require.Equal(t, 401, got.status)
}
