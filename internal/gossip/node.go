package gossip

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxDatagramBytes bounds an encoded message. The receiver truncates longer
	// datagrams, so senders must limit the contents.
	maxDatagramBytes = 60 << 10
	// memberTTL is how long after its last message, or after its address became
	// known, a VM is dropped from the members.
	memberTTL = 20 * time.Second
	// probeEveryRounds is the interval, in rounds, at which messages also go to VMs
	// that are not heard, so that the two sides of a partition find each other after
	// it heals.
	probeEveryRounds = 5
	// leaderTimeout is how long after its last message a VM may still be the leader,
	// which the others ask instead of the store.
	leaderTimeout = time.Second
	// unheardAfter is how long after its last message a VM counts as not heard.
	unheardAfter = 4 * time.Second
	// receiversPerZone is how many VMs of each other zone receive a message. With
	// two, the failure of one loses nothing.
	receiversPerZone = 2
)

// member is another VM.
type member struct {
	address  netip.AddrPort
	zone     string
	epoch    uint64
	sequence uint64
	// lastHeard is when its last message arrived; learnedAt is when its address
	// became known.
	lastHeard time.Duration
	learnedAt time.Duration
}

// Options configure a Node.
type Options struct {
	VM      string
	Zone    string
	Address string
	Epoch   uint64
	Now     func() time.Duration
	// OnMessage is called with each accepted message of another VM. Fresh is set for
	// the first message of a process.
	OnMessage func(m *Message, fresh bool)
	// OnInvalid is called for datagrams that are not valid messages.
	OnInvalid func(from string, err error)
}

// Node exchanges messages with the other VMs over one UDP socket. It is safe for
// concurrent use.
type Node struct {
	options Options
	conn    *net.UDPConn
	done    sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	members map[string]*member
	// seeds holds addresses of VMs whose names are not known yet.
	seeds    map[netip.AddrPort]bool
	sequence uint64
	// rounds counts the messages sent to each scope.
	rounds [AllZones + 1]int
}

// NewNode binds the address and starts receiving.
func NewNode(o Options) (*Node, error) {
	addr, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return nil, fmt.Errorf("gossip: address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("gossip: listen: %w", err)
	}
	n := &Node{options: o, conn: conn, members: make(map[string]*member), seeds: make(map[netip.AddrPort]bool)}
	n.done.Go(n.listen)
	return n, nil
}

// Close closes the socket and waits for the receiver to stop.
func (n *Node) Close() {
	_ = n.conn.Close()
	n.done.Wait()
}

func (n *Node) listen() {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		m, err := decode(buf[:size])
		if err != nil {
			n.options.OnInvalid(from.String(), err)
			continue
		}
		if m.VM == n.options.VM {
			continue
		}
		if fresh, take := n.receive(m); take {
			if m.Digest && m.Zone != n.options.Zone && from.String() == m.Address && n.IsLeader() {
				n.send(buf[:size], n.zoneAddresses())
			}
			n.options.OnMessage(m, fresh)
		}
	}
}

func (n *Node) send(raw []byte, to []netip.AddrPort) {
	for _, addr := range to {
		// A datagram that cannot be sent is treated as lost.
		_, _ = n.conn.WriteToUDPAddrPort(raw, addr)
	}
}

// receive records the sender of a message. It rejects messages that arrive out of
// order, and drops such entries from a digest's members.
func (n *Node) receive(m *Message) (fresh, take bool) {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		n.options.OnInvalid(m.Address, err)
		return false, false
	}
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh, take = n.recordMember(m.VM, m.Zone, addr, m.Epoch, m.Sequence, now)
	if !take {
		return false, false
	}
	if m.Leaving {
		delete(n.members, m.VM)
	}
	kept := m.Members[:0]
	for _, x := range m.Members {
		addr, err := netip.ParseAddrPort(x.Address)
		if err != nil || x.VM == n.options.VM {
			continue
		}
		if _, newer := n.recordMember(x.VM, m.Zone, addr, x.Epoch, x.Sequence, now); newer {
			kept = append(kept, x)
		}
	}
	m.Members = kept
	return fresh, true
}

// recordMember records a message of a VM. It reports whether the VM's process is
// new, and whether the message is newer than all before it.
func (n *Node) recordMember(vm, zone string, addr netip.AddrPort, epoch, sequence uint64, now time.Duration) (fresh, newer bool) {
	delete(n.seeds, addr)
	o := n.members[vm]
	if o == nil || o.epoch != epoch {
		if o != nil && o.epoch > epoch {
			return false, false
		}
		o = &member{epoch: epoch, learnedAt: now}
		n.members[vm] = o
		fresh = true
	} else if sequence <= o.sequence {
		return false, false
	}
	o.address, o.zone, o.sequence, o.lastHeard = addr, zone, sequence, now
	return fresh, true
}

// AddMember adds a VM whose name and address are known from a list. An address
// that was learnt from recent messages takes precedence.
func (n *Node) AddMember(vm, address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || vm == n.options.VM {
		return
	}
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.members[vm]; o == nil {
		n.members[vm] = &member{address: addr, learnedAt: now}
	} else if o.address != addr && now-o.lastHeard > unheardAfter {
		o.address = addr
	}
}

// AddSeed adds the address of a VM whose name is not known. Only the IP address is
// used, since all VMs listen on the same port.
func (n *Node) AddSeed(address string) {
	addr, err := netip.ParseAddrPort(address)
	own := netip.MustParseAddrPort(n.options.Address)
	if err != nil || addr.Addr() == own.Addr() {
		return
	}
	addr = netip.AddrPortFrom(addr.Addr(), own.Port())
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.members {
		if o.address == addr {
			return
		}
	}
	n.seeds[addr] = true
}

// MemberCount returns the number of other VMs that are known.
func (n *Node) MemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}

// Leader returns the address of the leader of the own zone, which reads the store
// on behalf of the others: the first by name of the VMs heard lately. It reports
// false if this VM is the leader.
func (n *Node) Leader() (address string, other bool) {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	first := n.options.VM
	for vm, o := range n.members {
		if o.zone == n.options.Zone && now-o.lastHeard < leaderTimeout && o.lastHeard > 0 && vm < first {
			first, address, other = vm, o.address.String(), true
		}
	}
	return address, other
}

// IsLeader reports whether this VM is the leader of its zone.
func (n *Node) IsLeader() bool {
	_, other := n.Leader()
	return !other
}

// SilentZones returns the other zones with known VMs of which none was heard for
// longer than since: the zone is partitioned off, or all of its VMs are down.
func (n *Node) SilentZones(since time.Duration) map[string]bool {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool)
	for _, o := range n.members {
		if o.zone != "" && now-o.lastHeard > since {
			out[o.zone] = true
		}
	}
	for _, o := range n.members {
		if now-o.lastHeard <= since {
			delete(out, o.zone)
		}
	}
	delete(out, n.options.Zone)
	return out
}

// Scope selects the receivers of a message.
type Scope int

// Scopes of messages.
const (
	// OwnZone selects the VMs of the own zone, and those whose zone is not known
	// yet.
	OwnZone Scope = iota
	// OtherZones selects two VMs of each other zone.
	OtherZones
	// AllZones selects all VMs.
	AllZones
)

// targets returns the addresses to send the next message of a scope to.
func (n *Node) targets(scope Scope) []netip.AddrPort {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rounds[scope]++
	wake := n.rounds[scope]%probeEveryRounds == 0
	var out []netip.AddrPort
	zones := make(map[string][]string)
	for vm, o := range n.members {
		since := now - max(o.lastHeard, o.learnedAt)
		if since > memberTTL {
			delete(n.members, vm)
			continue
		}
		far := o.zone != n.options.Zone && o.zone != ""
		switch {
		case scope == OtherZones && far:
			if since < unheardAfter || wake {
				zones[o.zone] = append(zones[o.zone], vm)
			}
		case scope == OtherZones, scope == OwnZone && far:
		case since < unheardAfter || wake:
			out = append(out, o.address)
		}
	}
	for _, vms := range zones {
		slices.SortFunc(vms, func(a, b string) int {
			lately := func(vm string) bool { return now-n.members[vm].lastHeard < leaderTimeout }
			if x, y := lately(a), lately(b); x != y {
				if x {
					return -1
				}
				return 1
			}
			return strings.Compare(a, b)
		})
		for _, vm := range vms[:min(len(vms), receiversPerZone)] {
			out = append(out, n.members[vm].address)
		}
	}
	if scope != OtherZones && n.rounds[scope]%probeEveryRounds == 1 {
		for addr := range n.seeds {
			out = append(out, addr)
		}
	}
	return out
}

// zoneAddresses returns the addresses of the other VMs of the own zone that were
// heard lately.
func (n *Node) zoneAddresses() []netip.AddrPort {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []netip.AddrPort
	for _, o := range n.members {
		if o.zone == n.options.Zone && now-o.lastHeard < unheardAfter {
			out = append(out, o.address)
		}
	}
	return out
}

// RecentZoneMembers returns the other VMs of the own zone that were heard within
// the given duration, with the sequence numbers of their last messages.
func (n *Node) RecentZoneMembers(within time.Duration) []Member {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Member
	for vm, o := range n.members {
		if o.zone == n.options.Zone && o.lastHeard > 0 && now-o.lastHeard < within {
			out = append(out, Member{VM: vm, Address: o.address.String(), Epoch: o.epoch, Sequence: o.sequence})
		}
	}
	return out
}

// ZoneMemberCount returns the number of other VMs of the own zone that are known.
func (n *Node) ZoneMemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, o := range n.members {
		if o.zone == n.options.Zone {
			count++
		}
	}
	return count
}

// Broadcast sends a message to the other VMs of a scope. It fills in the sender
// and the sequence number.
func (n *Node) Broadcast(m *Message, scope Scope) error {
	m.VM, m.Zone, m.Address, m.Epoch = n.options.VM, n.options.Zone, n.options.Address, n.options.Epoch
	n.mu.Lock()
	n.sequence++
	m.Sequence = n.sequence
	n.mu.Unlock()
	raw, err := encode(m)
	if err != nil {
		return err
	}
	n.send(raw, n.targets(scope))
	return nil
}
