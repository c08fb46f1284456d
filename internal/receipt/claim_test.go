package receipt

import (
	"context"
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/stretchr/testify/require"
)

// fakeTables is a table service in memory whose operations can fail, before or after
// a write took effect.
type fakeTables struct {
	rows map[platform.Key]platform.Row
	err  error
	// commitBeforeFail makes a failing write take effect nevertheless.
	commitBeforeFail bool
}

func (f *fakeTables) Get(_ context.Context, key platform.Key) (platform.Row, error) {
	if f.err != nil {
		return platform.Row{}, f.err
	}
	row, ok := f.rows[key]
	if !ok {
		return row, trace.NotFound("no row")
	}
	return row, nil
}

func (f *fakeTables) List(context.Context, string) ([]platform.Row, error) { return nil, f.err }

func (f *fakeTables) Commit(_ context.Context, _ string, writes ...platform.Write) error {
	w := writes[0]
	if f.err != nil && !f.commitBeforeFail {
		return f.err
	}
	if f.rows[w.Key].Version != w.ExpectedVersion {
		return trace.CompareFailed("version")
	}
	f.rows[w.Key] = platform.Row{Key: w.Key, Version: w.ExpectedVersion + 1, Data: w.Data}
	return f.err
}

func TestClaim(t *testing.T) {
	ctx := context.Background()
	call := Call{Team: "t", Route: "r", IdempotencyKey: "k", BodyDigest: "b"}
	other := Call{Team: "t", Route: "r", IdempotencyKey: "k", BodyDigest: "c"}
	kept := Outcome{Status: 200, ContentType: "text/plain", Body: []byte("receipt")}
	tests := []struct {
		give   string
		before func(c *Claims, f *fakeTables)
		call   Call
		// claimed reports whether dispatch is allowed.
		claimed bool
		kept    *Outcome
		want    error
	}{
		{give: "first call", before: func(*Claims, *fakeTables) {}, call: call, claimed: true},
		{give: "claimed, no outcome", before: func(c *Claims, _ *fakeTables) {
			_, _, _ = c.Claim(ctx, call)
		}, call: call, want: ErrClaimed},
		{give: "claimed, outcome stored", before: func(c *Claims, _ *fakeTables) {
			claim, _, _ := c.Claim(ctx, call)
			_ = claim.StoreOutcome(ctx, kept)
		}, call: call, kept: &kept},
		{give: "another body", before: func(c *Claims, _ *fakeTables) {
			_, _, _ = c.Claim(ctx, call)
		}, call: other, want: ErrRequestMismatch},
		{give: "cancelled before dispatch", before: func(c *Claims, _ *fakeTables) {
			claim, _, _ := c.Claim(ctx, call)
			_ = claim.Cancel(ctx)
		}, call: call, claimed: true},
		{give: "store unavailable", before: func(_ *Claims, f *fakeTables) { f.err = platform.ErrOutcomeUnknown }, call: call, want: ErrUnavailable},
		{give: "store fails after the write took effect, then recovers", before: func(c *Claims, f *fakeTables) {
			f.err, f.commitBeforeFail = platform.ErrOutcomeUnknown, true
			_, _, _ = c.Claim(ctx, call)
			f.err = nil
		}, call: call, want: ErrClaimed},
		{give: "a row that does not parse", before: func(_ *Claims, f *fakeTables) {
			f.rows[call.rowKey()] = platform.Row{Key: call.rowKey(), Version: 3, Data: []byte("{")}
		}, call: call, want: ErrInvalidRow},
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

func TestCancelledClaimIsReplacedOnce(t *testing.T) {
	ctx := context.Background()
	f := &fakeTables{rows: map[platform.Key]platform.Row{}}
	c := NewClaims(f)
	call := Call{Team: "t", Route: "r", IdempotencyKey: "k", BodyDigest: "b"}
	first, _, err := c.Claim(ctx, call)
	require.NoError(t, err)
	require.NoError(t, first.Cancel(ctx))
	second, _, err := c.Claim(ctx, call)
	require.NoError(t, err)
	third, _, err := c.Claim(ctx, call)
	require.ErrorIs(t, err, ErrClaimed)
	require.Nil(t, third)
	require.True(t, trace.IsCompareFailed(first.StoreOutcome(ctx, Outcome{})), "the first attempt no longer owns the claim")
	require.NoError(t, second.StoreOutcome(ctx, Outcome{Status: 200, Body: make([]byte, MaxStoredBodyBytes+1)}))
	kept, err := c.Lookup(ctx, call)
	require.NoError(t, err)
	require.True(t, kept.Truncated)
	require.Empty(t, kept.Body)
}
