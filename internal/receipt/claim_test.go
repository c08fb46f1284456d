package receipt

import (
	"context"
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/stretchr/testify/require"
)

// fakeTables is a table service that can be down, or down after an effect.
type fakeTables struct {
	rows map[platform.Key]platform.Row
	fail error
	// late makes a failing write take effect all the same.
	late bool
}

func (f *fakeTables) Get(_ context.Context, key platform.Key) (platform.Row, error) {
	if f.fail != nil {
		return platform.Row{}, f.fail
	}
	row, ok := f.rows[key]
	if !ok {
		return row, trace.NotFound("no row")
	}
	return row, nil
}

func (f *fakeTables) List(context.Context, string) ([]platform.Row, error) { return nil, f.fail }

func (f *fakeTables) Commit(_ context.Context, _ string, writes ...platform.Write) error {
	w := writes[0]
	if f.fail != nil && !f.late {
		return f.fail
	}
	if f.rows[w.Key].Version != w.Expect {
		return trace.CompareFailed("version")
	}
	f.rows[w.Key] = platform.Row{Key: w.Key, Version: w.Expect + 1, Data: w.Data}
	return f.fail
}

func TestClaim(t *testing.T) {
	ctx := context.Background()
	call := Call{Team: "t", Route: "r", Key: "k", BodyDigest: "b"}
	other := Call{Team: "t", Route: "r", Key: "k", BodyDigest: "c"}
	kept := Outcome{Status: 200, Type: "text/plain", Body: []byte("receipt")}
	tests := []struct {
		give   string
		before func(c *Claims, f *fakeTables)
		call   Call
		// claimed is whether dispatch is allowed.
		claimed bool
		kept    *Outcome
		want    error
	}{
		{give: "first call", before: func(*Claims, *fakeTables) {}, call: call, claimed: true},
		{give: "claimed, no outcome", before: func(c *Claims, _ *fakeTables) {
			_, _, _ = c.Claim(ctx, call)
		}, call: call, want: ErrClaimed},
		{give: "claimed, outcome kept", before: func(c *Claims, _ *fakeTables) {
			claim, _, _ := c.Claim(ctx, call)
			_ = claim.StoreOutcome(ctx, kept)
		}, call: call, kept: &kept},
		{give: "another body", before: func(c *Claims, _ *fakeTables) {
			_, _, _ = c.Claim(ctx, call)
		}, call: other, want: ErrMismatch},
		{give: "cancelled before dispatch", before: func(c *Claims, _ *fakeTables) {
			claim, _, _ := c.Claim(ctx, call)
			_ = claim.Cancel(ctx)
		}, call: call, claimed: true},
		{give: "store down", before: func(_ *Claims, f *fakeTables) { f.fail = platform.ErrUnknown }, call: call, want: ErrUnavailable},
		{give: "store down after the effect, then up", before: func(c *Claims, f *fakeTables) {
			f.fail, f.late = platform.ErrUnknown, true
			_, _, _ = c.Claim(ctx, call)
			f.fail = nil
		}, call: call, want: ErrClaimed},
		{give: "a row that does not parse", before: func(_ *Claims, f *fakeTables) {
			f.rows[call.rowKey()] = platform.Row{Key: call.rowKey(), Version: 3, Data: []byte("{")}
		}, call: call, want: ErrBadRow},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			f := &fakeTables{rows: map[platform.Key]platform.Row{}}
			c := NewClaims(f)
			tt.before(c, f)
			claim, outcome, err := c.Claim(ctx, tt.call)
			require.Equal(t, tt.claimed, claim != nil)
			require.Equal(t, tt.kept, outcome)
			require.True(t, errors.Is(err, tt.want), "%v", err)
		})
	}
}

func TestCancelledClaimIsTakenOnce(t *testing.T) {
	ctx := context.Background()
	f := &fakeTables{rows: map[platform.Key]platform.Row{}}
	c := NewClaims(f)
	call := Call{Team: "t", Route: "r", Key: "k", BodyDigest: "b"}
	first, _, err := c.Claim(ctx, call)
	require.NoError(t, err)
	require.NoError(t, first.Cancel(ctx))
	second, _, err := c.Claim(ctx, call)
	require.NoError(t, err)
	third, _, err := c.Claim(ctx, call)
	require.ErrorIs(t, err, ErrClaimed)
	require.Nil(t, third)
	require.True(t, trace.IsCompareFailed(first.StoreOutcome(ctx, Outcome{})), "the first attempt has lost its right")
	require.NoError(t, second.StoreOutcome(ctx, Outcome{Status: 200, Body: make([]byte, MaxStoredBodyBytes+1)}))
	kept, err := c.Lookup(ctx, call)
	require.NoError(t, err)
	require.True(t, kept.Truncated)
	require.Empty(t, kept.Body)
}
