package router

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/team"
)

var (
	errNotHolder         = errors.New("router: not the holder")
	errUnexpectedMessage = errors.New("router: not a request")
	errUnknownTeam       = errors.New("router: no such team")
)

// handlePeer handles a message from a peer.
func (r *Router) handlePeer(ctx context.Context, m peer.Message) (peer.Message, error) {
	switch m := m.(type) {
	case *peer.Hello:
		r.recordPeerSlots(m)
		if m.Generation > r.configTracker.Current().Generation() {
			r.pullFromSender(m)
		}
		return r.hello(), nil
	case *peer.LoanRequest:
		return r.handleLoanRequest(ctx, m)
	case *peer.Reports:
		return r.handleReports(m), nil
	case *peer.ChangesRequest:
		return r.changesSince(m.Generation)
	case *peer.SnapshotRequest:
		return r.snapshot()
	case *peer.MembersRequest:
		return r.members()
	default:
		return nil, errUnexpectedMessage
	}
}

// pullFromSender starts a pull of newer generations from the sender of m.
func (r *Router) pullFromSender(m *peer.Hello) {
	if vm, ok := r.view.Find(m.VM); ok {
		go r.follower.pullChanges(vm.PeerAddress)
	}
}

func (r *Router) changesSince(generation uint64) (peer.Message, error) {
	changes, whole := r.configTracker.ChangesSince(generation)
	reply := &peer.Changes{Complete: whole}
	for _, change := range changes {
		raw, err := json.Marshal(change)
		if err != nil {
			return nil, fmt.Errorf("router: encode change: %w", err)
		}
		reply.List = append(reply.List, raw)
	}
	return reply, nil
}

func (r *Router) snapshot() (peer.Message, error) {
	raw, err := json.Marshal(r.configTracker.Current().Snapshot())
	if err != nil {
		return nil, fmt.Errorf("router: encode snapshot: %w", err)
	}
	return &peer.Snapshot{Data: raw}, nil
}

func (r *Router) members() (peer.Message, error) {
	raw, err := json.Marshal(r.view.List())
	if err != nil {
		return nil, fmt.Errorf("router: encode list: %w", err)
	}
	return &peer.Members{Data: raw}, nil
}

// zoneLimits returns this zone's share of a team's rate and burst.
func (r *Router) zoneLimits(name string) (team.Limits, bool) {
	c := r.configTracker.Current()
	t, ok := c.Teams().Get(name)
	if !ok {
		return team.Limits{}, false
	}
	share := c.ZoneShare(t, r.settings.Zone)
	return team.Limits{Rate: t.Rate * share, Cap: t.Burst * share}, share > 0
}

// handleLoanRequest lends if this VM is the holder. Otherwise it forwards the
// request to the holder, if the request may still be forwarded.
func (r *Router) handleLoanRequest(ctx context.Context, m *peer.LoanRequest) (peer.Message, error) {
	limits, ok := r.zoneLimits(m.Team)
	if !ok {
		return nil, errUnknownTeam
	}
	grant, held := r.ledger.Lend(r.clock.Now(), m.Team, limits, team.LoanID(m.ID), m.Want)
	if held {
		return &peer.LoanGrant{Tokens: grant.Tokens, Rate: grant.Rate, Level: grant.Level}, nil
	}
	address, err := r.holderOf(m.Team)
	if err != nil || !m.Forward {
		return nil, errNotHolder
	}
	return peer.Call[*peer.LoanGrant](ctx, r.node, address, &peer.LoanRequest{Team: m.Team, ID: m.ID, Want: m.Want})
}

// holderOf returns the address of the local zone's holder of a team's slot.
func (r *Router) holderOf(name string) (string, error) {
	holder, ok := r.slots.Holder(team.SlotOf(name), r.clock.Now())
	if !ok || holder == r.settings.VM {
		return "", errNotHolder
	}
	vm, ok := r.view.Find(holder)
	if !ok {
		return "", errNotHolder
	}
	return vm.PeerAddress, nil
}

// handleReports records the reports that this VM is the holder for, and
// forwards the others if they may still be forwarded.
func (r *Router) handleReports(m *peer.Reports) peer.Message {
	for _, report := range m.List {
		r.recordReport(team.Report{
			ID: team.LoanID(report.ID), Team: report.Team, Kind: team.ReportKind(report.Kind), Used: report.Used,
		}, m.Forward)
	}
	return r.hello()
}

func (r *Router) recordReport(report team.Report, forward bool) {
	limits, ok := r.zoneLimits(report.Team)
	if !ok || r.ledger.Report(r.clock.Now(), limits, report) || !forward {
		return
	}
	if address, err := r.holderOf(report.Team); err == nil {
		r.reports.add(destination{address: address}, report)
	}
}

// lender implements team.Lender with this VM's ledger and requests to peers.
type lender struct{ r *Router }

// lendTimeout bounds one loan request, and the sending of one batch of reports.
const lendTimeout = 250 * time.Millisecond

// Zones implements team.Lender.
func (l lender) Zones(name string) []string {
	c := l.r.configTracker.Current()
	t, _ := c.Teams().Get(name)
	var zones []string
	for _, zone := range c.QuotaZones(t) {
		if zone.Name == l.r.settings.Zone {
			zones = append([]string{zone.Name}, zones...)
			continue
		}
		zones = append(zones, zone.Name)
	}
	return zones
}

// Lend implements team.Lender.
func (l lender) Lend(ctx context.Context, zone, name string, id team.LoanID, want float64) (team.Grant, error) {
	if grant, held := l.lendLocally(zone, name, id, want); held {
		return grant, nil
	}
	to, err := l.r.loanDestination(zone, name)
	if err != nil {
		l.r.slotRowsStale.Store(true)
		return team.Grant{}, err
	}
	target := l.lendTarget(zone, name, to)
	if l.r.unreachable.contains(target, l.r.clock.Now()) {
		return team.Grant{}, errNotHolder
	}
	grant, err := l.requestLoan(ctx, to, name, id, want)
	if err != nil {
		l.r.unreachable.add(target, l.r.clock.Now())
		l.r.slotRowsStale.Store(true)
		event.LoanFailed.Log(l.r.log, err, log.Fields{"zone": zone, "team": name})
	}
	return grant, err
}

// lendLocally lends from this VM's ledger. It reports whether this VM holds the
// slot.
func (l lender) lendLocally(zone, name string, id team.LoanID, want float64) (team.Grant, bool) {
	if zone != l.r.settings.Zone {
		return team.Grant{}, false
	}
	limits, ok := l.r.zoneLimits(name)
	if !ok {
		return team.Grant{}, false
	}
	return l.r.ledger.Lend(l.r.clock.Now(), name, limits, id, want)
}

// lendTarget returns the target to mark as unreachable if a loan fails. In the
// local zone it is one VM, so that a new holder can be asked at once; in
// another zone it is the slot as a whole.
func (l lender) lendTarget(zone, name string, to destination) peerTarget {
	t := peerTarget{zone: zone, slot: team.SlotOf(name)}
	if !to.forward {
		t.vm = to.address
	}
	return t
}

func (l lender) requestLoan(ctx context.Context, to destination, name string, id team.LoanID, want float64) (team.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	reply, err := peer.Call[*peer.LoanGrant](ctx, l.r.node, to.address, &peer.LoanRequest{Team: name, ID: string(id), Want: want, Forward: to.forward})
	if err != nil {
		return team.Grant{}, fmt.Errorf("router: lend: %w", err)
	}
	return team.Grant{Tokens: reply.Tokens, Rate: reply.Rate, Level: reply.Level}, nil
}

// loanDestination returns where to send messages about a team's bucket in a
// zone: to the holder in the local zone, and to any router of another zone,
// which forwards them.
func (r *Router) loanDestination(zone, name string) (destination, error) {
	if zone == r.settings.Zone {
		address, err := r.holderOf(name)
		return destination{address: address}, err
	}
	routers := r.view.Routers(zone)
	if len(routers) == 0 {
		return destination{}, errNotHolder
	}
	turn := r.unreachable.routerIndex(zone, len(routers))
	return destination{address: routers[turn].PeerAddress, forward: true}, nil
}

// Report implements team.Lender.
func (l lender) Report(zone string, report team.Report) {
	if zone == l.r.settings.Zone {
		if limits, ok := l.r.zoneLimits(report.Team); ok && l.r.ledger.Report(l.r.clock.Now(), limits, report) {
			return
		}
	}
	if to, err := l.r.loanDestination(zone, report.Team); err == nil {
		l.r.reports.add(to, report)
	}
}
