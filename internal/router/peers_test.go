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

// manualClock is a manual timer.Clock that implements clock.
type manualClock struct{ timer.ManualClock }

func (*manualClock) CheckGap() {}
func (*manualClock) Close()    {}

// newLender returns a lender whose router knows the given VMs of its zone but
// no holder of any slot.
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
		unreachable:   newUnreachableTargets(),
		node:          node,
	}
	r.view.Update(platform.VMList{VMs: vms}, clock.Now())
	return lender{r}
}

// TestNewHolderIsAskedAtOnce guards against a new holder being skipped because
// its predecessor did not respond. The first loan is requested with no known
// holder, the second from a holder that does not respond, the third from its
// successor.
func TestNewHolderIsAskedAtOnce(t *testing.T) {
	clock := &manualClock{}
	calls := map[string]int{}
	filter := func(address string) error {
		calls[address]++
		return errNotHolder
	}
	authority, err := peer.NewAuthority()
	require.NoError(t, err)
	pair, err := authority.Issue()
	require.NoError(t, err)
	tlsConfig, err := peer.NewTLS(pair, authority.Cert())
	require.NoError(t, err)
	node, err := peer.NewNode(peer.Options{Address: "127.0.0.1:0", TLS: tlsConfig, Filter: filter})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	l := newLender(t, clock, node,
		platform.VM{Name: "vm-2", Zone: "zone-a", PeerAddress: "127.0.0.2:1", Role: platform.RoleRouter, State: platform.StateLive},
		platform.VM{Name: "vm-3", Zone: "zone-a", PeerAddress: "127.0.0.3:1", Role: platform.RoleRouter, State: platform.StateLive},
	)
	held := uint32(1) << team.SlotOf("large")
	tests := []struct {
		give      string
		heardFrom string
		want      string
	}{
		{give: "no holder is known"},
		{give: "the first holder is heard from", heardFrom: "vm-2", want: "127.0.0.2:1"},
		{give: "its successor is heard from", heardFrom: "vm-3", want: "127.0.0.3:1"},
	}
	for _, tt := range tests {
		if tt.heardFrom != "" {
			l.r.slots.RecordPeerClaims(tt.heardFrom, held, clock.Now())
		}
		_, err := l.Lend(context.Background(), "zone-a", "large", "id", 1)
		require.Error(t, err, tt.give)
		require.True(t, l.r.slotRowsStale.Swap(false), "%s: the slot rows must be read again", tt.give)
		if tt.want != "" {
			require.Equal(t, 1, calls[tt.want], tt.give)
		}
	}
	_, err = l.Lend(context.Background(), "zone-a", "large", "id", 1)
	require.Error(t, err)
	require.Equal(t, 1, calls["127.0.0.3:1"], "a holder that did not respond must be skipped for a while")
}
