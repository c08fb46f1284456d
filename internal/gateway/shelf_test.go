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
	g, a := open(t, answerWith(func() *Answer { return text(200, events("1")) }))
	events, fail := Events{Epoch: 1}, error(nil)
	a.mu.Lock()
	a.events = func(string, int64) (Events, error) { return events, fail }
	a.mu.Unlock()
	answer := func(e Events, err error) {
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
	require.Equal(t, shelf, last().Save)
	require.Empty(t, last().Save, "the shelf has the part")

	answer(Events{}, errors.New("no answer"))
	require.Eventually(t, func() bool { return g.shelves.down(shelf, g.now()) }, 3*time.Second, 5*time.Millisecond)
	require.NotEqual(t, shelf, last().Fetch)

	answer(Events{Epoch: 2}, nil)
	require.Eventually(t, func() bool { return !g.shelves.down(shelf, g.now()) }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, shelf, last().Save, "it returned empty")
}

func TestTheZoneIsToldOfShelves(t *testing.T) {
	g, _ := open(t, nil)
	g.hear(&gossip.Message{VM: "a", Zone: "z1", KVCacheStores: []gossip.KVCacheStore{{Address: "s", Epoch: 4, Down: true}}}, true)
	require.True(t, g.shelves.down("s", g.now()))
	require.False(t, g.shelves.down("s", g.now()+shelfLife), "nobody says so any more")
	g.hear(&gossip.Message{VM: "a", Zone: "z1", KVCacheStores: []gossip.KVCacheStore{{Address: "s", Epoch: 4}}}, false)
	require.False(t, g.shelves.down("s", g.now()))
}
