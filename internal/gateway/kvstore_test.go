package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/stretchr/testify/require"
)

// A KV cache store that is down must not be used to fetch or save parts. One that has
// lost its contents gets the parts again.
func TestKVStoreDownOrEmptied(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1")) }))
	events, eventsErr := KVCacheEvents{Epoch: 1}, error(nil)
	a.mu.Lock()
	a.events = func(string, int64) (KVCacheEvents, error) { return events, eventsErr }
	a.mu.Unlock()
	setEvents := func(e KVCacheEvents, err error) {
		a.mu.Lock()
		defer a.mu.Unlock()
		events, eventsErr = e, err
	}
	nextAttempt := func() *Attempt {
		serveCall(t, g, "/stream/", "isolated-key")
		sent := a.sentAttempts()
		return sent[len(sent)-1]
	}
	const store = "9.9.9.9:9"
	epoch := func() int64 {
		g.kvStores.mu.Lock()
		defer g.kvStores.mu.Unlock()
		return g.kvStores.states[store].epoch
	}
	require.Eventually(t, func() bool { return epoch() == 1 }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, store, nextAttempt().SaveTo)
	require.Empty(t, nextAttempt().SaveTo, "the store has the part")

	setEvents(KVCacheEvents{}, errors.New("no response"))
	require.Eventually(t, func() bool { return g.kvStores.isDown(store, g.now()) }, 3*time.Second, 5*time.Millisecond)
	require.NotEqual(t, store, nextAttempt().FetchFrom)

	setEvents(KVCacheEvents{Epoch: 2}, nil)
	require.Eventually(t, func() bool { return !g.kvStores.isDown(store, g.now()) }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, store, nextAttempt().SaveTo, "the store has lost its contents")
}

func TestKVStoreStateFromPeers(t *testing.T) {
	g, _ := newTestGateway(t, nil)
	g.handleMessage(&gossip.Message{VM: "a", Zone: "z1", KVCacheStores: []gossip.KVCacheStore{{Address: "s", Epoch: 4, Down: true}}}, true)
	require.True(t, g.kvStores.isDown("s", g.now()))
	require.False(t, g.kvStores.isDown("s", g.now()+kvStoreDownTTL), "the report has expired")
	g.handleMessage(&gossip.Message{VM: "a", Zone: "z1", KVCacheStores: []gossip.KVCacheStore{{Address: "s", Epoch: 4}}}, false)
	require.False(t, g.kvStores.isDown("s", g.now()))
}
