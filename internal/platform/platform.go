package platform

import (
	"context"
	"errors"
)

// ErrOutcomeUnknown is returned, wrapped, when a write may or may not have taken
// effect, or may still do so.
var ErrOutcomeUnknown = errors.New("platform: effect of the write is unknown")

// Key names a row: Group is what List returns together.
type Key struct {
	Group string
	Name  string
}

// Row is a kept value. Version counts its writes from 1.
type Row struct {
	Key     Key
	Version uint64
	Data    []byte
}

// Write replaces a row if its version is still Expect; Expect 0 means that
// the row must not exist. Data must tell this writer's attempt from any other,
// since a lost answer is resolved by comparing it.
type Write struct {
	Key             Key
	ExpectedVersion uint64
	Data            []byte
}

// TableStore is the transactional table service. Reads see every write that was
// answered before them.
type TableStore interface {
	// Get returns a row, or a trace.NotFound error.
	Get(ctx context.Context, key Key) (Row, error)
	// List returns the rows of a group in the order of their names.
	List(ctx context.Context, group string) ([]Row, error)
	// Commit does all writes or none. It returns a trace.CompareFailed
	// error when a version differs, and ErrUnknown when ctx ended before
	// the effect was known.
	Commit(ctx context.Context, token string, writes ...Write) error
}

// ObjectStore keeps immutable blobs by name.
type ObjectStore interface {
	// PutObject stores data under name.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns a blob, or a trace.NotFound error.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Role tells what runs on a VM.
type Role string

// The roles.
const (
	RoleRouter  Role = "router"
	RoleBackend Role = "backend"
)

// State is a VM's standing in the list. A VM that is gone is not listed.
type State string

// The states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Role Role   `json:"role"`
	// PeerAddress is where peers reach a router; empty for backend servers.
	PeerAddress string `json:"address,omitempty"`
	// StatusAddress is the operators' address of a router.
	StatusAddress string `json:"status,omitempty"`
	State         State  `json:"state"`
}

// VMList is the platform's view of the VMs, which lags.
type VMList struct {
	VMs []VM `json:"vms"`
}

// VMLister gives the platform's list.
type VMLister interface {
	// ListVMs returns the newest list that the platform has. The caller must
	// not change it.
	ListVMs(ctx context.Context) (VMList, error)
}

// Services is everything a process uses of the platform.
type Services interface {
	TableStore
	ObjectStore
	VMLister
}
