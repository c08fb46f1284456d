package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Message is one datagram. List fields hold the changes since the last message;
// the others hold the whole state.
type Message struct {
	VM   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Address is the IP:PORT at which the sender listens.
	Address string `cbor:"3,keyasint"`
	// Epoch distinguishes the processes of a VM; Sequence orders the messages of
	// one process.
	Epoch    uint64 `cbor:"4,keyasint"`
	Sequence uint64 `cbor:"5,keyasint"`
	// Usage is the number of tokens that the sender has charged to each team since
	// it started.
	Usage map[string]float64 `cbor:"6,keyasint,omitempty"`
	// Loads holds the sender's calls in progress on each backend server.
	Loads map[string]Load `cbor:"7,keyasint,omitempty"`
	// Reloading lists engines that are about to load weights, with the version.
	Reloading []Version `cbor:"8,keyasint,omitempty"`
	Versions  []Version `cbor:"9,keyasint,omitempty"`
	Parts     []Part    `cbor:"10,keyasint,omitempty"`
	// Leaving is set in the last message of a process.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// Delta messages hold changes only: missing usage and loads mean no change.
	Delta bool `cbor:"12,keyasint,omitempty"`
	// Digest messages summarize the sender's zone: Loads are those of the whole
	// zone, and Members are its other VMs. The leader of the receiving zone
	// forwards the message to the VMs there.
	Digest  bool     `cbor:"13,keyasint,omitempty"`
	Members []Member `cbor:"14,keyasint,omitempty"`
	// CanceledReloads lists engines whose announced load was not ordered.
	CanceledReloads []Version `cbor:"15,keyasint,omitempty"`
	// KVCacheStores holds the state of the stores of cached parts as the leader of the
	// zone observes it.
	KVCacheStores []KVCacheStore `cbor:"16,keyasint,omitempty"`
	// Failed lists servers that did not answer, and Recovered those that answered
	// again.
	Failed    []Failure `cbor:"17,keyasint,omitempty"`
	Recovered []Server  `cbor:"18,keyasint,omitempty"`
}

// Server identifies an incarnation of a backend server.
type Server struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

// Failure is a series of consecutive failures of a backend server.
type Failure struct {
	_        struct{} `cbor:",toarray"`
	Server   Server
	Failures int
	// BackoffMillis is how long the sender skips the server, in milliseconds.
	BackoffMillis int64
}

// KVCacheStore is the state of a store of cached parts of prompts.
type KVCacheStore struct {
	_       struct{} `cbor:",toarray"`
	Address string
	// Epoch changes when the store has lost its contents.
	Epoch int64
	Down  bool
}

// Member is a VM of the sender's zone, as of the last message that the sender of
// the digest received from it.
type Member struct {
	_       struct{} `cbor:",toarray"`
	VM      string
	Address string
	Epoch   uint64
	// Sequence is the number of that message.
	Sequence uint64
	// Usage holds the teams whose charges changed since an earlier digest.
	Usage map[string]float64
}

// Load is the number of calls in progress on a server, and of their prompt tokens
// that it has not processed yet.
type Load struct {
	_             struct{} `cbor:",toarray"`
	Calls         int
	PendingTokens int
}

// Version is the version of a model that an incarnation of an engine runs.
type Version struct {
	_       struct{} `cbor:",toarray"`
	Engine  string
	Born    int64
	Model   string
	Version int64
}

// Part is a part of a prompt that an incarnation of an engine has processed, and
// therefore has in its cache.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Engine string
	Born   int64
	Salt   string
	ID     string
	Tokens int
	// ReadyInMillis is the expected time until the engine has processed the part, in
	// milliseconds.
	ReadyInMillis int64
}

func encode(m *Message) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("gossip: encode: %w", err)
	}
	return raw, nil
}

func decode(raw []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("gossip: decode: %w", err)
	}
	if m.VM == "" || m.Address == "" {
		return nil, fmt.Errorf("gossip: message lacks the VM or address of its sender")
	}
	return m, nil
}
