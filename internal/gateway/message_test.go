package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/stretchr/testify/require"
)

func FuzzMessageOfAnotherVM(f *testing.F) {
	for _, m := range []gossip.Message{
		{VM: "b", Zone: "z1", Address: "127.0.0.1:9", Epoch: 1, Sequence: 1},
		{
			VM: "b", Zone: "z1", Address: "127.0.0.1:9", Epoch: 1, Sequence: 1, Usage: map[string]float64{"team": 5}, Loads: map[string]gossip.Load{"e1": {Calls: 3, PendingTokens: 9}},
			Reloading: []gossip.Version{{Engine: "e1", Model: "m", Version: 2}}, Versions: []gossip.Version{{Engine: "e1", Model: "m", Version: 9}},
			Parts: []gossip.Part{{Engine: "e1", Salt: "m@1", ID: "a", Tokens: 5}}, Failed: []gossip.Failure{{Server: gossip.Server{ID: "p1"}, Failures: 9, BackoffMillis: 9}},
		},
		{VM: "b", Zone: "z2", Address: "0.0.0.0:0", Epoch: 1, Sequence: 1, Digest: true, Members: []gossip.Member{{VM: "c", Address: "[::1]:5"}}, Leaving: true},
	} {
		raw, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(raw)
	}
	g, _ := newTestGateway(f, nil)
	c, err := net.Dial("udp4", g.settings.PeerAddress)
	require.NoError(f, err)
	f.Cleanup(func() { _ = c.Close() })
	sequence := uint64(0)
	f.Fuzz(func(t *testing.T, raw []byte) {
		var m gossip.Message
		if cbor.Unmarshal(raw, &m) != nil {
			return
		}
		// Through the socket, so that only messages that a VM accepts count.
		sequence++
		m.VM, m.Address, m.Epoch, m.Sequence = "b", "127.0.0.1:9", 1, sequence
		sent, err := cbor.Marshal(m)
		require.NoError(t, err)
		_, err = c.Write(sent)
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
		for _, id := range []string{"p1", "e1"} {
			for range 3 {
				g.table.RecordFailure(id, g.now())
			}
			g.table.RecordSuccess(id, g.now())
		}
		g.chooseServer(&forwardedCall{call: newCall("/stream/", "key"), route: g.catalog.Current().Match("h", "/stream/"), excluded: map[string]bool{}}, "model")
	})
}
