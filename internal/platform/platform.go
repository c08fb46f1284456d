package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrOutcomeUnknown means that a write may have taken effect, or may still do so.
// It is returned wrapped.
var ErrOutcomeUnknown = errors.New("platform: outcome of the write is unknown")

// Key identifies a row. TableStore.List returns all rows of a Group.
type Key struct {
	Group string
	Name  string
}

// Row is a stored row. Version is the number of times it was written.
type Row struct {
	Key     Key
	Version uint64
	Data    []byte
}

// Write replaces a row if its version is ExpectedVersion; 0 means that the row must
// not exist. Data must differ from that of any other attempt to write the row: if
// the response to a write is lost, the stored data is compared with it to decide
// whether the write took effect.
type Write struct {
	Key             Key
	ExpectedVersion uint64
	Data            []byte
}

// TableStore is the transactional table service. Reads are strongly consistent: they
// see every write that was acknowledged before.
type TableStore interface {
	// Get returns a row, or a trace.NotFound error.
	Get(ctx context.Context, key Key) (Row, error)
	// List returns the rows of a group, sorted by name. A row that cannot be decoded has
	// no Data.
	List(ctx context.Context, group string) ([]Row, error)
	// Commit applies all writes or none. It returns a trace.CompareFailed
	// error if a version differs, and ErrOutcomeUnknown, wrapped, if ctx
	// ended before the outcome was known. The token is the idempotency token
	// of the commit, and must be new.
	Commit(ctx context.Context, token string, writes ...Write) error
}

// ObjectStore stores immutable objects by name.
type ObjectStore interface {
	// PutObject stores data under name.
	PutObject(ctx context.Context, name string, data []byte) error
	// GetObject returns an object, or a trace.NotFound error.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Role is what runs on a VM.
type Role string

// The values of Role.
const (
	RoleRouter  Role = "router"
	RoleBackend Role = "backend"
)

// State is the state of a VM in the platform's list. A VM that is gone is not listed.
type State string

// The values of State.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Role Role   `json:"role"`
	// PeerAddress is the address on which a router accepts connections from
	// its peers; empty for backend servers.
	PeerAddress string `json:"address,omitempty"`
	// StatusAddress is the address of a router's status server, for operators.
	StatusAddress string `json:"status,omitempty"`
	State         State  `json:"state"`
}

// VMList is the platform's list of VMs. It lags behind the actual state of the VMs.
type VMList struct {
	VMs []VM `json:"vms"`
	// Invalid holds an error for each entry that could not be decoded. Such an entry is
	// not in VMs.
	Invalid []error `json:"-"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *VMList) UnmarshalJSON(raw []byte) error {
	var d struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(raw, &d); err != nil {
		return err
	}
	*l = VMList{}
	for i, entry := range d.VMs {
		var vm VM
		err := json.Unmarshal(entry, &vm)
		if err == nil && vm.Name == "" {
			err = errors.New("no name")
		}
		if err != nil {
			l.Invalid = append(l.Invalid, fmt.Errorf("platform: VM list: entry %d: %w", i, err))
			continue
		}
		l.VMs = append(l.VMs, vm)
	}
	return nil
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	// ListVMs returns the platform's current list. The caller must not
	// modify it.
	ListVMs(ctx context.Context) (VMList, error)
}

// Services combines the services of the platform.
type Services interface {
	TableStore
	ObjectStore
	VMLister
}
