package gossip

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/loopback"
	"github.com/stretchr/testify/require"
)

type heard struct {
	mu    sync.Mutex
	list  []*Message
	fresh int
	bad   int
}

func (h *heard) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.list)
}

func start(t *testing.T, vm, address string, epoch uint64) (*Node, *heard) {
	t.Helper()
	h := &heard{}
	began := time.Now()
	n, err := NewNode(Options{
		VM: vm, Zone: "z", Address: address, Epoch: epoch, Now: func() time.Duration { return time.Since(began) },
		Handle: func(m *Message, fresh bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.list = append(h.list, m)
			if fresh {
				h.fresh++
			}
		},
		Bad: func(string, error) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.bad++
		},
	})
	require.NoError(t, err)
	t.Cleanup(n.Close)
	return n, h
}

func TestVMsThatHearOfEachOtherAnswer(t *testing.T) {
	a, fromB := start(t, "a", loopback.Address(t), 1)
	b, fromA := start(t, "b", loopback.Address(t), 1)
	a.Meet("b", b.options.Address)
	want := &Message{
		Usage: map[string]float64{"t": 5}, Loads: map[string]Load{"e": {Calls: 2, Pending: 30}},
		Versions: []Version{{Engine: "e", Born: 4, Model: "m", Version: 3}},
		Parts:    []Part{{Engine: "e", Born: 4, Salt: "m@3", ID: "ab", Tokens: 100}},
	}
	require.NoError(t, a.Tell(want, true))
	require.Eventually(t, func() bool { return fromA.count() == 1 }, time.Second, time.Millisecond)
	require.Equal(t, want, fromA.list[0])
	require.Equal(t, 1, fromA.fresh)

	require.NoError(t, b.Tell(&Message{}, true))
	require.Eventually(t, func() bool { return fromB.count() == 1 }, time.Second, time.Millisecond, "b learnt of a")
	require.Equal(t, 1, b.Members())
}

func TestOvertakenMessagesAndOldProcessesAreDropped(t *testing.T) {
	n, _ := start(t, "a", loopback.Address(t), 1)
	steps := []struct {
		name          string
		epoch, number uint64
		leaving       bool
		fresh, take   bool
	}{
		{"first", 5, 1, false, true, true},
		{"next", 5, 3, false, false, true},
		{"overtaken", 5, 2, false, false, false},
		{"again", 5, 3, false, false, false},
		{"new process", 6, 1, false, true, true},
		{"old process", 5, 9, false, false, false},
		{"leaving", 6, 2, true, false, true},
	}
	for _, s := range steps {
		fresh, take := n.hear(&Message{VM: "b", Address: "127.0.0.1:1", Epoch: s.epoch, Number: s.number, Leaving: s.leaving})
		require.Equal(t, s.take, take, s.name)
		require.Equal(t, s.fresh, fresh, s.name)
	}
	require.Zero(t, n.Members())
}

func TestZonesWithoutWordAreSilent(t *testing.T) {
	n, _ := start(t, "a", loopback.Address(t), 1)
	now := time.Duration(0)
	n.options.Now = func() time.Duration { return now }
	say := func(vm, zone string, number uint64) {
		n.hear(&Message{VM: vm, Zone: zone, Address: "127.0.0.1:1", Epoch: 1, Number: number})
	}
	say("b", "z", 1)
	say("c", "y", 1)
	say("d", "y", 1)
	require.Empty(t, n.Silent(time.Second))
	now = 2 * time.Second
	say("d", "y", 2)
	require.Empty(t, n.Silent(time.Second), "its own zone is never silent")
	n.options.Zone = "x"
	require.Equal(t, map[string]bool{"z": true}, n.Silent(time.Second))
}

func TestTheOwnZoneIsToldAlone(t *testing.T) {
	n, _ := start(t, "a", loopback.Address(t), 1)
	n.hear(&Message{VM: "b", Zone: "z", Address: "127.0.0.1:1", Epoch: 1, Number: 1})
	n.hear(&Message{VM: "c", Zone: "y", Address: "127.0.0.1:2", Epoch: 1, Number: 1})
	require.Len(t, n.targets(true), 2)
	near := n.targets(false)
	require.Len(t, near, 1)
	require.Equal(t, uint16(1), near[0].Port())
}

func TestGarbageIsCountedAndIgnored(t *testing.T) {
	n, h := start(t, "a", loopback.Address(t), 1)
	c, err := net.Dial("udp4", n.options.Address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte("no message"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.bad == 1 }, time.Second, time.Millisecond)
	require.Zero(t, h.count())
}

func TestSeedsAreMetAtTheCommonPort(t *testing.T) {
	n, _ := start(t, "a", loopback.Address(t), 1)
	n.Seed("127.0.0.9:1")
	n.Seed("127.0.0.1:2")
	require.Len(t, n.seeds, 1, "its own IP is no seed")
	for addr := range n.seeds {
		require.Equal(t, "127.0.0.9", addr.Addr().String())
	}
}

func FuzzDecode(f *testing.F) {
	raw, err := encode(&Message{VM: "a", Address: "1.2.3.4:5", Usage: map[string]float64{"t": 1}})
	require.NoError(f, err)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decode(raw)
		if err == nil && (m.VM == "" || m.Address == "") {
			t.Fatal("a message without a sender")
		}
	})
}
