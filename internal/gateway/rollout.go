package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
)

// ErrInvalidRollout means that the row of an order cannot be decoded or used.
var ErrInvalidRollout = errors.New("invalid rollout order")

// recordReadPeriod is how long a VM that knows an order goes without a grant before it
// reads the record of the rollout, and the time between two reads.
const recordReadPeriod = 2 * time.Second

// releaseClass says whether servers of a release may get calls.
type releaseClass int

const (
	// releasePending releases were first seen after the operators' table was last
	// confirmed: an order for them may not be known yet.
	releasePending releaseClass = iota
	// releaseUncertain releases were the target of an earlier order whose outcome this VM
	// does not know.
	releaseUncertain
	// releaseAccepted releases run, or ran before the order in force.
	releaseAccepted
	// releaseBanned releases were rolled back or replaced.
	releaseBanned
)

// knownRelease is a release that a service has had.
type knownRelease struct {
	class     releaseClass
	firstSeen time.Duration
}

// serviceRollout is what a VM knows of the releases and the rollout of one service.
type serviceRollout struct {
	releases map[string]*knownRelease
	// order is the newest one, with Revision zero if there never was one. Servers of its
	// release are on the new side, whatever the class of the release.
	order     rollout.Order
	orderedAt time.Duration
	// withdrawn is set if the order's row has been removed.
	withdrawn bool
	// state is final if it is not Running: it then never changes for this order.
	state rollout.State
	// reported is set once the platform is known to have been told of the final state.
	reported bool
	// applied holds the newest grant, and owner the address of the VM that sent it.
	applied rollout.Applied
	owner   string
	// needsRecord is set until the record in the store has been read, if that may tell which
	// of the listed releases may get calls.
	// It is not waited for longer than until recordBy.
	needsRecord bool
	recordBy    time.Duration
	nextRead    time.Duration
	// own holds the counts of this process since it learned of the order, peers those of
	// others.
	own   rollout.Evidence
	peers map[processID]*peerCounts
	// shownShare is the share that was logged last; unknownLogged is set if the service was
	// logged as unknown.
	shownShare    float64
	unknownLogged bool
}

// rollouts holds the rollouts of all services, as far as this VM knows. It is safe for
// concurrent use. It does nothing unless it is enabled.
type rollouts struct {
	enabled bool
	// firstStart is set if the whole system starts for the first time.
	firstStart bool

	mu       sync.Mutex // guards the fields below
	services map[string]*serviceRollout
	// rows maps keys of the operators' table to the services of their orders.
	rows map[string]string
	// listComplete is set once the list of servers has been read, listCompleteAt is when.
	listComplete   bool
	listCompleteAt time.Duration
	// steppedAt is the time of the last step. Grants of other VMs are ignored until
	// ignoreUntil: after a pause, old ones are waiting to be read.
	steppedAt   time.Duration
	ignoreUntil time.Duration
	// confirmedAt is the time as of which the operators' table is known.
	confirmedAt    time.Duration
	tableConfirmed bool
}

func newRollouts(s Settings) *rollouts {
	return &rollouts{
		enabled: s.Bounds.Exposure != nil, firstStart: s.FirstStart, services: make(map[string]*serviceRollout), rows: make(map[string]string),
	}
}

// service returns the state of a service. The caller must hold r.mu.
func (r *rollouts) service(name string) *serviceRollout {
	s := r.services[name]
	if s == nil {
		s = &serviceRollout{releases: make(map[string]*knownRelease)}
		r.services[name] = s
	}
	return s
}

// observe records that a server is listed, and reports whether it is the first of a
// release that is held back.
func (r *rollouts) observe(service, release string, now time.Duration) (heldBack bool) {
	if !r.enabled {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	if s.releases[release] != nil {
		return false
	}
	x := &knownRelease{firstSeen: now}
	if r.firstStart && !r.listComplete {
		x.class = releaseAccepted
	}
	s.releases[release] = x
	return x.class == releasePending && !s.isTarget(release)
}

// isTarget reports whether a release is that of the order in force.
func (s *serviceRollout) isTarget(release string) bool {
	return s.order.Revision > 0 && release == s.order.To
}

// completeList records that the whole list of servers is known. A VM that starts while a
// service has servers of several releases reads the record first: it may know of rollouts
// whose orders are gone.
func (r *rollouts) completeList(now time.Duration) {
	if !r.enabled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listComplete {
		return
	}
	r.listComplete, r.listCompleteAt = true, now
	for _, s := range r.services {
		pending := 0
		for _, x := range s.releases {
			if x.class == releasePending {
				pending++
			}
		}
		if pending > 1 {
			s.awaitRecord(now)
		}
	}
}

// confirmTable records that the operators' table is known as of a time. Releases that
// were seen before, and that no order names, may get calls.
func (r *rollouts) confirmTable(askedAt time.Duration) {
	if !r.enabled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt, r.tableConfirmed = max(r.confirmedAt, askedAt), true
	for _, s := range r.services {
		s.acceptPending(r.confirmedAt)
	}
}

// awaitsRecord reports whether no server may be used until the record has been read.
func (s *serviceRollout) awaitsRecord(now time.Duration) bool {
	return s.needsRecord && now < s.recordBy
}

// awaitRecord makes the service wait until the record has been read.
func (s *serviceRollout) awaitRecord(now time.Duration) {
	s.needsRecord, s.recordBy, s.nextRead = true, now+recordReadPeriod, now
}

func (s *serviceRollout) acceptPending(confirmedAt time.Duration) {
	if s.awaitsRecord(confirmedAt) {
		return
	}
	for release, x := range s.releases {
		if x.class == releasePending && x.firstSeen < confirmedAt && !s.isTarget(release) {
			x.class = releaseAccepted
		}
	}
}

// settled reports whether the list of servers has been read and its releases have been
// checked against the operators' table.
func (r *rollouts) settled() bool {
	if !r.enabled {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.services {
		if s.awaitsRecord(r.confirmedAt) {
			return false
		}
	}
	return r.listComplete && r.confirmedAt > r.listCompleteAt
}

// setOrder records an order and reports whether it is newer than the one known.
func (r *rollouts) setOrder(row string, o rollout.Order, now time.Duration) bool {
	if !r.enabled {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(o.Service)
	if o.Revision <= s.order.Revision {
		return false
	}
	r.rows[row] = o.Service
	if s.order.Revision > 0 && !s.withdrawn && o.Duration == s.order.Duration && isWrittenAgain(s.order.Revision, s.order.To, o) {
		return false
	}
	if s.order.Revision > 0 && s.state == rollout.Running && s.order.To != o.To {
		s.setClass(s.order.To, releaseUncertain)
	}
	s.order, s.orderedAt, s.withdrawn, s.state, s.reported = o, now, false, rollout.Running, false
	s.own, s.peers = make(rollout.Evidence), make(map[processID]*peerCounts)
	s.nextRead, s.shownShare, s.unknownLogged = now+recordReadPeriod, 0, false
	if !r.tableConfirmed {
		// The order is older than this process.
		s.awaitRecord(now)
	}
	return true
}

// withdraw records that a row of the operators' table is gone. It returns the order that
// it held, if that was in force.
func (r *rollouts) withdraw(row string) (rollout.Order, bool) {
	if !r.enabled {
		return rollout.Order{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	service, ok := r.rows[row]
	if !ok {
		return rollout.Order{}, false
	}
	delete(r.rows, row)
	s := r.service(service)
	s.withdrawn = true
	return s.order, s.state == rollout.Running
}

func (s *serviceRollout) setClass(release string, c releaseClass) {
	x := s.releases[release]
	if x == nil {
		x = &knownRelease{}
		s.releases[release] = x
	}
	x.class = c
}

// adopt takes over what an owner knows of the releases of the service.
func (s *serviceRollout) adopt(old, banned []string) {
	for _, release := range old {
		s.setClass(release, releaseAccepted)
	}
	for _, release := range banned {
		s.setClass(release, releaseBanned)
	}
	s.needsRecord = false
}

// finish records the final state of the order.
func (s *serviceRollout) finish(state rollout.State) {
	s.state = state
	if state == rollout.RolledBack {
		s.setClass(s.order.To, releaseBanned)
		return
	}
	for _, x := range s.releases {
		x.class = releaseBanned
	}
	s.setClass(s.order.To, releaseAccepted)
}

const (
	// pauseThreshold is the time between two steps from which the process counts as paused.
	pauseThreshold = 600 * time.Millisecond
	// staleGrantTime is how long after a pause messages from before its end may be read.
	staleGrantTime = 300 * time.Millisecond
)

// step records that the process is running.
func (r *rollouts) step(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.steppedAt > 0 && now-r.steppedAt > pauseThreshold {
		r.ignoreUntil = now + staleGrantTime
	}
	r.steppedAt = now
}

// ignoresGrants reports whether a grant that has been read may be from before a pause.
func (r *rollouts) ignoresGrants(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now < r.ignoreUntil || r.steppedAt > 0 && now-r.steppedAt > pauseThreshold
}

// applyGrant applies a grant that a VM at an address sent. It reports whether the grant
// ends the rollout, unless the withdrawal of its order has done so before.
func (r *rollouts) applyGrant(g rollout.Grant, old, banned []string, reported bool, from string, now time.Duration) (ended bool) {
	if !r.enabled {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(g.Service)
	if g.Revision == s.order.Revision && g.State == s.state && s.state != rollout.Running {
		s.reported = s.reported || reported
	}
	if !s.applied.Update(g, now) {
		return false
	}
	s.owner = from
	s.nextRead = now + recordReadPeriod
	if g.Revision != s.order.Revision || g.To != s.order.To || s.order.Revision == 0 || s.state != rollout.Running {
		return false
	}
	s.adopt(old, banned)
	if g.State == rollout.Running {
		return false
	}
	s.finish(g.State)
	s.reported = reported
	return !s.withdrawn
}

// share returns the part of the calls that go to the new version, and whether the
// rollout has ended.
func (s *serviceRollout) share(now time.Duration) (share float64, final bool) {
	switch {
	case s.state == rollout.Done:
		return 1, true
	case s.withdrawn || s.state == rollout.RolledBack:
		return 0, true
	}
	if g, ok := s.applied.Grant(); !ok || g.Revision != s.order.Revision || g.To != s.order.To || g.State != rollout.Running {
		return 0, false
	}
	return s.applied.Share(now), false
}

// restriction says which servers of a service a call must not be sent to. The zero value
// permits all.
type restriction struct {
	excluded []bool
	// targetOnly is set if servers of the new version are used without a share, since the
	// service has no others.
	targetOnly bool
}

func (x restriction) excludes(i int) bool { return x.excluded != nil && x.excluded[i] }

// restrict chooses the side of a rollout for a call, unless that has been done and the
// side may still be used. It returns the restriction that follows from it.
func (r *rollouts) restrict(f *forwardedCall, service string, statuses []backend.Status, now time.Duration) restriction {
	if !r.enabled {
		return restriction{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return restriction{}
	}
	ordered := s.order.Revision > 0
	share, final := s.share(now)
	side, targetOnly := rollout.Old, false
	if ordered && !final {
		side, targetOnly = r.chooseSide(f, s, share, statuses)
	}
	x := restriction{excluded: make([]bool, len(statuses)), targetOnly: targetOnly}
	for i := range statuses {
		release := statuses[i].Server.Release
		switch {
		case !r.tableConfirmed || s.awaitsRecord(now):
			// There may be an order, or its rollout may be done and the old servers about to
			// stop.
			x.excluded[i] = true
		case s.isTarget(release) && final:
			x.excluded[i] = share <= 0
		case s.isTarget(release):
			x.excluded[i] = side != rollout.New
		default:
			x.excluded[i] = s.class(release) != releaseAccepted || ordered && !final && side != rollout.Old
		}
	}
	return x
}

func (s *serviceRollout) class(release string) releaseClass {
	if x := s.releases[release]; x != nil {
		return x.class
	}
	return releasePending
}

// chooseSide returns the side of the servers that a call may be sent to while a rollout
// is running. The caller must hold r.mu.
func (r *rollouts) chooseSide(f *forwardedCall, s *serviceRollout, share float64, statuses []backend.Status) (side rollout.Side, targetOnly bool) {
	side = s.sideOf(f, share)
	usableNew, anyOld := false, false
	for _, x := range statuses {
		switch {
		case s.isTarget(x.Server.Release):
			usableNew = usableNew || !x.Server.Draining && !x.InBackoff && !x.BackingOff && !f.excluded[x.Server.ID]
		case s.class(x.Server.Release) != releaseBanned:
			anyOld = anyOld || !x.Server.Draining
		}
	}
	switch {
	case side == rollout.New && !usableNew && anyOld:
		return rollout.Old, false
	case side == rollout.Old && !anyOld && r.listComplete:
		return rollout.New, true
	}
	return side, false
}

// sideOf returns the side of a call by the share of the new version, which it keeps while
// the order is in force.
func (s *serviceRollout) sideOf(f *forwardedCall, share float64) rollout.Side {
	if f.sideRevision != s.order.Revision {
		f.sideRevision, f.side = s.order.Revision, rollout.Old
		if rollout.ToNew(share, rollout.RequestHash(f.call.ID)) {
			f.side = rollout.New
		}
	}
	switch {
	case share <= 0:
		return rollout.Old
	case share >= 1:
		return rollout.New
	}
	return f.side
}

// isForNew reports whether a call is to be sent to the new version of a rollout that is
// running.
func (r *rollouts) isForNew(f *forwardedCall, now time.Duration) bool {
	if !r.enabled {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[f.service]
	if s == nil || s.order.Revision == 0 {
		return false
	}
	share, final := s.share(now)
	return !final && s.sideOf(f, share) == rollout.New
}

// mayRun reports whether a server of a release may still be sent a call. If targetOnly is
// set, it was chosen since the service has no other servers.
func (r *rollouts) mayRun(service, release string, targetOnly bool, now time.Duration) bool {
	if !r.enabled {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return true
	}
	if !r.tableConfirmed || s.awaitsRecord(now) {
		return false
	}
	if !s.isTarget(release) {
		return s.class(release) == releaseAccepted
	}
	share, final := s.share(now)
	return share > 0 || !final && targetOnly
}

// isTarget reports whether a release is that of the order in force for a service.
func (r *rollouts) isTarget(service, release string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	return s != nil && s.isTarget(release)
}
