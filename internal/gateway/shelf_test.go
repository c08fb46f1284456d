package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/stretchr/testify/require"
)

// A shelf that does not answer is neither a source nor a place to leave parts,
// and one that has lost all is given the parts again.
func TestAShelfThatIsDownOrEmptiedIsKnown(t *testing.T) {
	g, a := open(t, answerWith(func() *Response { return text(200, events("1")) }))
	events, fail := KVCacheEvents{Epoch: 1}, error(nil)
	a.mu.Lock()
	a.events = func(string, int64) (KVCacheEvents, error) { return events, fail }
	a.mu.Unlock()
	answer := func(e KVCacheEvents, err error) {
		a.mu.Lock()
		defer a.mu.Unlock()
		events, fail = e, err
	}
	last := func() *Attempt {
		ask(t, g, "/stream/", "wall")
		sent := a.sent()
		return sent[len(sent)-1]
	}
	const shelf = "9.9.9.9:9"
	epoch := func() int64 {
		g.shelves.mu.Lock()
		defer g.shelves.mu.Unlock()
		return g.shelves.states[shelf].epoch
	}
	require.Eventually(t, func() bool { return epoch() == 1 }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, shelf, last().SaveTo)
	require.Empty(t, last().SaveTo, "the shelf has the part")

	answer(KVCacheEvents{}, errors.New("no answer"))
	require.Eventually(t, func() bool { return g.shelves.down(shelf, g.now()) }, 3*time.Second, 5*time.Millisecond)
	require.NotEqual(t, shelf, last().FetchFrom)

	answer(KVCacheEvents{Epoch: 2}, nil)
	require.Eventually(t, func() bool { return !g.shelves.down(shelf, g.now()) }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, shelf, last().SaveTo, "it returned empty")
}

func TestTheZoneIsToldOfShelves(t *testing.T) {
	g, _ := open(t, nil)
	g.hear(&gossip.Message{VM: "a", Zone: "z1", Shelves: []gossip.Shelf{{Address: "s", Epoch: 4, Down: true}}}, true)
	require.True(t, g.shelves.down("s", g.now()))
	require.False(t, g.shelves.down("s", g.now()+shelfLife), "nobody says so any more")
	g.hear(&gossip.Message{VM: "a", Zone: "z1", Shelves: []gossip.Shelf{{Address: "s", Epoch: 4}}}, false)
	require.False(t, g.shelves.down("s", g.now()))
}
