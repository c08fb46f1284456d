package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the protocol.
const Version = 2

// MaxMessageBytes bounds an encoded message.
const MaxMessageBytes = 64 << 20

// Errors that Decode returns, wrapped.
var (
	ErrVersion = errors.New("peer: unsupported protocol version")
	ErrKind    = errors.New("peer: unknown message kind")
)

// Kind identifies the type of a message on the wire.
type Kind uint8

// The kinds of message.
const (
	KindHello Kind = iota + 1
	KindLoanRequest
	KindLoanGrant
	KindReports
	KindChangesRequest
	KindChanges
	KindSnapshotRequest
	KindSnapshot
	KindFailure
	KindMembersRequest
	KindMembers
)

// Message is a request or a reply.
type Message interface{ kind() Kind }

// Hello describes the state of the sender. It is answered by a Hello.
type Hello struct {
	VM   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Generation is the configuration generation in force.
	Generation uint64 `cbor:"3,keyasint"`
	// Proved is the highest generation known to have been the platform's head,
	// ProofAgeMillis how long ago that was, and HasProof whether there is one.
	Proved         uint64 `cbor:"4,keyasint"`
	ProofAgeMillis uint64 `cbor:"5,keyasint"`
	HasProof       bool   `cbor:"6,keyasint"`
	// HeldSlots has a bit set for each slot of the sender's zone that it holds.
	HeldSlots uint32 `cbor:"7,keyasint"`
}

// LoanRequest asks for a loan of Want tokens from a team's budget. If Want is zero
// it only asks for the level. It is answered by a LoanGrant.
type LoanRequest struct {
	Team string  `cbor:"1,keyasint"`
	ID   string  `cbor:"2,keyasint"`
	Want float64 `cbor:"3,keyasint"`
	// Forward lets a router that does not hold the team's slot forward the message.
	Forward bool `cbor:"4,keyasint"`
}

// LoanGrant answers a LoanRequest.
type LoanGrant struct {
	Tokens float64 `cbor:"1,keyasint"`
	// Rate is how many tokens a second the holder adds to the team's budget, and
	// Level how many it has left to lend. Level is negative while it is in debt.
	Rate  float64 `cbor:"2,keyasint"`
	Level float64 `cbor:"3,keyasint"`
}

// Report tells what happened to a loan; Kind is a team.ReportKind.
type Report struct {
	ID   string  `cbor:"1,keyasint"`
	Team string  `cbor:"2,keyasint"`
	Kind uint8   `cbor:"3,keyasint"`
	Used float64 `cbor:"4,keyasint"`
}

// Reports is a batch of reports. It is answered by a Hello.
type Reports struct {
	List    []Report `cbor:"1,keyasint"`
	Forward bool     `cbor:"2,keyasint"`
}

// ChangesRequest asks for the configuration changes after a generation.
type ChangesRequest struct {
	Generation uint64 `cbor:"1,keyasint"`
}

// Changes answers a ChangesRequest with encoded changes, oldest first. Complete is
// false if the sender no longer has all of them.
type Changes struct {
	List     [][]byte `cbor:"1,keyasint"`
	Complete bool     `cbor:"2,keyasint"`
}

// SnapshotRequest asks for the whole configuration in force.
type SnapshotRequest struct{}

// Snapshot answers a SnapshotRequest with an encoded snapshot.
type Snapshot struct {
	Data []byte `cbor:"1,keyasint"`
}

// MembersRequest asks for the list of VMs.
type MembersRequest struct{}

// Members answers a MembersRequest with the newest list that the sender has, in the
// platform's encoding.
type Members struct {
	Data []byte `cbor:"1,keyasint"`
}

// FailureError answers a request that failed or was refused.
type FailureError struct {
	Text string `cbor:"1,keyasint"`
}

func (*Hello) kind() Kind           { return KindHello }
func (*LoanRequest) kind() Kind     { return KindLoanRequest }
func (*LoanGrant) kind() Kind       { return KindLoanGrant }
func (*Reports) kind() Kind         { return KindReports }
func (*ChangesRequest) kind() Kind  { return KindChangesRequest }
func (*Changes) kind() Kind         { return KindChanges }
func (*SnapshotRequest) kind() Kind { return KindSnapshotRequest }
func (*Snapshot) kind() Kind        { return KindSnapshot }
func (*FailureError) kind() Kind    { return KindFailure }
func (*MembersRequest) kind() Kind  { return KindMembersRequest }
func (*Members) kind() Kind         { return KindMembers }

// Error implements error.
func (f *FailureError) Error() string { return "peer: refused: " + f.Text }

func newMessage(k Kind) (Message, error) {
	switch k {
	case KindHello:
		return &Hello{}, nil
	case KindLoanRequest:
		return &LoanRequest{}, nil
	case KindLoanGrant:
		return &LoanGrant{}, nil
	case KindReports:
		return &Reports{}, nil
	case KindChangesRequest:
		return &ChangesRequest{}, nil
	case KindChanges:
		return &Changes{}, nil
	case KindSnapshotRequest:
		return &SnapshotRequest{}, nil
	case KindSnapshot:
		return &Snapshot{}, nil
	case KindFailure:
		return &FailureError{}, nil
	case KindMembersRequest:
		return &MembersRequest{}, nil
	case KindMembers:
		return &Members{}, nil
	default:
		return nil, fmt.Errorf("%w: %d", ErrKind, k)
	}
}

type envelope struct {
	Version uint8           `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	Body    cbor.RawMessage `cbor:"3,keyasint"`
}

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: 1 << 20,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic("peer: decoder options: " + err.Error())
	}
	return mode
}

// Encode returns the wire encoding of m.
func Encode(m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("peer: encode body: %w", err)
	}
	raw, err := cbor.Marshal(envelope{Version: Version, Kind: m.kind(), Body: body})
	if err != nil {
		return nil, fmt.Errorf("peer: encode: %w", err)
	}
	return raw, nil
}

// Decode decodes the wire encoding of a message. It returns ErrVersion or ErrKind,
// wrapped, for messages of another protocol version or of an unknown kind.
func Decode(raw []byte) (Message, error) {
	var e envelope
	if err := decMode.Unmarshal(raw, &e); err != nil {
		return nil, fmt.Errorf("peer: decode: %w", err)
	}
	if e.Version != Version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, e.Version)
	}
	m, err := newMessage(e.Kind)
	if err != nil {
		return nil, err
	}
	if err := decMode.Unmarshal(e.Body, m); err != nil {
		return nil, fmt.Errorf("peer: decode body: %w", err)
	}
	return m, nil
}
