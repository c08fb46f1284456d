package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Message is one datagram. Fields that are lists hold what is new since the
// last message; the others hold the whole.
type Message struct {
	VM   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Address is where the sender hears, IP:PORT.
	Address string `cbor:"3,keyasint"`
	// Epoch tells the processes of a VM apart; Number orders its messages.
	Epoch    uint64 `cbor:"4,keyasint"`
	Sequence uint64 `cbor:"5,keyasint"`
	// Usage is what the sender charged to each team since its start, in tokens.
	Usage map[string]float64 `cbor:"6,keyasint,omitempty"`
	// Loads is the sender's calls in progress on each backend server.
	Loads map[string]Load `cbor:"7,keyasint,omitempty"`
	// Reloading are engines that are about to load weights, with those weights.
	Reloading []Version `cbor:"8,keyasint,omitempty"`
	Versions  []Version `cbor:"9,keyasint,omitempty"`
	Parts     []Part    `cbor:"10,keyasint,omitempty"`
	// Leaving is set in the last message of a process.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// Delta messages hold what is new alone: their lack of usage and loads says
	// nothing.
	Delta bool `cbor:"12,keyasint,omitempty"`
	// Digest messages speak for the sender's zone: Loads are those of the whole
	// zone, and Members are its other VMs. The VM that speaks for another zone
	// hands it on there.
	Digest  bool     `cbor:"13,keyasint,omitempty"`
	Members []Member `cbor:"14,keyasint,omitempty"`
	// CanceledReloads are engines that were to load weights and got no order.
	CanceledReloads []Version `cbor:"15,keyasint,omitempty"`
	// Shelves are the shelves as the VM that speaks for the zone sees them.
	Shelves []Shelf `cbor:"16,keyasint,omitempty"`
	// Failed are servers that did not answer, and Sound those that answered
	// again.
	Failed    []Failure `cbor:"17,keyasint,omitempty"`
	Recovered []Server  `cbor:"18,keyasint,omitempty"`
}

// Server names an incarnation of a backend server.
type Server struct {
	_    struct{} `cbor:",toarray"`
	ID   string
	Born int64
}

// Failure is a row of failures of a backend server.
type Failure struct {
	_        struct{} `cbor:",toarray"`
	Server   Server
	Failures int
	// CooldownMillis is for how long the sender leaves it alone, in milliseconds.
	CooldownMillis int64
}

// Shelf is the state of a store of cached parts.
type Shelf struct {
	_       struct{} `cbor:",toarray"`
	Address string
	// Epoch changes when the shelf has lost all that it held.
	Epoch int64
	Down  bool
}

// Member is another VM as the sender of a digest heard it last.
type Member struct {
	_       struct{} `cbor:",toarray"`
	VM      string
	Address string
	Epoch   uint64
	// Sequence is that of its message which the digest tells of.
	Sequence uint64
	// Usage names the teams whose charges changed since an earlier digest.
	Usage map[string]float64
}

// Load is the calls on a server, and the prompt tokens not yet read for them.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Calls   int
	Pending int
}

// Version is the version of a model that an incarnation of an engine runs.
type Version struct {
	_       struct{} `cbor:",toarray"`
	Engine  string
	Born    int64
	Model   string
	Version int64
}

// Part is a part of a prompt that an incarnation of an engine has read.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Engine string
	Born   int64
	Salt   string
	ID     string
	Tokens int
	// ReadyInMillis is in how many milliseconds the engine should have read it.
	ReadyInMillis int64
}

func encode(m *Message) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return raw, nil
}

func decode(raw []byte) (*Message, error) {
	m := &Message{}
	if err := cbor.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	if m.VM == "" || m.Address == "" {
		return nil, fmt.Errorf("gossip: message without a sender")
	}
	return m, nil
}
