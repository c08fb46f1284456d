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
	// maxDatagram bounds a message in bytes; larger ones are cut by their sender.
	maxDatagram = 60 << 10
	// forget is after how long without word a VM is no longer told.
	forget = 20 * time.Second
	// wakeEvery is how often a VM that is not heard is told all the same, in
	// rounds, so that two sides of a healed cut find each other.
	wakeEvery = 5
	// leaderLife is how long without word a VM is still asked in place of the
	// store.
	leaderLife = time.Second
	// quiet is after how long without word a VM counts as not heard.
	quiet = 4 * time.Second
	// receivers is how many VMs of another zone are told of this one: with two,
	// the end of one loses nothing.
	receivers = 2
)

// member is another VM.
type member struct {
	address netip.AddrPort
	zone    string
	epoch   uint64
	number  uint64
	// heard is when its last message came; known when its address was learnt.
	heard time.Duration
	known time.Duration
}

// Options shape a Node.
type Options struct {
	VM      string
	Zone    string
	Address string
	Epoch   uint64
	Now     func() time.Duration
	// Handle takes in a message of another VM; fresh is set on the first one
	// of a process.
	Handle func(m *Message, fresh bool)
	// OnInvalid is told of datagrams that are no messages.
	OnInvalid func(from string, err error)
}

// Node sends to and hears from the other VMs over one UDP socket. It is safe
// for concurrent use.
type Node struct {
	options Options
	conn    *net.UDPConn
	done    sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	members map[string]*member
	// seeds are addresses without a name yet.
	seeds  map[netip.AddrPort]bool
	number uint64
	// rounds counts the messages of each scope.
	rounds [AllZones + 1]int
}

// NewNode binds the address and starts to listen.
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

// Close ends the node.
func (n *Node) Close() {
	_ = n.conn.Close()
	n.done.Wait()
}

func (n *Node) listen() {
	buf := make([]byte, maxDatagram)
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
		if fresh, take := n.hear(m); take {
			if m.Digest && m.Zone != n.options.Zone && from.String() == m.Address && n.IsLeader() {
				n.send(buf[:size], n.near())
			}
			n.options.Handle(m, fresh)
		}
	}
}

func (n *Node) send(raw []byte, to []netip.AddrPort) {
	for _, addr := range to {
		// A datagram that cannot be sent is as good as lost.
		_, _ = n.conn.WriteToUDPAddrPort(raw, addr)
	}
}

// hear notes a message's sender and drops messages that were overtaken.
func (n *Node) hear(m *Message) (fresh, take bool) {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		n.options.OnInvalid(m.Address, err)
		return false, false
	}
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh, take = n.note(m.VM, m.Zone, addr, m.Epoch, m.Sequence, now)
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
		if _, newer := n.note(x.VM, m.Zone, addr, x.Epoch, x.Sequence, now); newer {
			kept = append(kept, x)
		}
	}
	m.Members = kept
	return fresh, true
}

// note takes in that a VM was heard. It reports whether its process is new, and
// whether the message was not overtaken.
func (n *Node) note(vm, zone string, addr netip.AddrPort, epoch, number uint64, now time.Duration) (fresh, newer bool) {
	delete(n.seeds, addr)
	o := n.members[vm]
	if o == nil || o.epoch != epoch {
		if o != nil && o.epoch > epoch {
			return false, false
		}
		o = &member{epoch: epoch, known: now}
		n.members[vm] = o
		fresh = true
	} else if number <= o.number {
		return false, false
	}
	o.address, o.zone, o.number, o.heard = addr, zone, number, now
	return fresh, true
}

// AddMember adds a VM that is known from a list.
func (n *Node) AddMember(vm, address string) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil || vm == n.options.VM {
		return
	}
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if o := n.members[vm]; o == nil {
		n.members[vm] = &member{address: addr, known: now}
	} else if o.address != addr && now-o.heard > quiet {
		o.address = addr
	}
}

// AddSeed adds the address of a VM that is not known. All VMs hear at the same
// port, so that only its IP counts.
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

// MemberCount returns how many other VMs are known.
func (n *Node) MemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.members)
}

// Leader returns the VM of the own zone that asks the store for the others: the
// first by name of those heard lately. It reports false where this one is it.
func (n *Node) Leader() (address string, other bool) {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	first := n.options.VM
	for vm, o := range n.members {
		if o.zone == n.options.Zone && now-o.heard < leaderLife && o.heard > 0 && vm < first {
			first, address, other = vm, o.address.String(), true
		}
	}
	return address, other
}

// IsLeader reports whether this VM speaks for its zone.
func (n *Node) IsLeader() bool {
	_, other := n.Leader()
	return !other
}

// SilentZones returns the zones of which VMs are known and none was heard for a
// while: they are cut off, or their VMs are all down.
func (n *Node) SilentZones(since time.Duration) map[string]bool {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]bool)
	for _, o := range n.members {
		if o.zone != "" && now-o.heard > since {
			out[o.zone] = true
		}
	}
	for _, o := range n.members {
		if now-o.heard <= since {
			delete(out, o.zone)
		}
	}
	delete(out, n.options.Zone)
	return out
}

// Scope says whom a message is for.
type Scope int

// Scopes of messages.
const (
	// OwnZone are the VMs of the own zone, and those whose zone is not known yet.
	OwnZone Scope = iota
	// OtherZones are two VMs of each other zone.
	OtherZones
	// AllZones are all VMs.
	AllZones
)

// targets returns whom to tell this time.
func (n *Node) targets(scope Scope) []netip.AddrPort {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rounds[scope]++
	wake := n.rounds[scope]%wakeEvery == 0
	var out []netip.AddrPort
	zones := make(map[string][]string)
	for vm, o := range n.members {
		since := now - max(o.heard, o.known)
		if since > forget {
			delete(n.members, vm)
			continue
		}
		far := o.zone != n.options.Zone && o.zone != ""
		switch {
		case scope == OtherZones && far:
			if since < quiet || wake {
				zones[o.zone] = append(zones[o.zone], vm)
			}
		case scope == OtherZones, scope == OwnZone && far:
		case since < quiet || wake:
			out = append(out, o.address)
		}
	}
	for _, vms := range zones {
		slices.SortFunc(vms, func(a, b string) int {
			lately := func(vm string) bool { return now-n.members[vm].heard < leaderLife }
			if x, y := lately(a), lately(b); x != y {
				if x {
					return -1
				}
				return 1
			}
			return strings.Compare(a, b)
		})
		for _, vm := range vms[:min(len(vms), receivers)] {
			out = append(out, n.members[vm].address)
		}
	}
	if scope != OtherZones && n.rounds[scope]%wakeEvery == 1 {
		for addr := range n.seeds {
			out = append(out, addr)
		}
	}
	return out
}

// near returns the other VMs of the own zone that were heard lately.
func (n *Node) near() []netip.AddrPort {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []netip.AddrPort
	for _, o := range n.members {
		if o.zone == n.options.Zone && now-o.heard < quiet {
			out = append(out, o.address)
		}
	}
	return out
}

// RecentZoneMembers returns the other VMs of the own zone that were heard within a time, with
// the numbers of their last messages.
func (n *Node) RecentZoneMembers(within time.Duration) []Member {
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Member
	for vm, o := range n.members {
		if o.zone == n.options.Zone && o.heard > 0 && now-o.heard < within {
			out = append(out, Member{VM: vm, Address: o.address.String(), Epoch: o.epoch, Sequence: o.number})
		}
	}
	return out
}

// ZoneMemberCount returns how many other VMs of the own zone are known.
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

// Broadcast sends a message to the other VMs of a scope. Sender and number are
// filled in.
func (n *Node) Broadcast(m *Message, scope Scope) error {
	m.VM, m.Zone, m.Address, m.Epoch = n.options.VM, n.options.Zone, n.options.Address, n.options.Epoch
	n.mu.Lock()
	n.number++
	m.Sequence = n.number
	n.mu.Unlock()
	raw, err := encode(m)
	if err != nil {
		return err
	}
	n.send(raw, n.targets(scope))
	return nil
}
