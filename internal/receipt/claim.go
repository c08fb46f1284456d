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
	// unknown: it may have run, be running, or never run.
	ErrClaimed = errors.New("receipt: claimed before, outcome unknown")
	// ErrRequestMismatch means that the key was used before with another request.
	ErrRequestMismatch = errors.New("receipt: key was used with another request")
	// ErrUnavailable means that the claim could not be written; the call has
	// not run and will not run under this attempt.
	ErrUnavailable = errors.New("receipt: claims cannot be made now")
	// ErrInvalidRow means that a stored claim does not parse.
	ErrInvalidRow = errors.New("receipt: claim row does not parse")
)

// MaxStoredBodyBytes bounds the body of a stored outcome. A larger body is dropped.
const MaxStoredBodyBytes = 256 << 10

// Call identifies a call that must run at most once.
type Call struct {
	Team           string
	Route          string
	IdempotencyKey string
	// BodyDigest is the digest of the request, from Digest.
	BodyDigest string
}

// Digest returns the digest of a request's parts. Each part is prefixed with its
// length, so that parts cannot run into each other.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the key of the call's row. The group is a prefix of the name's
// digest, which spreads the rows over groups.
func (c Call) rowKey() platform.Key {
	name := Digest([]byte(c.Team), []byte(c.Route), []byte(c.IdempotencyKey))
	return platform.Key{Group: "claims/" + name[:2], Name: name}
}

// Outcome is the stored answer to a call.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body"`
	// Truncated means that the body was too large to store.
	Truncated bool `json:"truncated,omitempty"`
}

// row is the stored state of a call.
type row struct {
	Attempt    string `json:"attempt"`
	BodyDigest string `json:"body"`
	// Cancelled means that the attempt ended before dispatch.
	Cancelled bool     `json:"cancelled,omitempty"`
	Outcome   *Outcome `json:"outcome,omitempty"`
}

// Claims makes and resolves claims in the table service.
type Claims struct {
	tables platform.TableStore
}

// NewClaims returns claims stored in tables.
func NewClaims(tables platform.TableStore) *Claims { return &Claims{tables: tables} }

// Claim is the right of one attempt to dispatch its call once.
type Claim struct {
	claims  *Claims
	call    Call
	attempt string
	version uint64
}

// Claim claims a call. If the call was claimed before, it returns the stored outcome
// instead, or ErrClaimed, ErrMismatch, ErrUnavailable or ErrBadRow. The call may be
// dispatched only if the returned Claim is not nil.
func (c *Claims) Claim(ctx context.Context, call Call) (*Claim, *Outcome, error) {
	claim := &Claim{claims: c, call: call, attempt: platform.NewToken(), version: 1}
	err := c.write(ctx, call, 0, row{Attempt: claim.attempt, BodyDigest: call.BodyDigest})
	switch {
	case err == nil:
		return claim, nil, nil
	case trace.IsCompareFailed(err):
		return c.resolveRepeat(ctx, claim)
	default:
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

// resolveRepeat resolves a call that was claimed before. An attempt that was
// cancelled before its dispatch is replaced, by compare-and-set.
func (c *Claims) resolveRepeat(ctx context.Context, claim *Claim) (*Claim, *Outcome, error) {
	kept, version, err := c.read(ctx, claim.call)
	if err != nil {
		return nil, nil, err
	}
	if kept.BodyDigest != claim.call.BodyDigest {
		return nil, nil, ErrRequestMismatch
	}
	if kept.Outcome != nil {
		return nil, kept.Outcome, nil
	}
	if !kept.Cancelled {
		return nil, nil, ErrClaimed
	}
	err = c.write(ctx, claim.call, version, row{Attempt: claim.attempt, BodyDigest: claim.call.BodyDigest})
	if trace.IsCompareFailed(err) {
		return nil, nil, ErrClaimed
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	claim.version = version + 1
	return claim, nil, nil
}

// Lookup returns the stored outcome of a call, or ErrClaimed if there is none yet.
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
		return row{}, 0, fmt.Errorf("%w: %s", ErrInvalidRow, stored.Key.Name)
	}
	return kept, stored.Version, nil
}

func (c *Claims) write(ctx context.Context, call Call, expect uint64, r row) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("receipt: encode: %w", err)
	}
	err = c.tables.Commit(ctx, r.Attempt, platform.Write{Key: call.rowKey(), ExpectedVersion: expect, Data: raw})
	if err != nil {
		return fmt.Errorf("receipt: write: %w", err)
	}
	return nil
}

// StoreOutcome stores the outcome, so that a repeated call gets the same answer. The
// body of an answer that is too large is dropped, and the outcome marked as
// truncated.
func (c *Claim) StoreOutcome(ctx context.Context, o Outcome) error {
	if len(o.Body) > MaxStoredBodyBytes {
		o.Body = nil
		o.Truncated = true
	}
	return c.claims.write(ctx, c.call, c.version, row{Attempt: c.attempt, BodyDigest: c.call.BodyDigest, Outcome: &o})
}

// Cancel records that the call was not dispatched and never will be under
// this claim, so that a later call may claim it again.
func (c *Claim) Cancel(ctx context.Context) error {
	return c.claims.write(ctx, c.call, c.version, row{Attempt: c.attempt, BodyDigest: c.call.BodyDigest, Cancelled: true})
}
