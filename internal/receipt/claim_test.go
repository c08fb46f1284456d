package receipt

import (
	"context"
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/stretchr/testify/require"
)

// fakeTables is an in-memory table service whose operations can fail, writes before
// or after they took effect.
type fakeTables struct {
	rows map[platform.Key]platform.Row
	err  error
	// commitBeforeFail makes writes take effect before they fail with err.
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
	call := Call{Team: "t", Route: "r", IdempotencyKey: "k", RequestDigest: "b"}
	other := Call{Team: "t", Route: "r", IdempotencyKey: "k", RequestDigest: "c"}
	stored := Outcome{Status: 200, ContentType: "text/plain", Body: []byte("receipt")}
	tests := []struct {
		name  string
		setup func(c *Claims, f *fakeTables)
		call  Call
		// wantClaim is set if the call may be dispatched.
		wantClaim   bool
		wantOutcome *Outcome
		wantErr     error
	}{
		{name: "first call", setup: func(*Claims, *fakeTables) {}, call: call, wantClaim: true},
		{name: "claimed, no outcome", setup: func(c *Claims, _ *fakeTables) {
			_, _, _ = c.Claim(ctx, call)
		}, call: call, wantErr: ErrClaimed},
		{name: "claimed, outcome stored", setup: func(c *Claims, _ *fakeTables) {
			claim, _, _ := c.Claim(ctx, call)
			_ = claim.StoreOutcome(ctx, stored)
		}, call: call, wantOutcome: &stored},
		{name: "another request with the same key", setup: func(c *Claims, _ *fakeTables) {
			_, _, _ = c.Claim(ctx, call)
		}, call: other, wantErr: ErrRequestMismatch},
		{name: "canceled before dispatch", setup: func(c *Claims, _ *fakeTables) {
			claim, _, _ := c.Claim(ctx, call)
			_ = claim.Cancel(ctx)
		}, call: call, wantClaim: true},
		{name: "store unavailable", setup: func(_ *Claims, f *fakeTables) { f.err = platform.ErrOutcomeUnknown }, call: call, wantErr: ErrUnavailable},
		{name: "store fails after the write took effect, then recovers", setup: func(c *Claims, f *fakeTables) {
			f.err, f.commitBeforeFail = platform.ErrOutcomeUnknown, true
			_, _, _ = c.Claim(ctx, call)
			f.err = nil
		}, call: call, wantErr: ErrClaimed},
		{name: "stored row cannot be parsed", setup: func(_ *Claims, f *fakeTables) {
			f.rows[call.rowKey()] = platform.Row{Key: call.rowKey(), Version: 3, Data: []byte("{")}
		}, call: call, wantErr: ErrInvalidRow},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeTables{rows: map[platform.Key]platform.Row{}}
			c := NewClaims(f)
			tt.setup(c, f)
			claim, outcome, err := c.Claim(ctx, tt.call)
			require.Equal(t, tt.wantClaim, claim != nil)
			require.Equal(t, tt.wantOutcome, outcome)
			require.True(t, errors.Is(err, tt.wantErr), "%v", err)
		})
	}
}

func TestCanceledClaimIsReplacedOnce(t *testing.T) {
	ctx := context.Background()
	f := &fakeTables{rows: map[platform.Key]platform.Row{}}
	c := NewClaims(f)
	call := Call{Team: "t", Route: "r", IdempotencyKey: "k", RequestDigest: "b"}
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
	outcome, err := c.Lookup(ctx, call)
	require.NoError(t, err)
	require.True(t, outcome.Truncated)
	require.Empty(t, outcome.Body)
}
