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
	errNotHolder = errors.New("router: not the holder")
	errRequest   = errors.New("router: not a request")
	errNoTeam    = errors.New("router: no such team")
)

// handlePeer answers a peer's request.
func (r *Router) handlePeer(ctx context.Context, m peer.Message) (peer.Message, error) {
	switch m := m.(type) {
	case *peer.Hello:
		r.hear(m)
		if m.Generation > r.configTracker.Current().Generation() {
			r.hearOf(m)
		}
		return r.hello(), nil
	case *peer.LoanRequest:
		return r.lendTo(ctx, m)
	case *peer.Reports:
		return r.takeReports(m), nil
	case *peer.ChangesRequest:
		return r.changesSince(m.Generation)
	case *peer.SnapshotRequest:
		return r.snapshot()
	case *peer.MembersRequest:
		return r.roll()
	default:
		return nil, errRequest
	}
}

// hearOf follows up a peer's word of a newer generation.
func (r *Router) hearOf(m *peer.Hello) {
	if vm, ok := r.view.Find(m.VM); ok {
		go r.follower.fromPeer(vm.PeerAddress)
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

func (r *Router) roll() (peer.Message, error) {
	raw, err := json.Marshal(r.view.List())
	if err != nil {
		return nil, fmt.Errorf("router: encode list: %w", err)
	}
	return &peer.Members{Data: raw}, nil
}

// limits returns this zone's part of a team's rate and burst.
func (r *Router) limits(name string) (team.Limits, bool) {
	c := r.configTracker.Current()
	t, ok := c.Teams().Get(name)
	if !ok {
		return team.Limits{}, false
	}
	part := c.ZoneShare(t, r.settings.Zone)
	return team.Limits{Rate: t.Rate * part, Cap: t.Burst * part}, part > 0
}

// lendTo lends as the holder, or passes the request on to the holder once.
func (r *Router) lendTo(ctx context.Context, m *peer.LoanRequest) (peer.Message, error) {
	limits, ok := r.limits(m.Team)
	if !ok {
		return nil, errNoTeam
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

// holderOf returns the address of the zone's holder for a team.
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

// takeReports books reports as the holder and passes the others on once.
func (r *Router) takeReports(m *peer.Reports) peer.Message {
	for _, report := range m.List {
		r.takeReport(team.Report{
			ID: team.LoanID(report.ID), Team: report.Team, Kind: team.ReportKind(report.Kind), Used: report.Used,
		}, m.Forward)
	}
	return r.hello()
}

func (r *Router) takeReport(report team.Report, forward bool) {
	limits, ok := r.limits(report.Team)
	if !ok || r.ledger.Report(r.clock.Now(), limits, report) || !forward {
		return
	}
	if address, err := r.holderOf(report.Team); err == nil {
		r.reports.add(destination{address: address}, report)
	}
}

// lender reaches holders for the collector.
type lender struct{ r *Router }

// lendTimeout bounds the asking of one zone.
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
	if grant, held := l.own(zone, name, id, want); held {
		return grant, nil
	}
	to, err := l.r.route(zone, name)
	if err != nil {
		l.r.slotDoubt.Store(true)
		return team.Grant{}, err
	}
	target := l.target(zone, name, to)
	if l.r.unreach.recently(target, l.r.clock.Now()) {
		return team.Grant{}, errNotHolder
	}
	grant, err := l.ask(ctx, to, name, id, want)
	if err != nil {
		l.r.unreach.mark(target, l.r.clock.Now())
		l.r.slotDoubt.Store(true)
		event.LoanFailed.Log(l.r.log, err, log.Fields{"zone": zone, "team": name})
	}
	return grant, err
}

// own lends from this VM's bucket, if it holds the slot.
func (l lender) own(zone, name string, id team.LoanID, want float64) (team.Grant, bool) {
	if zone != l.r.settings.Zone {
		return team.Grant{}, false
	}
	limits, ok := l.r.limits(name)
	if !ok {
		return team.Grant{}, false
	}
	return l.r.ledger.Lend(l.r.clock.Now(), name, limits, id, want)
}

// target is what a failure to lend is remembered for: one VM in the own zone,
// whose successor may be asked at once, and the whole of another zone's slot.
func (l lender) target(zone, name string, to destination) target {
	t := target{zone: zone, slot: team.SlotOf(name)}
	if !to.forward {
		t.vm = to.address
	}
	return t
}

func (l lender) ask(ctx context.Context, to destination, name string, id team.LoanID, want float64) (team.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	reply, err := peer.Call[*peer.LoanGrant](ctx, l.r.node, to.address, &peer.LoanRequest{Team: name, ID: string(id), Want: want, Forward: to.forward})
	if err != nil {
		return team.Grant{}, fmt.Errorf("router: lend: %w", err)
	}
	return team.Grant{Tokens: reply.Tokens, Rate: reply.Rate, Level: reply.Level}, nil
}

// route returns whom to ask for a team's bucket in a zone: the holder in the
// own zone, any router of another, which passes the request on.
func (r *Router) route(zone, name string) (destination, error) {
	if zone == r.settings.Zone {
		address, err := r.holderOf(name)
		return destination{address: address}, err
	}
	routers := r.view.Routers(zone)
	if len(routers) == 0 {
		return destination{}, errNotHolder
	}
	turn := r.unreach.turn(zone, len(routers))
	return destination{address: routers[turn].PeerAddress, forward: true}, nil
}

// Report implements team.Lender.
func (l lender) Report(zone string, report team.Report) {
	if zone == l.r.settings.Zone {
		if limits, ok := l.r.limits(report.Team); ok && l.r.ledger.Report(l.r.clock.Now(), limits, report) {
			return
		}
	}
	if to, err := l.r.route(zone, report.Team); err == nil {
		l.r.reports.add(to, report)
	}
}
