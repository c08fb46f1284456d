package router

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/stretchr/testify/require"
)

// manualClock is a clock that stands still unless a test moves it.
type manualClock struct{ timer.ManualClock }

func (*manualClock) CheckGap() {}
func (*manualClock) Close()    {}

// newLender returns a lender of a router that knows its zone's VMs and no
// holder of any slot.
func newLender(t *testing.T, clock clock, node *peer.Node, vms ...platform.VM) lender {
	t.Helper()
	r := &Router{
		settings:      Settings{VM: "vm-1", Zone: "zone-a"},
		log:           &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		clock:         clock,
		configTracker: config.NewTracker(),
		view:          fleet.NewView(),
		slots:         fleet.NewSlots("vm-1", 0),
		ledger:        &team.Ledger{},
		unreach:       newUnreached(),
		node:          node,
	}
	r.view.Update(platform.VMList{VMs: vms}, clock.Now())
	return lender{r}
}

// TestNewHolderIsAskedAtOnce asks for a loan while no holder is known, then of
// one that does not answer, and each time again as soon as another is heard.
func TestNewHolderIsAskedAtOnce(t *testing.T) {
	clock := &manualClock{}
	asked := map[string]int{}
	gate := func(address string) error {
		asked[address]++
		return errNotHolder
	}
	authority, err := peer.NewAuthority()
	require.NoError(t, err)
	pair, err := authority.Issue()
	require.NoError(t, err)
	secure, err := peer.NewTLS(pair, authority.Cert())
	require.NoError(t, err)
	node, err := peer.NewNode(peer.Options{Address: "127.0.0.1:0", TLS: secure, Filter: gate})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	l := newLender(t, clock, node,
		platform.VM{Name: "vm-2", Zone: "zone-a", PeerAddress: "127.0.0.2:1", Role: platform.RoleRouter, State: platform.StateLive},
		platform.VM{Name: "vm-3", Zone: "zone-a", PeerAddress: "127.0.0.3:1", Role: platform.RoleRouter, State: platform.StateLive},
	)
	held := uint32(1) << team.SlotOf("large")
	tests := []struct {
		give string
		hear string
		want string
	}{
		{give: "no holder is known"},
		{give: "the first one is heard", hear: "vm-2", want: "127.0.0.2:1"},
		{give: "another took over", hear: "vm-3", want: "127.0.0.3:1"},
	}
	for _, tt := range tests {
		if tt.hear != "" {
			l.r.slots.RecordPeerClaims(tt.hear, held, clock.Now())
		}
		_, err := l.Lend(context.Background(), "zone-a", "large", "id", 1)
		require.Error(t, err, tt.give)
		require.True(t, l.r.slotDoubt.Swap(false), "%s: the rows are to be read again", tt.give)
		if tt.want != "" {
			require.Equal(t, 1, asked[tt.want], tt.give)
		}
	}
	_, err = l.Lend(context.Background(), "zone-a", "large", "id", 1)
	require.Error(t, err)
	require.Equal(t, 1, asked["127.0.0.3:1"], "one that did not answer is passed over for a while")
}
