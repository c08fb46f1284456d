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
	// maxDatagramBytes is the size of the receive buffer. Longer datagrams are
	// truncated, so senders must limit the contents of a message.
	maxDatagramBytes = 60 << 10
	// memberTTL is how long a VM remains a member after its last message, or after it
	// was added without one.
	memberTTL = 20 * time.Second
	// probeIntervalRounds is the interval, in messages of one scope, at which a message
	// also goes to VMs that are silent and to seeds, so that the two sides of a
	// partition find each other after it heals.
	probeIntervalRounds = 5
	// leaderTimeout is how long after its last message a VM may still be the leader of
	// its zone.
	leaderTimeout = time.Second
	// silentAfter is how long after its last message a VM counts as silent.
	silentAfter = 4 * time.Second
	// receiversPerZone is how many VMs of each other zone receive a message. With
	// two, the message still arrives if one of them has failed.
	receiversPerZone = 2
)

// member is another VM.
type member struct {
	address  netip.AddrPort
	zone     string
	epoch    uint64
	sequence uint64
	// lastHeard is when its last message arrived, zero if none has; learnedAt is when
	// the VM became known.
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
	// OnMessage is called with each accepted message of another VM. The argument fresh
	// is set for the first message of a process.
	OnMessage func(m *Message, fresh bool)
	// OnInvalid is called for datagrams that are not valid messages, with the address
	// of the sender.
	OnInvalid func(from string, err error)
	// MaxMembers bounds the number of other VMs that are known; zero means no bound.
	// OnMemberLimit is called for a VM that is not recorded because of it.
	MaxMembers    int
	OnMemberLimit func(vm string)
}

// Node exchanges messages with the other VMs over one UDP socket. It is safe for
// concurrent use.
type Node struct {
	options   Options
	conn      *net.UDPConn
	receiving sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	members map[string]*member
	// seeds holds addresses of VMs whose names are not known yet.
	seeds    map[netip.AddrPort]bool
	sequence uint64
	// rounds counts the messages sent in each scope.
	rounds [AllZones + 1]int
}

// NewNode binds the UDP address in o and starts to receive messages.
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
	n.receiving.Go(n.listen)
	return n, nil
}

// Close closes the socket and waits for the receiver to stop.
func (n *Node) Close() {
	_ = n.conn.Close()
	n.receiving.Wait()
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
		if fresh, accepted := n.receive(m); accepted {
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

// receive records the sender of a message. It rejects a message that is not newer
// than the last one of its sender, and removes the members of a digest for which the
// same holds.
func (n *Node) receive(m *Message) (fresh, accept bool) {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		n.options.OnInvalid(m.Address, err)
		return false, false
	}
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh, accept = n.recordMember(m.VM, m.Zone, addr, m.Epoch, m.Sequence, now)
	if !accept {
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
		if o == nil && !n.hasRoom(vm) {
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

// hasRoom reports whether another VM can be recorded: messages are not authenticated, and
// may name any number of VMs.
func (n *Node) hasRoom(vm string) bool {
	if n.options.MaxMembers <= 0 || len(n.members) < n.options.MaxMembers {
		return true
	}
	if n.options.OnMemberLimit != nil {
		n.options.OnMemberLimit(vm)
	}
	return false
}

// AddMember adds a VM whose name and address are known from the list of VMs. An
// address that was learned from recent messages takes precedence.
func (n *Node) AddMember(vm, address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || vm == n.options.VM {
		return
	}
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.members[vm]; o == nil {
		if !n.hasRoom(vm) {
			return
		}
		n.members[vm] = &member{address: addr, learnedAt: now}
	} else if o.address != addr && now-o.lastHeard > silentAfter {
		o.address = addr
	}
}

// AddSeed adds the address of a VM whose name is not known. Only the IP address is
// used, with this node's port: all VMs listen on the same port.
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

// Leader returns the address of the leader of this VM's zone, which reads the store
// on behalf of the others. The leader is the first by name among this VM and those
// heard within leaderTimeout. If it is this VM, other is false.
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

// SilentZones returns the other zones that have members, none of which was heard
// within the given duration: such a zone is cut off by a partition, or all of its
// VMs are down.
func (n *Node) SilentZones(within time.Duration) map[string]bool {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool)
	for _, o := range n.members {
		if o.zone != "" && now-o.lastHeard > within {
			out[o.zone] = true
		}
	}
	for _, o := range n.members {
		if now-o.lastHeard <= within {
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
	// OwnZone selects the VMs of the sender's zone, and those whose zone is not known
	// yet.
	OwnZone Scope = iota
	// OtherZones selects receiversPerZone VMs of each other zone.
	OtherZones
	// AllZones selects all VMs.
	AllZones
)

// targets returns the addresses to send the next message of a scope to. It drops
// members past memberTTL.
func (n *Node) targets(scope Scope) []netip.AddrPort {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rounds[scope]++
	probe := n.rounds[scope]%probeIntervalRounds == 0
	var out []netip.AddrPort
	vmsByZone := make(map[string][]string)
	for vm, o := range n.members {
		silentFor := now - max(o.lastHeard, o.learnedAt)
		if silentFor > memberTTL {
			delete(n.members, vm)
			continue
		}
		inOtherZone := o.zone != n.options.Zone && o.zone != ""
		switch {
		case scope == OtherZones && inOtherZone:
			if silentFor < silentAfter || probe {
				vmsByZone[o.zone] = append(vmsByZone[o.zone], vm)
			}
		case scope == OtherZones, scope == OwnZone && inOtherZone:
		case silentFor < silentAfter || probe:
			out = append(out, o.address)
		}
	}
	for _, vms := range vmsByZone {
		slices.SortFunc(vms, func(a, b string) int {
			recent := func(vm string) bool { return now-n.members[vm].lastHeard < leaderTimeout }
			if x, y := recent(a), recent(b); x != y {
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
	if scope != OtherZones && n.rounds[scope]%probeIntervalRounds == 1 {
		for addr := range n.seeds {
			out = append(out, addr)
		}
	}
	return out
}

// zoneAddresses returns the addresses of the other VMs of this VM's zone that are
// not silent.
func (n *Node) zoneAddresses() []netip.AddrPort {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []netip.AddrPort
	for _, o := range n.members {
		if o.zone == n.options.Zone && now-o.lastHeard < silentAfter {
			out = append(out, o.address)
		}
	}
	return out
}

// RecentZoneMembers returns the other VMs of this VM's zone that were heard within
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

// RecentVMs returns the names of this VM and of those heard within the given duration.
func (n *Node) RecentVMs(within time.Duration) []string {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []string{n.options.VM}
	for vm, o := range n.members {
		if o.lastHeard > 0 && now-o.lastHeard < within {
			out = append(out, vm)
		}
	}
	return out
}

// ZoneMemberCount returns the number of other VMs of this VM's zone that are known.
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

// SendTo sends a message to the VM at an address. It fills in the sender and the sequence
// number of m.
func (n *Node) SendTo(m *Message, address string) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("gossip: address of a VM: %w", err)
	}
	raw, err := n.stamp(m)
	if err != nil {
		return err
	}
	n.send(raw, []netip.AddrPort{to})
	return nil
}

// stamp fills in the sender and the sequence number of m, and encodes it.
func (n *Node) stamp(m *Message) ([]byte, error) {
	m.VM, m.Zone, m.Address, m.Epoch = n.options.VM, n.options.Zone, n.options.Address, n.options.Epoch
	n.mu.Lock()
	n.sequence++
	m.Sequence = n.sequence
	n.mu.Unlock()
	return encode(m)
}

// Broadcast sends a message to the VMs that scope selects. It fills in the sender
// and the sequence number of m.
func (n *Node) Broadcast(m *Message, scope Scope) error {
	raw, err := n.stamp(m)
	if err != nil {
		return err
	}
	n.send(raw, n.targets(scope))
	return nil
}
