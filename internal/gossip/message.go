package gossip

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Message is one datagram. Fields that are lists hold changes since the last
// message, except for Members and KVCacheStores; the others hold the whole state.
type Message struct {
	VM   string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Address is the IP:PORT at which the sender listens.
	Address string `cbor:"3,keyasint"`
	// Epoch identifies the process among those that ran on the VM; Sequence orders
	// the messages of one process.
	Epoch    uint64 `cbor:"4,keyasint"`
	Sequence uint64 `cbor:"5,keyasint"`
	// Usage is the number of tokens that the sender has charged to each team since
	// it started.
	Usage map[string]float64 `cbor:"6,keyasint,omitempty"`
	// Loads holds the sender's calls in progress by the ID of the backend server.
	Loads map[string]Load `cbor:"7,keyasint,omitempty"`
	// Reloading lists engines that are about to load weights, with the version that
	// they load.
	Reloading []Version `cbor:"8,keyasint,omitempty"`
	Versions  []Version `cbor:"9,keyasint,omitempty"`
	Parts     []Part    `cbor:"10,keyasint,omitempty"`
	// Leaving is set in the last message of a process.
	Leaving bool `cbor:"11,keyasint,omitempty"`
	// Delta is set if the message holds changes only: empty Usage and Loads then mean
	// that nothing changed.
	Delta bool `cbor:"12,keyasint,omitempty"`
	// Digest is set if the message summarizes the sender's zone: Loads then holds the
	// calls of the whole zone, and Members its other VMs. The leader of the receiving
	// zone forwards the message to the VMs there.
	Digest  bool     `cbor:"13,keyasint,omitempty"`
	Members []Member `cbor:"14,keyasint,omitempty"`
	// CanceledReloads lists engines that were listed in Reloading but were not
	// ordered to load the weights.
	CanceledReloads []Version `cbor:"15,keyasint,omitempty"`
	// KVCacheStores holds the state of the KV cache stores as observed by the leader
	// of the zone.
	KVCacheStores []KVCacheStore `cbor:"16,keyasint,omitempty"`
	// Failed lists backend servers that did not answer or failed repeatedly, and
	// Recovered those that have answered again since.
	Failed    []Failure `cbor:"17,keyasint,omitempty"`
	Recovered []Server  `cbor:"18,keyasint,omitempty"`
	// Breaks lists calls that engines broke off before they generated anything.
	// Succeeded lists the parts of such calls with which other calls have succeeded
	// since, and Answered the engines that have answered since.
	Breaks    []Break    `cbor:"19,keyasint,omitempty"`
	Succeeded []Success  `cbor:"20,keyasint,omitempty"`
	Answered  []Answered `cbor:"21,keyasint,omitempty"`
	// BreakTimes holds the times of each of Breaks. Ended lists engines that take no
	// connections since they broke off calls.
	BreakTimes []BreakTimes `cbor:"29,keyasint,omitempty"`
	Ended      []Server     `cbor:"30,keyasint,omitempty"`
	// BreakPositions holds, for each of Breaks, the positions of its parts in the prompt. Other
	// parts are in other messages.
	BreakPositions [][]int `cbor:"32,keyasint,omitempty"`
	// Cut lists engines that broke off calls which they had begun.
	Cut []Cut `cbor:"31,keyasint,omitempty"`
	// Quarantines lists the parts in quarantine.
	Quarantines []Quarantine `cbor:"22,keyasint,omitempty"`
	// Confirmed lists the states of VMs of the own zone that the sender, the leader of
	// the zone, and the leaders of the other zones have heard; see
	// quota.EncodeConfirmed.
	Confirmed []byte `cbor:"26,keyasint,omitempty"`
	// Heard lists the newest digest from each other zone that the sender has heard.
	Heard []Heard `cbor:"27,keyasint,omitempty"`
	// HeldTokens is the number of tokens that the calls of Loads hold in the memory of
	// each engine, with the sender's share of the parts that they have in common with
	// calls of other VMs.
	HeldTokens map[string]int `cbor:"28,keyasint,omitempty"`
	// Grants lists the rollouts that the sender owns. Rollouts holds the sender's counts,
	// and MemberRollouts those of other VMs of its zone.
	Grants         []Grant          `cbor:"23,keyasint,omitempty"`
	Rollouts       []RolloutCounts  `cbor:"24,keyasint,omitempty"`
	MemberRollouts []MemberRollouts `cbor:"25,keyasint,omitempty"`
}

// Heard is a digest, by its sender and sequence number.
type Heard struct {
	_        struct{} `cbor:",toarray"`
	VM       string
	Epoch    uint64
	Sequence uint64
}

// Break is a call that an engine broke off before it generated anything.
type Break struct {
	_      struct{} `cbor:",toarray"`
	Engine Server
	// Request is a hash of the call's ID.
	Request uint64
	// Parts holds the IDs of the shared parts of the call's prompt.
	Parts []string
	// Head is set if the engine had sent the head of a response.
	Head      bool
	AgeMillis int64
}

// BreakTimes holds the time from the head of a response to the break, and that for which the
// engine had run, in milliseconds; zero if they are not known.
type BreakTimes struct {
	_            struct{} `cbor:",toarray"`
	HeadMillis   int64
	UptimeMillis int64
}

// Cut is an engine, and how long ago it broke off a call.
type Cut struct {
	_         struct{} `cbor:",toarray"`
	Engine    Server
	AgeMillis int64
}

// Success is a part of prompts, and how long ago a call with it succeeded.
type Success struct {
	_         struct{} `cbor:",toarray"`
	Part      string
	AgeMillis int64
}

// Answered is an engine, and how long ago something that it sent arrived.
type Answered struct {
	_         struct{} `cbor:",toarray"`
	Engine    Server
	AgeMillis int64
}

// Quarantine is a part of prompts that crashes engines. Times are in milliseconds.
type Quarantine struct {
	_    struct{} `cbor:",toarray"`
	Part string
	// SinceMillis is how long ago the first engine crashed, AskedMillis how long ago a
	// call with the part was last refused.
	SinceMillis int64
	AskedMillis int64
	// LeftMillis is the time until a trial may be made, HoldMillis the time between a
	// crash and a trial.
	LeftMillis int64
	HoldMillis int64
}

// Server identifies an incarnation of a backend server.
type Server struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// Born distinguishes incarnations under one ID, in Unix milliseconds.
	Born int64
}

// Failure is a series of consecutive failures of a backend server.
type Failure struct {
	_        struct{} `cbor:",toarray"`
	Server   Server
	Failures int
	// BackoffMillis is how long the sender sends no calls to the server, in
	// milliseconds.
	BackoffMillis int64
}

// KVCacheStore is the state of a server that stores KV cache entries.
type KVCacheStore struct {
	_       struct{} `cbor:",toarray"`
	Address string
	// Epoch changes when the store has lost its contents.
	Epoch int64
	// Down is set if the store does not answer.
	Down bool
}

// Member is an entry of a digest: a VM of the sender's zone, as of the last message
// that the sender received from it.
type Member struct {
	_       struct{} `cbor:",toarray"`
	VM      string
	Address string
	Epoch   uint64
	// Sequence is the sequence number of that message.
	Sequence uint64
	// Usage holds the charged tokens of the teams for which they have changed since
	// an earlier digest, or of all teams.
	Usage map[string]float64
}

// Load is the number of calls in progress on a backend server, and the number of
// their prompt tokens that the server has not processed yet.
type Load struct {
	_             struct{} `cbor:",toarray"`
	Calls         int
	PendingTokens int
}

// Version is the version of a model that an incarnation of an engine runs or is to
// load.
type Version struct {
	_       struct{} `cbor:",toarray"`
	Engine  string
	Born    int64
	Model   string
	Version int64
}

// Part is a part of a prompt that an incarnation of an engine, or a KV cache store,
// has cached or is about to.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Engine string
	Born   int64
	Salt   string
	ID     string
	Tokens int
	// ReadyInMillis is the expected time until the part is cached, in milliseconds.
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
		return nil, fmt.Errorf("gossip: message lacks the VM name or address of its sender")
	}
	if err := m.checkNumbers(); err != nil {
		return nil, fmt.Errorf("gossip: decode: %w", err)
	}
	return m, nil
}

const (
	// maxCount bounds the counts of calls, failures and tokens in a message. Sums and
	// products of such counts fit an int64.
	maxCount = 1 << 40
	// maxConfirmedBytes and maxHeard bound the confirmations in a message: those of 2,048
	// VMs of a zone, and of 64 zones.
	maxConfirmedBytes = 8 << 10
	maxHeard          = 64
	// maxUsage bounds the tokens charged since a process started: sums up to it are exact.
	maxUsage = 1 << 53
	// maxMillis bounds the times in a message, in milliseconds; no VM knows of anything
	// that is a day ahead.
	maxMillis = 24 * 60 * 60 * 1000
	// maxAgeMillis bounds ages in a message: quarantines may last long, and a duration
	// holds as much.
	maxAgeMillis = 1 << 40
)

var errOutOfRange = errors.New("number out of range")

// checkNumbers returns an error if the message has a number that no VM sends: what
// receivers compute with it may overflow.
func (m *Message) checkNumbers() error {
	usages := []map[string]float64{m.Usage}
	for _, x := range m.Members {
		usages = append(usages, x.Usage)
	}
	for _, usage := range usages {
		for team, n := range usage {
			if math.IsNaN(n) || math.Abs(n) > maxUsage {
				return fmt.Errorf("%w: usage of %q", errOutOfRange, team)
			}
		}
	}
	for id, l := range m.Loads {
		if !isCount(l.Calls) || !isCount(l.PendingTokens) {
			return fmt.Errorf("%w: load on %q", errOutOfRange, id)
		}
	}
	for id, n := range m.HeldTokens {
		if !isCount(n) {
			return fmt.Errorf("%w: tokens held on %q", errOutOfRange, id)
		}
	}
	for _, x := range m.Failed {
		if !isCount(x.Failures) || x.BackoffMillis < 0 || x.BackoffMillis > maxMillis {
			return fmt.Errorf("%w: failures of %q", errOutOfRange, x.Server.ID)
		}
	}
	for _, x := range m.Parts {
		if !isCount(x.Tokens) || x.ReadyInMillis < -maxMillis || x.ReadyInMillis > maxMillis {
			return fmt.Errorf("%w: part on %q", errOutOfRange, x.Engine)
		}
	}
	if len(m.Confirmed) > maxConfirmedBytes || len(m.Heard) > maxHeard {
		return fmt.Errorf("%w: confirmations", errOutOfRange)
	}
	if err := m.checkRollouts(); err != nil {
		return err
	}
	return m.checkQuarantineTimes()
}

// checkQuarantineTimes is checkNumbers for what the message tells of parts that crash
// engines.
func (m *Message) checkQuarantineTimes() error {
	if n := len(m.BreakTimes); n > 0 && n != len(m.Breaks) {
		return fmt.Errorf("%w: %d times of %d breaks", errOutOfRange, n, len(m.Breaks))
	}
	if n := len(m.BreakPositions); n > 0 && n != len(m.Breaks) {
		return fmt.Errorf("%w: positions in %d of %d breaks", errOutOfRange, n, len(m.Breaks))
	}
	for i, positions := range m.BreakPositions {
		if len(positions) != len(m.Breaks[i].Parts) || slices.ContainsFunc(positions, func(at int) bool { return !isCount(at) }) {
			return fmt.Errorf("%w: positions of parts", errOutOfRange)
		}
	}
	for _, x := range m.BreakTimes {
		if x.HeadMillis < 0 || x.HeadMillis > maxMillis || x.UptimeMillis < 0 || x.UptimeMillis > maxAgeMillis {
			return fmt.Errorf("%w: time of a break", errOutOfRange)
		}
	}
	for _, x := range m.Breaks {
		if !isAge(x.AgeMillis) {
			return fmt.Errorf("%w: break by %q", errOutOfRange, x.Engine.ID)
		}
	}
	for _, x := range m.Succeeded {
		if !isAge(x.AgeMillis) {
			return fmt.Errorf("%w: success with part %q", errOutOfRange, x.Part)
		}
	}
	for _, x := range m.Answered {
		if !isAge(x.AgeMillis) {
			return fmt.Errorf("%w: answer of %q", errOutOfRange, x.Engine.ID)
		}
	}
	for _, x := range m.Cut {
		if !isAge(x.AgeMillis) {
			return fmt.Errorf("%w: cut by %q", errOutOfRange, x.Engine.ID)
		}
	}
	for _, x := range m.Quarantines {
		if !isAge(x.SinceMillis) || !isAge(x.AskedMillis) || !isAge(-x.LeftMillis) || x.HoldMillis < 0 || x.HoldMillis > maxMillis {
			return fmt.Errorf("%w: quarantine of part %q", errOutOfRange, x.Part)
		}
	}
	return nil
}

func isAge(millis int64) bool { return millis >= -maxMillis && millis <= maxAgeMillis }

func isCount(n int) bool { return n >= 0 && n <= maxCount }
