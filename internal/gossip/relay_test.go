package gossip

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/loopback"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

type table struct {
	page  feed.Page
	err   error
	all   bool
	after feed.Cursor
	wait  time.Duration
}

func (t *table) Serve(_ context.Context, all bool, after feed.Cursor, wait time.Duration) (feed.Page, error) {
	t.all, t.after, t.wait = all, after, wait
	return t.page, t.err
}

func TestTablesAreRelayed(t *testing.T) {
	address := loopback.FreeAddress(t)
	served := &table{page: feed.Page{Rows: []feed.Row{{Key: "k", Version: 3, Value: []byte("v")}}, Version: 7, Since: -time.Second}}
	r, err := NewRelay(address, map[string]Table{"servers": served}, RelayOptions{})
	require.NoError(t, err)
	defer r.Close()
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdlePerAddress: 2, TCPUserTimeout: time.Second})
	defer pool.Close()
	source := RemoteTable{Pool: pool, Address: address, Table: "servers"}

	page, err := source.Changes(context.Background(), feed.Cursor{Generation: 2, Version: 5}, 200*time.Millisecond)
	require.NoError(t, err)
	require.Equal(t, served.page, page)
	require.Equal(t, feed.Cursor{Generation: 2, Version: 5}, served.after)
	require.Equal(t, 200*time.Millisecond, served.wait)
	_, err = source.Snapshot(context.Background())
	require.NoError(t, err)
	require.True(t, served.all)

	tests := []struct{ err, want error }{{feed.ErrHistoryDropped, feed.ErrHistoryDropped}, {feed.ErrNotCurrent, ErrTableUnavailable}}
	for _, tt := range tests {
		served.err = tt.err
		_, err = source.Changes(context.Background(), feed.Cursor{Version: 5}, 0)
		require.ErrorIs(t, err, tt.want)
	}
	_, err = RemoteTable{Pool: pool, Address: address, Table: "none"}.Changes(context.Background(), feed.Cursor{}, 0)
	require.ErrorIs(t, err, ErrTableUnavailable)
}

func TestLeaderIsFirstVMOfZone(t *testing.T) {
	n, _ := startNode(t, "vm2", loopback.FreeAddress(t), 1)
	now := time.Second
	n.options.Now = func() time.Duration { return now }
	_, other := n.Leader()
	require.False(t, other)
	n.receive(&Message{VM: "vm0", Zone: "elsewhere", Address: "127.0.0.1:1", Epoch: 1, Sequence: 1})
	n.receive(&Message{VM: "vm3", Zone: "z", Address: "127.0.0.1:3", Epoch: 1, Sequence: 1})
	_, other = n.Leader()
	require.False(t, other)
	n.receive(&Message{VM: "vm1", Zone: "z", Address: "127.0.0.1:2", Epoch: 1, Sequence: 1})
	address, other := n.Leader()
	require.True(t, other)
	require.Equal(t, "127.0.0.1:2", address)
	now += leaderTimeout
	_, other = n.Leader()
	require.False(t, other)
}

func FuzzPage(f *testing.F) {
	raw, err := cbor.Marshal(feed.Page{Rows: []feed.Row{{Key: "k", Version: 3, Value: []byte("v")}, {Key: "r", Removed: true}}, Version: 7, Since: -time.Second})
	require.NoError(f, err)
	f.Add(raw)
	f.Add([]byte{0xf6})
	f.Add([]byte{0xa1, 0x64, 'R', 'o', 'w', 's', 0x9b, 0x10, 0, 0, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var page feed.Page
		if cbor.Unmarshal(raw, &page) == nil {
			_, err := cbor.Marshal(page)
			require.NoError(t, err)
		}
	})
}
