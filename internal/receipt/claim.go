package receipt

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/marjoramrock/marjoramrock/internal/platform"
)

// Errors of Claims.
var (
	// ErrClaimed means that the call was claimed before and its outcome is
	// not known: it may have run, be running, or never run.
	ErrClaimed = errors.New("receipt: claimed before, outcome unknown")
	// ErrMismatch means that the key was used before with another body.
	ErrMismatch = errors.New("receipt: key was used with another request")
	// ErrUnavailable means that the claim could not be made; the call has
	// not run and will not run under this attempt.
	ErrUnavailable = errors.New("receipt: claims cannot be made now")
	// ErrBadRow means that a kept claim does not parse.
	ErrBadRow = errors.New("receipt: claim row does not parse")
)

// MaxStoredBodyBytes bounds the body of a kept answer, in bytes.
const MaxStoredBodyBytes = 256 << 10

// Call names a call that must not repeat.
type Call struct {
	Team  string
	Route string
	Key   string
	// BodyDigest is the digest of the request, from Digest.
	BodyDigest string
}

// Digest returns the digest of a request's parts.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the key of the call's row. Groups spread the rows.
func (c Call) rowKey() platform.Key {
	name := Digest([]byte(c.Team), []byte(c.Route), []byte(c.Key))
	return platform.Key{Group: "claims/" + name[:2], Name: name}
}

// Outcome is a kept answer.
type Outcome struct {
	Status int    `json:"status"`
	Type   string `json:"type"`
	Body   []byte `json:"body"`
	// Truncated means that the body was too large to keep.
	Truncated bool `json:"truncated,omitempty"`
}

// row is the kept state of a call.
type row struct {
	Attempt string `json:"attempt"`
	Body    string `json:"body"`
	// Cancelled means that the attempt ended before dispatch.
	Cancelled bool     `json:"cancelled,omitempty"`
	Outcome   *Outcome `json:"outcome,omitempty"`
}

// Claims makes and resolves claims over the table service.
type Claims struct {
	tables platform.Tables
}

// NewClaims returns claims kept in tables.
func NewClaims(tables platform.Tables) *Claims { return &Claims{tables: tables} }

// Claim is one attempt's right to dispatch its call, once.
type Claim struct {
	claims  *Claims
	call    Call
	attempt string
	version uint64
}

// Claim claims a call. When it was claimed before it returns the kept outcome
// instead, or ErrClaimed, ErrMismatch, ErrUnavailable or ErrBadRow. Only a
// non-nil Claim allows dispatch.
func (c *Claims) Claim(ctx context.Context, call Call) (*Claim, *Outcome, error) {
	claim := &Claim{claims: c, call: call, attempt: platform.NewToken(), version: 1}
	err := c.write(ctx, call, 0, row{Attempt: claim.attempt, Body: call.BodyDigest})
	switch {
	case err == nil:
		return claim, nil, nil
	case trace.IsCompareFailed(err):
		return c.repeat(ctx, claim)
	default:
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

// repeat decides a call that was claimed before. An attempt that was
// cancelled before its dispatch is replaced, by compare and set.
func (c *Claims) repeat(ctx context.Context, claim *Claim) (*Claim, *Outcome, error) {
	kept, version, err := c.read(ctx, claim.call)
	if err != nil {
		return nil, nil, err
	}
	if kept.Body != claim.call.BodyDigest {
		return nil, nil, ErrMismatch
	}
	if kept.Outcome != nil {
		return nil, kept.Outcome, nil
	}
	if !kept.Cancelled {
		return nil, nil, ErrClaimed
	}
	err = c.write(ctx, claim.call, version, row{Attempt: claim.attempt, Body: claim.call.BodyDigest})
	if trace.IsCompareFailed(err) {
		return nil, nil, ErrClaimed
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	claim.version = version + 1
	return claim, nil, nil
}

// Lookup returns the kept outcome of a call, or ErrClaimed while there is none.
func (c *Claims) Lookup(ctx context.Context, call Call) (*Outcome, error) {
	kept, _, err := c.read(ctx, call)
	if err != nil {
		return nil, err
	}
	if kept.Outcome == nil {
		return nil, ErrClaimed
	}
	return kept.Outcome, nil
}

func (c *Claims) read(ctx context.Context, call Call) (row, uint64, error) {
	stored, err := c.tables.Get(ctx, call.rowKey())
	if err != nil {
		return row{}, 0, fmt.Errorf("%w: %w", ErrClaimed, err)
	}
	var kept row
	if err := json.Unmarshal(stored.Data, &kept); err != nil || kept.Attempt == "" {
		return row{}, 0, fmt.Errorf("%w: %s", ErrBadRow, stored.Key.Name)
	}
	return kept, stored.Version, nil
}

func (c *Claims) write(ctx context.Context, call Call, expect uint64, r row) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("receipt: encode: %w", err)
	}
	err = c.tables.Commit(ctx, r.Attempt, platform.Write{Key: call.rowKey(), Expect: expect, Data: raw})
	if err != nil {
		return fmt.Errorf("receipt: write: %w", err)
	}
	return nil
}

// StoreOutcome stores the outcome, so that a repeated call gets the same answer. An
// answer too large to keep is stored as truncated.
func (c *Claim) StoreOutcome(ctx context.Context, o Outcome) error {
	if len(o.Body) > MaxStoredBodyBytes {
		o.Body = nil
		o.Truncated = true
	}
	return c.claims.write(ctx, c.call, c.version, row{Attempt: c.attempt, Body: c.call.BodyDigest, Outcome: &o})
}

// Cancel records that the call was not dispatched and never will be under
// this claim, so that a later call may claim it anew.
func (c *Claim) Cancel(ctx context.Context) error {
	return c.claims.write(ctx, c.call, c.version, row{Attempt: c.attempt, Body: c.call.BodyDigest, Cancelled: true})
}
