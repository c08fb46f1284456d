package quota

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sentCount is the number of messages whose times are remembered: a confirmation has
	// the low byte of a sequence number.
	sentCount = 256
	// maxDigests is the number of digests remembered that await their confirmation.
	maxDigests = 16
	// confirmationBytes is the length of an encoded confirmation: three bytes of a hash
	// of the VM and the low byte of the sequence number.
	confirmationBytes = 4
)

// Heard is the newest digest that a VM has received from another zone.
type Heard struct {
	VM       string
	Epoch    uint64
	Sequence uint64
}

// Confirmations tracks which of the states that VMs send have been heard elsewhere. The
// leader of a zone confirms a state to the VM that sent it once the leader has heard it
// and the leaders of all other zones have heard a digest with it. Zones that are silent
// are left out. It is safe for concurrent use.
type Confirmations struct {
	vm    string
	epoch uint64

	mu sync.Mutex // guards the fields below
	// sent holds the times of this VM's last messages by the low byte of their numbers.
	sent [sentCount]time.Duration
	// digests holds the digests that this VM has sent, oldest first.
	digests []sentDigest
	zones   map[string]*zoneHeard
}

// sentDigest is a digest and the sequence numbers of the states that it includes.
type sentDigest struct {
	sequence uint64
	states   map[string]uint64
}

// zoneHeard is what another zone has sent last.
type zoneHeard struct {
	last Heard
	at   time.Duration
	// confirmed is the newest digest of this VM that the zone has heard. confirms is set
	// if the zone's leader says what it has heard; older releases do not.
	confirmed uint64
	confirms  bool
}

// NewConfirmations returns the Confirmations of a VM's process.
func NewConfirmations(vm string, epoch uint64) *Confirmations {
	return &Confirmations{vm: vm, epoch: epoch, zones: make(map[string]*zoneHeard)}
}

// RecordSent records that this VM's totals were sent in a message.
func (c *Confirmations) RecordSent(sequence uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[sequence%sentCount] = at
}

// RecordDigest records that a digest of this VM included states of VMs of its zone,
// given by their sequence numbers.
func (c *Confirmations) RecordDigest(sequence uint64, states map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.digests) == maxDigests {
		c.digests = append(c.digests[:0], c.digests[1:]...)
	}
	c.digests = append(c.digests, sentDigest{sequence: sequence, states: states})
}

// RecordHeard records a digest of another zone, and what that zone has heard.
func (c *Confirmations) RecordHeard(zone string, digest Heard, heard []Heard, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	z := c.zones[zone]
	if z == nil {
		z = &zoneHeard{}
		c.zones[zone] = z
	}
	z.last, z.at, z.confirms = digest, now, len(heard) > 0
	for _, h := range heard {
		if h.VM == c.vm && h.Epoch == c.epoch {
			z.confirmed = max(z.confirmed, h.Sequence)
		}
	}
}

// Heard returns the newest digest of each other zone.
func (c *Confirmations) Heard() []Heard {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Heard, 0, len(c.zones))
	for _, z := range c.zones {
		out = append(out, z.last)
	}
	return out
}

// Confirmed returns the sequence numbers of the states that this VM, as the leader of
// its zone, can confirm, and the time of its own newest state that has been heard. The
// argument heard holds the numbers of the states of its zone's VMs that it knows.
func (c *Confirmations) Confirmed(heard map[string]uint64, now time.Duration) (map[string]uint64, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	newest, others := uint64(0), false
	for _, z := range c.zones {
		if now-z.at > silenceTimeout || !z.confirms {
			continue
		}
		if !others || z.confirmed < newest {
			newest = z.confirmed
		}
		others = true
	}
	if !others {
		return maps.Clone(heard), now
	}
	for i := len(c.digests) - 1; i >= 0; i-- {
		if d := c.digests[i]; d.sequence <= newest {
			return maps.Clone(d.states), c.sent[d.sequence%sentCount]
		}
	}
	return nil, 0
}

// EncodeConfirmed encodes confirmed sequence numbers by VM and epoch for a message.
func EncodeConfirmed(confirmed map[string]uint64, epoch func(vm string) uint64) []byte {
	out := make([]byte, 0, confirmationBytes*len(confirmed))
	for vm, sequence := range confirmed {
		h := confirmationHash(vm, epoch(vm))
		out = append(out, byte(h), byte(h>>8), byte(h>>16), byte(sequence))
	}
	return out
}

// SentAt returns the time of this VM's message that the encoded confirmations confirm.
func (c *Confirmations) SentAt(encoded []byte) (time.Duration, bool) {
	h := confirmationHash(c.vm, c.epoch)
	for ; len(encoded) >= confirmationBytes; encoded = encoded[confirmationBytes:] {
		if encoded[0] == byte(h) && encoded[1] == byte(h>>8) && encoded[2] == byte(h>>16) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.sent[encoded[3]], true
		}
	}
	return 0, false
}

func confirmationHash(vm string, epoch uint64) uint64 {
	h := xxhash.Sum64String(vm)
	return (h ^ epoch*0x9e3779b97f4a7c15) >> 40
}
