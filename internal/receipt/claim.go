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

// Errors returned by the methods of Claims.
var (
	// ErrClaimed means that the call has been claimed and its outcome is unknown:
	// it may have run, be running, or never run.
	ErrClaimed = errors.New("receipt: call is already claimed and its outcome is unknown")
	// ErrRequestMismatch means that the idempotency key has been used with another
	// request.
	ErrRequestMismatch = errors.New("receipt: idempotency key was used with another request")
	// ErrUnavailable means that the claim could not be written; the call has
	// not run and will not run under this attempt.
	ErrUnavailable = errors.New("receipt: writing the claim failed")
	// ErrInvalidRow means that a stored claim cannot be parsed.
	ErrInvalidRow = errors.New("receipt: claim row cannot be parsed")
)

// MaxStoredBodyBytes bounds the body of a stored outcome. A larger body is not
// stored.
const MaxStoredBodyBytes = 256 << 10

// Call identifies a call that must run at most once.
type Call struct {
	Team           string
	Route          string
	IdempotencyKey string
	// RequestDigest is the digest of the request that was sent with the key, as returned
	// by Digest.
	RequestDigest string
}

// Digest returns the SHA-256 digest of a list of parts in hexadecimal. Each part is
// prefixed with its length, so that lists that differ only in how the bytes are
// divided into parts have different digests.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(part))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// rowKey returns the key of the call's row. The group contains the first two digits
// of the name, which is a digest, to spread the rows over 256 groups.
func (c Call) rowKey() platform.Key {
	name := Digest([]byte(c.Team), []byte(c.Route), []byte(c.IdempotencyKey))
	return platform.Key{Group: "claims/" + name[:2], Name: name}
}

// Outcome is the stored answer to a call.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body"`
	// Truncated means that the body was too large and was not stored.
	Truncated bool `json:"truncated,omitempty"`
}

// row is the stored state of a call.
type row struct {
	// Attempt is the random token of the attempt that claimed the call.
	Attempt       string `json:"attempt"`
	RequestDigest string `json:"body"`
	// Canceled means that the attempt ended without dispatching the call.
	Canceled bool     `json:"cancelled,omitempty"`
	Outcome  *Outcome `json:"outcome,omitempty"`
}

// Claims creates and looks up claims in the table service.
type Claims struct {
	tables platform.TableStore
}

// NewClaims returns a Claims that stores its rows in tables.
func NewClaims(tables platform.TableStore) *Claims { return &Claims{tables: tables} }

// Claim is the right of one attempt to dispatch its call once.
type Claim struct {
	claims  *Claims
	call    Call
	attempt string
	version uint64
}

// Claim claims a call. If the call was claimed before, it returns the stored outcome
// instead. It fails with ErrClaimed, ErrRequestMismatch, ErrUnavailable or
// ErrInvalidRow. The call may be dispatched only if the returned Claim is not nil.
func (c *Claims) Claim(ctx context.Context, call Call) (*Claim, *Outcome, error) {
	claim := &Claim{claims: c, call: call, attempt: platform.NewToken(), version: 1}
	err := c.write(ctx, call, 0, row{Attempt: claim.attempt, RequestDigest: call.RequestDigest})
	switch {
	case err == nil:
		return claim, nil, nil
	case trace.IsCompareFailed(err):
		return c.resolveRepeat(ctx, claim)
	default:
		return nil, nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}

// resolveRepeat implements Claim for a call that was claimed before. A canceled claim
// is replaced by a compare-and-swap.
func (c *Claims) resolveRepeat(ctx context.Context, claim *Claim) (*Claim, *Outcome, error) {
	stored, version, err := c.read(ctx, claim.call)
	if err != nil {
		return nil, nil, err
	}
	if stored.RequestDigest != claim.call.RequestDigest {
		return nil, nil, ErrRequestMismatch
	}
	if stored.Outcome != nil {
		return nil, stored.Outcome, nil
	}
	if !stored.Canceled {
		return nil, nil, ErrClaimed
	}
	err = c.write(ctx, claim.call, version, row{Attempt: claim.attempt, RequestDigest: claim.call.RequestDigest})
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
	stored, _, err := c.read(ctx, call)
	if err != nil {
		return nil, err
	}
	if stored.Outcome == nil {
		return nil, ErrClaimed
	}
	return stored.Outcome, nil
}

func (c *Claims) read(ctx context.Context, call Call) (row, uint64, error) {
	stored, err := c.tables.Get(ctx, call.rowKey())
	if err != nil {
		return row{}, 0, fmt.Errorf("%w: %w", ErrClaimed, err)
	}
	var parsed row
	if err := json.Unmarshal(stored.Data, &parsed); err != nil || parsed.Attempt == "" {
		return row{}, 0, fmt.Errorf("%w: %s", ErrInvalidRow, stored.Key.Name)
	}
	return parsed, stored.Version, nil
}

func (c *Claims) write(ctx context.Context, call Call, expectedVersion uint64, r row) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("receipt: encode: %w", err)
	}
	err = c.tables.Commit(ctx, r.Attempt, platform.Write{Key: call.rowKey(), ExpectedVersion: expectedVersion, Data: raw})
	if err != nil {
		return fmt.Errorf("receipt: write: %w", err)
	}
	return nil
}

// StoreOutcome stores the outcome of the call, so that a repeated call gets the same
// answer. If the body is larger than MaxStoredBodyBytes, the outcome is stored without
// it and marked as truncated.
func (c *Claim) StoreOutcome(ctx context.Context, o Outcome) error {
	if len(o.Body) > MaxStoredBodyBytes {
		o.Body = nil
		o.Truncated = true
	}
	return c.claims.write(ctx, c.call, c.version, row{Attempt: c.attempt, RequestDigest: c.call.RequestDigest, Outcome: &o})
}

// Cancel records that the call was not and will not be dispatched under this claim,
// so that it can be claimed again.
func (c *Claim) Cancel(ctx context.Context) error {
	return c.claims.write(ctx, c.call, c.version, row{Attempt: c.attempt, RequestDigest: c.call.RequestDigest, Canceled: true})
}
