package gateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
)

const (
	// rolloutStepPeriod is the period of decisions on rollouts. The last ones fall within
	// some 200 ms before the deadline.
	rolloutStepPeriod = 100 * time.Millisecond
	// orderDelay is how much earlier than its owner learned of it an order may have been
	// given.
	orderDelay = 200 * time.Millisecond
	// rolloutRecordPeriod is the time between two writes of the record of a rollout whose
	// state does not change.
	rolloutRecordPeriod = time.Second
	// recordTolerance is how long the record may be older than rolloutRecordPeriod says.
	recordTolerance = 2 * time.Second
	// takeoverWait is how long a new owner waits for the counts of all VMs.
	takeoverWait = 2 * time.Second
	// knownVMAge is how long after its last message a VM still counts as one whose calls
	// are unknown.
	knownVMAge = 20 * time.Second
	// doneNotice is the time between telling the VMs and telling the platform that a rollout
	// is done: the platform then stops the old servers. It is cut short so that reportMargin
	// is left until the deadline, unless some VM may still send calls to the old servers.
	doneNotice   = 400 * time.Millisecond
	reportMargin = 150 * time.Millisecond
	// grantPeriod is the time between two messages with grants from an owner that does not
	// lead its zone.
	grantPeriod = 300 * time.Millisecond
	// finalGrantTime is how long the VMs are told of a final state.
	finalGrantTime = 5 * time.Second
	// overtime is how long after its deadline a rollout that has not ended is rolled back.
	overtime = 5 * time.Second
)

// rolloutController decides on one rollout. It is a rollout.Controller except in tests.
type rolloutController interface {
	Step(v rollout.View) rollout.Decision
}

// ownedRollout is a rollout that this VM decides on.
type ownedRollout struct {
	order      rollout.Order
	fence      int64
	controller rolloutController
	record     rolloutRecord
	// version is that of the record in the store, writtenAt when it was written.
	version   int64
	writtenAt time.Duration
	// startedAt is when the order was given, takenAt when this VM took the rollout over.
	startedAt time.Duration
	takenAt   time.Duration
	sequence  int64
	share     float64
	// shownShare is the share that was logged last.
	shownShare float64
	// last, probe and probeEnd are those of the decision.
	last, probe, probeEnd time.Duration
	reason                string
	total                 rollout.Evidence
	// reportedState is the state that the platform was told last.
	reportedState rollout.State
	endedAt       time.Duration
	// fullSince is since when all calls go to the new version, 0 if they do not.
	fullSince time.Duration
}

// stop gives the new version nothing.
func (o *ownedRollout) stop() { o.share, o.last, o.probe, o.probeEnd = 0, 0, 0, 0 }

// rolloutOwner decides on the rollouts while its VM holds the lease for engine orders.
type rolloutOwner struct {
	g             *Gateway
	newController func() rolloutController

	// owned is used by the step only.
	owned map[string]*ownedRollout
	// changed is set once a grant differs so much from the one before that the VMs must know
	// of it at once. sentAt is when grants were last sent to all of them. Only the step uses
	// them.
	changed bool
	sentAt  time.Duration

	mu sync.Mutex // guards the field below
	// grants holds the grants to send, by service.
	grants map[string]gossip.Grant
}

func newRolloutOwner(g *Gateway) *rolloutOwner {
	return &rolloutOwner{
		g: g, newController: func() rolloutController { return rollout.NewController() },
		owned: make(map[string]*ownedRollout), grants: make(map[string]gossip.Grant),
	}
}

// activeGrants returns the grants that messages carry.
func (w *rolloutOwner) activeGrants() []gossip.Grant {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]gossip.Grant, 0, len(w.grants))
	for _, x := range w.grants {
		out = append(out, x)
	}
	return out
}

// drop gives up the rollouts of this VM.
func (w *rolloutOwner) drop() {
	clear(w.owned)
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.grants)
}

// unended is a rollout that needs an owner.
type unended struct {
	order     rollout.Order
	orderedAt time.Duration
	withdrawn bool
	old       []string
	banned    []string
}

// unended returns the rollouts that have not ended, or of whose end the platform may not
// know.
func (r *rollouts) unended() []unended {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []unended
	for _, s := range r.services {
		if s.order.Revision == 0 || s.state != rollout.Running && s.reported {
			continue
		}
		x := unended{order: s.order, orderedAt: s.orderedAt, withdrawn: s.withdrawn}
		for release, known := range s.releases {
			switch {
			case release == s.order.To:
			case known.class == releaseAccepted:
				x.old = append(x.old, release)
			case known.class == releaseBanned:
				x.banned = append(x.banned, release)
			}
		}
		slices.Sort(x.old)
		slices.Sort(x.banned)
		out = append(out, x)
	}
	return out
}

// stepRollouts reads the records that this VM misses, decides on the rollouts if this VM
// is their owner, and moves streams to servers of new versions.
func (g *Gateway) stepRollouts(ctx context.Context) {
	for _, service := range g.rollouts.recordsToRead(g.now()) {
		_, rec, err := g.readRollout(ctx, service)
		if err != nil {
			event.RolloutStoreFailed.Log(g.log, err, log.Fields{"service": service})
			continue
		}
		if g.rollouts.applyRecord(service, rec) {
			g.logRolloutEnd(service, rec.State, rec.To, "recorded")
		}
	}
	g.rolloutOwner.step(ctx)
	g.showRollouts()
	g.moveReplacedStreams()
}

// step decides on the rollouts if this VM holds the lease and reads from the store. It
// acquires the lease only while a rollout needs an owner.
func (w *rolloutOwner) step(ctx context.Context) {
	g := w.g
	w.expireGrants()
	list := slices.DeleteFunc(g.rollouts.unended(), func(x unended) bool { return !g.rolloutPossible(x) })
	if len(list) == 0 {
		return
	}
	if !g.declarations.ReadsFromStore() {
		w.drop()
		return
	}
	if _, err := g.orderLease.AcquireOrRenew(ctx); err != nil {
		event.OrderLeaseFailed.Log(g.log, err, nil)
	}
	fence, held := g.orderLease.Held()
	if !held {
		w.drop()
		return
	}
	for _, x := range list {
		if err := w.stepRollout(ctx, x, fence); err != nil {
			event.RolloutStoreFailed.Log(g.log, err, log.Fields{"service": x.order.Service})
		}
	}
	// Periodic messages carry the grants, to all VMs only if this VM leads its zone.
	if now := g.now(); w.changed || !g.node.IsLeader() && now-w.sentAt >= grantPeriod {
		w.sentAt, w.changed = now, false
		g.sendGrants()
	}
}

// rolloutPossible reports whether the service of an order exists. It logs once if not.
func (g *Gateway) rolloutPossible(x unended) bool {
	c := g.catalog.Current()
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	s := g.rollouts.service(x.order.Service)
	if c == nil || !g.rollouts.listComplete {
		return false
	}
	if c.Service(x.order.Service) != nil || len(s.releases) > 0 {
		return true
	}
	if !s.unknownLogged {
		s.unknownLogged = true
		event.RolloutInvalid.Log(g.log, nil, log.Fields{"service": x.order.Service, "to": x.order.To, "revision": x.order.Revision})
	}
	return false
}

// stepRollout decides on one rollout.
func (w *rolloutOwner) stepRollout(ctx context.Context, x unended, fence int64) error {
	o := w.owned[x.order.Service]
	if o == nil || o.order.Revision != x.order.Revision || o.fence != fence {
		delete(w.owned, x.order.Service)
		var err error
		if o, err = w.take(ctx, x, fence); o == nil || err != nil {
			return err
		}
		w.owned[x.order.Service] = o
	}
	if o.version == versionUnknown {
		if err := w.refresh(ctx, o); err != nil || w.owned[x.order.Service] == nil {
			return err
		}
	}
	if o.record.State == rollout.Running {
		if err := w.decide(ctx, x, o); err != nil {
			return w.storeFailed(o, err)
		}
		if o.record.State != rollout.Running {
			// The VMs must know before the platform does.
			w.grant(o)
			w.g.sendGrants()
		}
	}
	if o.record.State != rollout.Running {
		if err := w.end(ctx, o); err != nil {
			return w.storeFailed(o, err)
		}
	}
	w.grant(o)
	return nil
}

// versionUnknown is the version of a record that may have been written by a call whose
// response was lost.
const versionUnknown = -1

// storeFailed handles a failed call to the store. A version whose exposures have not been
// recorded for recordTolerance gets no calls.
func (w *rolloutOwner) storeFailed(o *ownedRollout, err error) error {
	if errors.Is(err, lease.ErrConflict) {
		o.version = versionUnknown
	}
	if w.g.now()-o.writtenAt > recordTolerance {
		o.stop()
	}
	w.grant(o)
	return err
}

// refresh reads the record again after a write of it failed. It gives the rollout up if
// another VM has written the record.
func (w *rolloutOwner) refresh(ctx context.Context, o *ownedRollout) error {
	raw, rec, err := w.g.readRollout(ctx, o.order.Service)
	switch {
	case err != nil:
		return w.storeFailed(o, err)
	case rec.Revision != o.order.Revision || rec.Fence != o.fence:
		delete(w.owned, o.order.Service)
		return nil
	}
	o.version, o.record.State, o.record.Reported = raw.Version, rec.State, rec.Reported
	return nil
}

// take reads the record of a rollout, and creates it if the order is new. It returns nil
// if a newer order has been recorded.
func (w *rolloutOwner) take(ctx context.Context, x unended, fence int64) (*ownedRollout, error) {
	g := w.g
	raw, rec, err := g.readRollout(ctx, x.order.Service)
	if err != nil || rec.Revision > x.order.Revision {
		return nil, err
	}
	if isWrittenAgain(rec.Revision, rec.To, x.order) {
		// The next step has the order with the revision of the record.
		g.rollouts.applyRecord(x.order.Service, rec)
		return nil, nil
	}
	now := g.now()
	o := &ownedRollout{order: x.order, fence: fence, controller: w.newController(), version: raw.Version, takenAt: now}
	if rec.Revision < x.order.Revision {
		old, banned := rec.outcome()
		if old == nil {
			old, banned = x.old, x.banned
		} else {
			banned = append(banned, x.banned...)
			for _, release := range x.old {
				if !slices.Contains(old, release) && !slices.Contains(banned, release) {
					old = append(old, release)
				}
			}
		}
		isTarget := func(release string) bool { return release == x.order.To }
		rec = rolloutRecord{
			Revision: x.order.Revision, To: x.order.To, State: rollout.Running, Start: (raw.Now - (now - x.orderedAt) - orderDelay).Milliseconds(),
			Old: compact(slices.DeleteFunc(old, isTarget)), Banned: compact(slices.DeleteFunc(banned, isTarget)),
		}
	}
	o.record = rec
	o.record.Fence = fence
	o.startedAt = now - (raw.Now - time.Duration(rec.Start)*time.Millisecond)
	if rec.State == rollout.Running {
		if err := w.write(ctx, o); err != nil {
			return nil, err
		}
		if err := w.report(ctx, o, rollout.Running); err != nil {
			return nil, err
		}
	}
	return o, nil
}

func compact(releases []string) []string {
	slices.Sort(releases)
	return slices.Compact(releases)
}

func (w *rolloutOwner) write(ctx context.Context, o *ownedRollout) error {
	written, err := w.g.writeRollout(ctx, o.order.Service, o.record, o.version)
	if err != nil {
		return err
	}
	o.version, o.writtenAt = written.Version, w.g.now()
	return nil
}

// report tells the platform a state.
func (w *rolloutOwner) report(ctx context.Context, o *ownedRollout, state rollout.State) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutStoreTimeout)
	defer cancel()
	if err := w.g.adapter.Store().ReportRollout(ctx, o.order.Service, state, o.order.To); err != nil {
		return err
	}
	o.reportedState = state
	return nil
}

// decide makes one decision on a running rollout, and records it. A final state is granted
// only after it has been recorded.
func (w *rolloutOwner) decide(ctx context.Context, x unended, o *ownedRollout) error {
	g := w.g
	v := g.viewRollout(o)
	d := o.controller.Step(v)
	switch elapsed := v.Elapsed; {
	case x.withdrawn:
		d = rollout.Decision{State: rollout.RolledBack, Reason: "order withdrawn"}
	case v.OldServers == 0 && v.NewServers > 0 && len(o.record.Old) == 0:
		d = rollout.Decision{State: rollout.Done, Share: 1, Reason: "all servers run the version"}
	case d.State == rollout.Running && elapsed > o.order.Duration+overtime:
		d = rollout.Decision{State: rollout.RolledBack, Reason: "deadline passed"}
	}
	requests, exposures := sums(v.Total)
	o.record.Requests, o.record.Exposures = max(o.record.Requests, requests), max(o.record.Exposures, exposures)
	o.total, o.reason = v.Total, d.Reason
	if d.State == rollout.RolledBack && o.share > 0 {
		// The record must not delay the return of the calls.
		o.stop()
		w.grant(o)
		g.sendGrants()
	}
	if d.State != rollout.Running || g.now()-o.writtenAt >= rolloutRecordPeriod {
		rec := o.record
		o.record.State = d.State
		if err := w.write(ctx, o); err != nil {
			o.record.State = rec.State
			return err
		}
	}
	if sharesDiffer(d.Share, o.shownShare) {
		o.shownShare = d.Share
		event.RolloutShareChanged.Log(g.log, nil, log.Fields{
			"service": o.order.Service, "to": o.order.To, "share": d.Share, "reason": d.Reason, "requests": requests, "exposures": exposures,
		})
	}
	o.share, o.last, o.probe, o.probeEnd = d.Share, d.Last, d.Probe, d.ProbeEnd
	switch {
	case d.Share < 1:
		o.fullSince = 0
	case o.fullSince == 0:
		o.fullSince = g.now()
	}
	if d.State == rollout.RolledBack {
		o.stop()
		g.logJudgement(o)
	}
	return nil
}

// sharesDiffer reports whether a share has changed enough to be logged and to be sent to
// all VMs at once. With 390 VMs such a message costs 45 KB.
func sharesDiffer(a, b float64) bool {
	return (a == 0) != (b == 0) || (a == 1) != (b == 1) || a > 2*b || b > 2*a
}

// logJudgement logs why a rollout was rolled back, with the counts.
func (g *Gateway) logJudgement(o *ownedRollout) {
	old, updated := sides(o.total)
	event.RolloutJudgedBad.Log(g.log, nil, log.Fields{
		"service": o.order.Service, "to": o.order.To, "reason": o.reason,
		"oldsent": old.Sent, "oldanswered": old.Answered, "oldfailed": old.Failed, "oldlatency": old.Latency,
		"newsent": updated.Sent, "newanswered": updated.Answered, "newfailed": updated.Failed, "newlatency": updated.Latency,
	})
}

// oldCalls returns the number of calls of all VMs on servers of other releases.
func (g *Gateway) oldCalls(o *ownedRollout, now time.Duration) int {
	return g.table.CallsOn(o.order.Service, func(s backend.Server) bool { return s.Release != o.order.To }, now)
}

// end tells the platform of a final state that has been recorded. It tells of a rollout
// that is done only after the VMs have had time to learn of it and, if the deadline
// allows, the calls on old servers have ended.
func (w *rolloutOwner) end(ctx context.Context, o *ownedRollout) error {
	now := w.g.now()
	if o.endedAt == 0 {
		o.endedAt = now
	}
	if o.record.State == rollout.Done {
		o.share = 1
	}
	deadline := o.startedAt + o.order.Duration - reportMargin
	if o.record.Reported {
		return nil
	}
	allNewSince := o.endedAt
	if o.fullSince != 0 {
		allNewSince = min(allNewSince, o.fullSince)
	}
	inTime := now < deadline && (now < o.endedAt+doneNotice || w.g.oldCalls(o, now) > 0)
	if o.record.State == rollout.Done && (inTime || now < allNewSince+doneNotice) {
		return nil
	}
	if o.reportedState != o.record.State {
		if err := w.report(ctx, o, o.record.State); err != nil {
			return err
		}
	}
	rec := o.record
	o.record.Reported = true
	if err := w.write(ctx, o); err != nil {
		o.record = rec
		return err
	}
	return nil
}

// grant renews the grant of a rollout, for this VM and for the next messages.
func (w *rolloutOwner) grant(o *ownedRollout) {
	g := w.g
	o.sequence++
	x := gossip.Grant{
		Service: o.order.Service, To: o.order.To, Revision: o.order.Revision, Fence: o.fence, Sequence: o.sequence,
		State: string(o.record.State), Share: o.share, Reported: o.record.Reported,
		LeftMillis: (o.order.Duration - (g.now() - o.startedAt)).Milliseconds(), LastMillis: o.last.Milliseconds(),
		ProbeMillis: o.probe.Milliseconds(), ProbeEndMillis: o.probeEnd.Milliseconds(), Old: o.record.Old, Banned: o.record.Banned,
	}
	w.mu.Lock()
	last := w.grants[o.order.Service]
	w.changed = w.changed || last.Revision != x.Revision || last.State != x.State || sharesDiffer(last.Share, x.Share) ||
		(last.LastMillis > 0) != (x.LastMillis > 0) || (last.ProbeMillis > 0) != (x.ProbeMillis > 0)
	w.grants[o.order.Service] = x
	w.mu.Unlock()
	g.applyGrant(x, g.settings.PeerAddress, o.reason)
}

// expireGrants drops the rollouts that ended some time ago, and those whose orders are no
// longer in force.
func (w *rolloutOwner) expireGrants() {
	now := w.g.now()
	for service, o := range w.owned {
		if o.endedAt != 0 && now-o.endedAt > finalGrantTime {
			delete(w.owned, service)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for service := range w.grants {
		if w.owned[service] == nil {
			delete(w.grants, service)
		}
	}
}

// viewRollout returns what the decision on a rollout is made of.
func (g *Gateway) viewRollout(o *ownedRollout) rollout.View {
	now := g.now()
	b := g.settings.Bounds.Exposure
	v := rollout.View{
		Order: o.order, Elapsed: now - o.startedAt,
		Bounds:   rollout.Bounds{ExposureShare: b.Share, ExposureSlack: b.Slack, Rollback: time.Duration(b.Rollback)},
		Recorded: rollout.Record{State: o.record.State, Requests: o.record.Requests, Exposures: o.record.Exposures},
	}
	isOld := func(release string) bool { return release != o.order.To && !slices.Contains(o.record.Banned, release) }
	for _, s := range g.table.Statuses(o.order.Service, now) {
		switch {
		case s.Server.Draining:
		case s.Server.Release == o.order.To:
			v.NewServers++
		case isOld(s.Server.Release):
			v.OldServers++
		}
	}
	v.OldCalls = g.oldCalls(o, now)
	vms := g.node.RecentVMs(knownVMAge)
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	var complete bool
	v.Total, v.Silent, complete = g.rollouts.service(o.order.Service).total(vms, g.settings.VM, o.takenAt, now)
	v.Complete = complete || now-o.takenAt >= takeoverWait
	return v
}

// orderRollout applies an order.
func (g *Gateway) orderRollout(row string, o rollout.Order) {
	if g.rollouts.setOrder(row, o, g.now()) {
		event.RolloutOrdered.Log(g.log, nil, log.Fields{"service": o.Service, "to": o.To, "duration": o.Duration.String(), "revision": o.Revision})
	}
}

// withdrawRollout handles the removal of a row of the operators' table.
func (g *Gateway) withdrawRollout(row string) {
	if o, inForce := g.rollouts.withdraw(row); inForce {
		g.logRolloutEnd(o.Service, rollout.RolledBack, o.To, "order withdrawn")
	}
}

func (g *Gateway) logRolloutEnd(service string, state rollout.State, to, reason string) {
	e := event.RolloutDone
	if state == rollout.RolledBack {
		e = event.RolloutRolledBack
	}
	g.metrics.incrementCounter("rollouts_" + string(state))
	e.Log(g.log, nil, log.Fields{"service": service, "to": to, "reason": reason})
}

// applyGrant applies a grant that the VM at an address has sent.
func (g *Gateway) applyGrant(x gossip.Grant, from, reason string) {
	state := rollout.State(x.State)
	if !isRolloutState(state) {
		return
	}
	grant := rollout.Grant{
		Service: x.Service, To: x.To, Revision: x.Revision, Fence: x.Fence, Sequence: x.Sequence, State: state, Share: x.Share,
		Left: time.Duration(x.LeftMillis) * time.Millisecond, Last: time.Duration(x.LastMillis) * time.Millisecond,
		Probe: time.Duration(x.ProbeMillis) * time.Millisecond, ProbeEnd: time.Duration(x.ProbeEndMillis) * time.Millisecond,
	}
	if g.rollouts.applyGrant(grant, x.Old, x.Banned, x.Reported, from, g.now()) {
		g.logRolloutEnd(x.Service, state, x.To, reason)
	}
}

// showRollouts updates the metrics of rollouts, and logs grants that have expired.
func (g *Gateway) showRollouts() {
	now := g.now()
	g.rollouts.mu.Lock()
	defer g.rollouts.mu.Unlock()
	running := int64(0)
	for name, s := range g.rollouts.services {
		if s.order.Revision == 0 {
			continue
		}
		share, final := s.share(now)
		if !final {
			running++
		}
		if !final && s.shownShare > 0 && s.applied.Expired(now) {
			event.RolloutGrantExpired.Log(g.log, nil, log.Fields{"service": name, "to": s.order.To, "share": s.shownShare})
		}
		s.shownShare = share
		old, updated := sides(s.own)
		g.metrics.setGauge("rollout_share_permille_"+name, int64(math.Round(1000*share)))
		g.metrics.setGauge("rollout_sent_old_"+name, old.Sent)
		g.metrics.setGauge("rollout_sent_new_"+name, updated.Sent)
		g.metrics.setGauge("rollout_failed_old_"+name, old.Failed)
		g.metrics.setGauge("rollout_failed_new_"+name, updated.Failed)
	}
	g.metrics.setGauge("rollouts_running", running)
}

// replaced returns the services whose calls all go to servers of a new version, with the
// version, while streams may still run on the others.
func (r *rollouts) replaced(now time.Duration) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]string)
	for name, s := range r.services {
		// A probe sends all calls to the new version for a short time only.
		g, _ := s.applied.Grant()
		if share, final := s.share(now); s.order.Revision > 0 && share >= 1 && (final || g.Share >= 1) {
			out[name] = s.order.To
		}
	}
	return out
}

// moveReplacedStreams moves the resumable streams on servers whose calls all go to a new
// version.
func (g *Gateway) moveReplacedStreams() {
	now := g.now()
	for service, to := range g.rollouts.replaced(now) {
		for _, s := range g.table.Statuses(service, now) {
			if s.Server.Release == to || s.InFlight == 0 {
				continue
			}
			for _, a := range g.movableStreams.onEngine(s.Server.ID) {
				go a.handOver(errReplaced)
			}
		}
	}
}
