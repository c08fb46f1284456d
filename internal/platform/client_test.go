package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/stretchr/testify/require"
)

func newClient(t *testing.T) (*standin.Platform, *platform.Client) {
	t.Helper()
	p, err := standin.NewPlatform("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p, platform.NewClient(p.Settings(), nil)
}

func TestCommit(t *testing.T) {
	tests := []struct {
		give string
		lose float64
	}{
		{give: "no fault"},
		{give: "every response is lost after the write took effect", lose: 1},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			p, c := newClient(t)
			p.SetFaults(standin.PlatformFaults{LostAnswerFraction: tt.lose})
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a := platform.Key{Group: "g", Name: "a"}
			b := platform.Key{Group: "g", Name: "b"}
			require.NoError(t, c.Commit(ctx, platform.NewToken(), platform.Write{Key: a, Data: []byte("mine")}))
			err := c.Commit(ctx, platform.NewToken(), platform.Write{Key: a, Data: []byte("other")})
			require.True(t, trace.IsCompareFailed(err), "%v", err)
			require.NoError(t, c.Commit(ctx, platform.NewToken(),
				platform.Write{Key: a, ExpectedVersion: 1, Data: []byte("two")},
				platform.Write{Key: b, Data: []byte("new")}))
			err = c.Commit(ctx, platform.NewToken(),
				platform.Write{Key: a, ExpectedVersion: 2, Data: []byte("three")},
				platform.Write{Key: b, Data: []byte("again")})
			require.True(t, trace.IsCompareFailed(err), "%v", err)
			rows, err := c.List(ctx, "g")
			require.NoError(t, err)
			require.Len(t, rows, 2)
			require.Equal(t, platform.Row{Key: a, Version: 2, Data: []byte("two")}, rows[0])
			_, err = c.Get(ctx, platform.Key{Group: "g", Name: "none"})
			require.True(t, trace.IsNotFound(err), "%v", err)
		})
	}
}

func TestCommitOutcomeUnknownWhileDown(t *testing.T) {
	p, c := newClient(t)
	p.SetFaults(standin.PlatformFaults{Down: true})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	err := c.Commit(ctx, platform.NewToken(), platform.Write{Key: platform.Key{Group: "g", Name: "a"}, Data: []byte("x")})
	require.ErrorIs(t, err, platform.ErrOutcomeUnknown)
}

func TestObjectsAndVMList(t *testing.T) {
	p, c := newClient(t)
	ctx := context.Background()
	_, err := c.GetObject(ctx, "none")
	require.True(t, trace.IsNotFound(err), "%v", err)
	require.NoError(t, c.PutObject(ctx, "snapshot/1", []byte("content")))
	data, err := c.GetObject(ctx, "snapshot/1")
	require.NoError(t, err)
	require.Equal(t, "content", string(data))
	vm := platform.VM{Name: "vm-1", Zone: "a", Role: platform.RoleRouter, PeerAddress: "127.0.0.1:1", State: platform.StateLive}
	p.PutVM(vm)
	list, err := c.ListVMs(ctx)
	require.NoError(t, err)
	require.Equal(t, []platform.VM{vm}, list.VMs)
}
