package gossip

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/loopback"
	"github.com/stretchr/testify/require"
)

type recorder struct {
	mu       sync.Mutex
	messages []*Message
	fresh    int
	invalid  int
}

func (h *recorder) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.messages)
}

func startNode(t *testing.T, vm, address string, epoch uint64) (*Node, *recorder) {
	t.Helper()
	h := &recorder{}
	start := time.Now()
	n, err := NewNode(Options{
		VM: vm, Zone: "z", Address: address, Epoch: epoch, Now: func() time.Duration { return time.Since(start) },
		OnMessage: func(m *Message, fresh bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.messages = append(h.messages, m)
			if fresh {
				h.fresh++
			}
		},
		OnInvalid: func(string, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.invalid++
		},
	})
	require.NoError(t, err)
	t.Cleanup(n.Close)
	return n, h
}

func TestNodesLearnOfSenders(t *testing.T) {
	a, fromB := startNode(t, "a", loopback.FreeAddress(t), 1)
	b, fromA := startNode(t, "b", loopback.FreeAddress(t), 1)
	a.AddMember("b", b.options.Address)
	want := &Message{
		Usage: map[string]float64{"t": 5}, Loads: map[string]Load{"e": {Calls: 2, PendingTokens: 30}},
		Versions: []Version{{Engine: "e", Born: 4, Model: "m", Version: 3}},
		Parts:    []Part{{Engine: "e", Born: 4, Salt: "m@3", ID: "ab", Tokens: 100}},
	}
	require.NoError(t, a.Broadcast(want, AllZones))
	require.Eventually(t, func() bool { return fromA.count() == 1 }, time.Second, time.Millisecond)
	require.Equal(t, want, fromA.messages[0])
	require.Equal(t, 1, fromA.fresh)

	require.NoError(t, b.Broadcast(&Message{}, AllZones))
	require.Eventually(t, func() bool { return fromB.count() == 1 }, time.Second, time.Millisecond, "b learned the address of a from its message")
	require.Equal(t, 1, b.MemberCount())
}

func TestOutOfOrderMessagesAndOldEpochsAreDropped(t *testing.T) {
	n, _ := startNode(t, "a", loopback.FreeAddress(t), 1)
	steps := []struct {
		name            string
		epoch, sequence uint64
		leaving         bool
		fresh, accepted bool
	}{
		{"first", 5, 1, false, true, true},
		{"next", 5, 3, false, false, true},
		{"out of order", 5, 2, false, false, false},
		{"duplicate", 5, 3, false, false, false},
		{"new process", 6, 1, false, true, true},
		{"old process", 5, 9, false, false, false},
		{"leaving", 6, 2, true, false, true},
	}
	for _, s := range steps {
		fresh, accepted := n.receive(&Message{VM: "b", Address: "127.0.0.1:1", Epoch: s.epoch, Sequence: s.sequence, Leaving: s.leaving})
		require.Equal(t, s.accepted, accepted, s.name)
		require.Equal(t, s.fresh, fresh, s.name)
	}
	require.Zero(t, n.MemberCount())
}

func TestSilentZones(t *testing.T) {
	n, _ := startNode(t, "a", loopback.FreeAddress(t), 1)
	now := time.Duration(0)
	n.options.Now = func() time.Duration { return now }
	receive := func(vm, zone string, sequence uint64) {
		n.receive(&Message{VM: vm, Zone: zone, Address: "127.0.0.1:1", Epoch: 1, Sequence: sequence})
	}
	receive("b", "z", 1)
	receive("c", "y", 1)
	receive("d", "y", 1)
	require.Empty(t, n.SilentZones(time.Second))
	now = 2 * time.Second
	receive("d", "y", 2)
	require.Empty(t, n.SilentZones(time.Second), "the VM's own zone is never silent")
	n.options.Zone = "x"
	require.Equal(t, map[string]bool{"z": true}, n.SilentZones(time.Second))
}

func TestTargetsByScope(t *testing.T) {
	n, _ := startNode(t, "a", loopback.FreeAddress(t), 1)
	now := time.Duration(0)
	n.options.Now = func() time.Duration { return now }
	for i, member := range []struct{ name, zone string }{{"b", "z"}, {"c", "y"}, {"d", "y"}, {"e", "y"}, {"f", "x"}, {"g", ""}} {
		n.receive(&Message{VM: member.name, Zone: member.zone, Address: fmt.Sprint("127.0.0.1:", i+1), Epoch: 1, Sequence: 1})
	}
	now = leaderTimeout
	// In zone y, only VM e was heard within leaderTimeout.
	n.receive(&Message{VM: "e", Zone: "y", Address: "127.0.0.1:4", Epoch: 1, Sequence: 2})
	tests := []struct {
		name  string
		scope Scope
		want  []uint16
	}{
		{"own zone and unknown zone", OwnZone, []uint16{1, 6}},
		{"two of each other zone, recently heard ones first", OtherZones, []uint16{2, 4, 5}},
		{"all", AllZones, []uint16{1, 2, 3, 4, 5, 6}},
	}
	for _, tt := range tests {
		var ports []uint16
		for _, addr := range n.targets(tt.scope) {
			ports = append(ports, addr.Port())
		}
		require.ElementsMatch(t, tt.want, ports, tt.name)
	}
	require.Equal(t, 1, n.ZoneMemberCount())
	require.Empty(t, n.RecentZoneMembers(time.Second/2))
}

// The receiver of a digest learns of the members that it lists, and forwards it to
// the VMs of its zone.
func TestDigestIsForwardedWithinZone(t *testing.T) {
	remote, _ := startNode(t, "far", loopback.FreeAddress(t), 1)
	remote.options.Zone = "y"
	a, fromRemote := startNode(t, "a", loopback.FreeAddress(t), 1)
	b, fromA := startNode(t, "b", loopback.FreeAddress(t), 1)
	for n, vm := range map[*Node]*Node{a: b, b: a} {
		n.receive(&Message{VM: vm.options.VM, Zone: "z", Address: vm.options.Address, Epoch: 1, Sequence: 0})
	}
	remote.receive(&Message{VM: "a", Zone: "z", Address: a.options.Address, Epoch: 1, Sequence: 0})
	newMember := Member{VM: "mate", Address: "127.0.0.9:9", Epoch: 3, Sequence: 7, Usage: map[string]float64{"t": 4}}
	staleMember := Member{VM: "b", Address: b.options.Address, Epoch: 0, Sequence: 9}
	require.NoError(t, remote.Broadcast(&Message{Digest: true, Members: []Member{newMember, staleMember}}, OtherZones))
	for _, h := range []*recorder{fromRemote, fromA} {
		require.Eventually(t, func() bool { return h.count() == 1 }, time.Second, time.Millisecond)
		require.Equal(t, []Member{newMember}, h.messages[0].Members, "the message received from b itself is newer")
	}
	require.Equal(t, 3, a.MemberCount())
	require.Equal(t, 3, b.MemberCount())
	// The messages of a VM and the digest entries about it share one sequence.
	fresh, accepted := a.receive(&Message{VM: "mate", Zone: "y", Address: newMember.Address, Epoch: 3, Sequence: 7})
	require.False(t, fresh || accepted)
}

func TestInvalidDatagramsAreReportedAndIgnored(t *testing.T) {
	n, h := startNode(t, "a", loopback.FreeAddress(t), 1)
	c, err := net.Dial("udp4", n.options.Address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("not a message"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.invalid == 1 }, time.Second, time.Millisecond)
	require.Zero(t, h.count())
}

func TestSeedsUseTheCommonPort(t *testing.T) {
	n, _ := startNode(t, "a", loopback.FreeAddress(t), 1)
	ip, _, err := net.SplitHostPort(n.options.Address)
	require.NoError(t, err)
	n.AddSeed("127.0.0.9:1")
	n.AddSeed(net.JoinHostPort(ip, "2"))
	require.Len(t, n.seeds, 1, "the node's own IP address is not a seed")
	for addr := range n.seeds {
		require.Equal(t, "127.0.0.9", addr.Addr().String())
	}
}

func TestMessageWithANumberOutOfRangeIsRejected(t *testing.T) {
	sender := func(m Message) Message { m.VM, m.Address = "a", "1.2.3.4:5"; return m }
	tests := []struct {
		name  string
		m     Message
		valid bool
	}{
		{"all numbers in range", Message{
			Usage: map[string]float64{"t": 1e9}, Loads: map[string]Load{"e": {Calls: 3, PendingTokens: maxCount}}, Parts: []Part{{Tokens: 800, ReadyInMillis: -5}},
			Failed: []Failure{{Failures: 2, BackoffMillis: 4000}}, Members: []Member{{Usage: map[string]float64{"t": 0}}},
		}, true},
		{"share above one", Message{Grants: []Grant{{Share: 1.1}}}, false},
		{"plan for next week", Message{Grants: []Grant{{LastMillis: 7 * maxMillis}}}, false},
		{"negative latency count", Message{Rollouts: []RolloutCounts{{Routes: []RouteCounts{{Latency: []int64{1, -1}}}}}}, false},
		{"too many calls of a member", Message{MemberRollouts: []MemberRollouts{{Counts: []RolloutCounts{{Routes: []RouteCounts{{Sent: maxCount + 1}}}}}}}, false},
		{"usage that is no number", Message{Usage: map[string]float64{"t": math.NaN()}}, false},
		{"infinite usage", Message{Usage: map[string]float64{"t": math.Inf(1)}}, false},
		{"usage of a member", Message{Members: []Member{{Usage: map[string]float64{"t": math.Inf(-1)}}}}, false},
		{"negative calls", Message{Loads: map[string]Load{"e": {Calls: -1}}}, false},
		{"pending tokens", Message{Loads: map[string]Load{"e": {PendingTokens: math.MaxInt}}}, false},
		{"tokens held", Message{HeldTokens: map[string]int{"e": math.MaxInt}}, false},
		{"negative tokens held", Message{HeldTokens: map[string]int{"e": -1}}, false},
		{"failures", Message{Failed: []Failure{{Failures: math.MaxInt}}}, false},
		{"negative backoff", Message{Failed: []Failure{{BackoffMillis: -1}}}, false},
		{"backoff", Message{Failed: []Failure{{BackoffMillis: math.MaxInt64}}}, false},
		{"tokens of a part", Message{Parts: []Part{{Tokens: math.MaxInt}}}, false},
		{"negative tokens of a part", Message{Parts: []Part{{Tokens: math.MinInt}}}, false},
		{"readiness of a part", Message{Parts: []Part{{ReadyInMillis: math.MaxInt64}}}, false},
		{"quarantine that has lasted for a month", Message{Quarantines: []Quarantine{{SinceMillis: 30 * maxMillis, AskedMillis: 5, LeftMillis: -5, HoldMillis: 20000}}}, true},
		{"age of a break", Message{Breaks: []Break{{AgeMillis: math.MaxInt64}}}, false},
		{"break in the future", Message{Breaks: []Break{{AgeMillis: math.MinInt64}}}, false},
		{"time of a break", Message{Breaks: []Break{{}}, BreakTimes: []BreakTimes{{HeadMillis: -1}}}, false},
		{"uptime of an engine", Message{Breaks: []Break{{}}, BreakTimes: []BreakTimes{{UptimeMillis: math.MaxInt64}}}, false},
		{"positions of other parts", Message{Breaks: []Break{{Parts: []string{"a"}}}, BreakPositions: [][]int{{1, 2}}}, false},
		{"negative position", Message{Breaks: []Break{{Parts: []string{"a"}}}, BreakPositions: [][]int{{-1}}}, false},
		{"age of a cut", Message{Cut: []Cut{{AgeMillis: math.MaxInt64}}}, false},
		{"times of other breaks", Message{Breaks: []Break{{}}, BreakTimes: make([]BreakTimes, 2)}, false},
		{"age of a success", Message{Succeeded: []Success{{AgeMillis: math.MaxInt64}}}, false},
		{"success in the future", Message{Succeeded: []Success{{AgeMillis: -2 * maxMillis}}}, false},
		{"age of an answer", Message{Answered: []Answered{{AgeMillis: math.MaxInt64}}}, false},
		{"start of a quarantine", Message{Quarantines: []Quarantine{{SinceMillis: math.MaxInt64}}}, false},
		{"last call of a quarantine", Message{Quarantines: []Quarantine{{AskedMillis: math.MinInt64}}}, false},
		{"end of a quarantine", Message{Quarantines: []Quarantine{{LeftMillis: math.MaxInt64}}}, false},
		{"hold of a quarantine", Message{Quarantines: []Quarantine{{HoldMillis: math.MaxInt64}}}, false},
		{"confirmations", Message{Confirmed: make([]byte, maxConfirmedBytes), Heard: []Heard{{VM: "b", Epoch: math.MaxUint64, Sequence: 3}}}, true},
		{"too many confirmed states", Message{Confirmed: make([]byte, maxConfirmedBytes+1)}, false},
		{"too many digests", Message{Heard: make([]Heard, maxHeard+1)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := sender(tt.m)
			raw, err := encode(&m)
			require.NoError(t, err)
			_, err = decode(raw)
			if tt.valid {
				require.NoError(t, err)
				return
			}
			require.ErrorIs(t, err, errOutOfRange)
		})
	}
}

func TestBytesThatAreNoMessageAreRejected(t *testing.T) {
	valid, err := encode(&Message{VM: "a", Address: "1.2.3.4:5"})
	require.NoError(t, err)
	// withField is the valid message with one more field: an array of 2^20 levels, in a
	// field that is known or not.
	withField := func(key byte) []byte {
		raw := append([]byte{valid[0] + 1}, valid[1:]...)
		return append(append(append(raw, key), bytes.Repeat([]byte{0x81}, 1<<20)...), 0x01)
	}
	tests := []struct {
		name string
		raw  []byte
	}{
		{"nothing", nil},
		{"null", []byte{0xf6}},
		{"nested arrays", bytes.Repeat([]byte{0x81}, 1<<20)},
		{"nested maps", bytes.Repeat([]byte{0xa1, 0x01}, 1<<20)},
		{"nested tags", bytes.Repeat([]byte{0xc1}, 1<<20)},
		{"nested arrays without a length", bytes.Repeat([]byte{0x9f}, 1<<20)},
		{"nested in a known field", withField(0x08)},
		{"nested in an unknown field", withField(0x17)},
		{"array of 2^60 elements", []byte{0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0}},
		{"text of 2^60 bytes", []byte{0x7b, 0x10, 0, 0, 0, 0, 0, 0, 0}},
		{"text that is no UTF-8", []byte{0xa2, 0x01, 0x61, 0xff, 0x03, 0x61, 'x'}},
		{"number for a name", []byte{0xa2, 0x01, 0x05, 0x03, 0x61, 'x'}},
		{"negative epoch", []byte{0xa3, 0x01, 0x61, 'a', 0x03, 0x61, 'x', 0x04, 0x20}},
		{"more after the message", append(append([]byte(nil), valid...), 0x01)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := decode(tt.raw)
			require.Error(t, err)
		})
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := encode(&Message{VM: "a", Address: "1.2.3.4:5", Usage: map[string]float64{"t": 1}})
	require.NoError(f, err)
	f.Add(raw)
	full, err := encode(&Message{
		VM: "a", Zone: "z", Address: "1.2.3.4:5", Epoch: 1, Sequence: 2, Loads: map[string]Load{"e": {Calls: 1, PendingTokens: 2}},
		Parts: []Part{{Engine: "e", Salt: "m@1", ID: "aa", Tokens: 5}}, Failed: []Failure{{Failures: 1, BackoffMillis: 250}},
		Versions: []Version{{Engine: "e", Model: "m", Version: 3}}, Members: []Member{{VM: "b", Address: "1.2.3.4:6"}},
	})
	require.NoError(f, err)
	f.Add(full)
	f.Add(bytes.Repeat([]byte{0x81}, 100))
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decode(raw)
		if err == nil && (m.VM == "" || m.Address == "") {
			t.Fatal("decode accepted a message without a sender")
		}
	})
}

// Messages are not authenticated: any number of names must not use up the memory.
func TestNumberOfMembersIsBounded(t *testing.T) {
	const limit = 3
	refused := 0
	n := &Node{
		options: Options{VM: "own", Now: func() time.Duration { return time.Second }, MaxMembers: limit, OnMemberLimit: func(string) { refused++ }},
		members: make(map[string]*member), seeds: make(map[netip.AddrPort]bool),
	}
	for i := range 10 {
		m := &Message{VM: fmt.Sprint("vm", i), Address: "127.0.0.1:1", Epoch: 1, Sequence: 1, Members: []Member{{VM: fmt.Sprint("x", i), Address: "127.0.0.1:1", Epoch: 1, Sequence: 1}}}
		_, accepted := n.receive(m)
		require.Equal(t, i < 1, accepted)
		n.AddMember(fmt.Sprint("listed", i), "127.0.0.1:1")
	}
	require.Equal(t, limit, n.MemberCount())
	require.NotZero(t, refused)
	_, accepted := n.receive(&Message{VM: "vm0", Address: "127.0.0.1:1", Epoch: 1, Sequence: 2})
	require.True(t, accepted, "known VMs are heard")
}
