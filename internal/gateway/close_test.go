package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A periodic call in progress must end before the lease is released and background work
// is waited for: it may acquire the lease again or start background work.
func TestCloseWaitsForPeriodicCalls(t *testing.T) {
	g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
	holder := g.orderLease
	began, proceed := make(chan struct{}, 1), make(chan struct{})
	g.subscriptions = append(g.subscriptions, g.clock.Every(time.Millisecond, func() {
		select {
		case began <- struct{}{}:
		default:
			return
		}
		<-proceed
		_, err := holder.AcquireOrRenew(context.Background())
		require.NoError(t, err)
	}))
	<-began
	closed := make(chan struct{})
	go func() { g.Close(); close(closed) }()
	select {
	case <-closed:
		close(proceed)
		t.Fatal("closed while a periodic call was in progress")
	case <-time.After(100 * time.Millisecond):
	}
	close(proceed)
	<-closed
	_, held := holder.Held()
	require.False(t, held)
	require.Equal(t, int64(2), a.store.version("orders"), "acquired and released")
}
