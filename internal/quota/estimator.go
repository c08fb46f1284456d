package quota

import (
	"maps"
	"math"
	"sync"
	"time"
)

// Parameters of the estimate.
const (
	// silenceTimeout is the minimum age of what is known of a VM after which the VM
	// counts as silent.
	silenceTimeout = 1400 * time.Millisecond
	// maxMissedIntervals is how many of its usual message intervals a VM may be
	// silent; the longer of this time and silenceTimeout applies.
	maxMissedIntervals = 1.5
	// peerTimeout is the time since its last message after which a VM is
	// considered gone. Its part then goes to the others.
	peerTimeout = time.Minute
	// scanInterval is the minimum time between two searches for silent VMs.
	scanInterval = 50 * time.Millisecond
	// stockShare is the share of the permitted excess that all VMs together may have in
	// their allowances, poolShare the share that they may charge to the level in
	// addition to what it holds.
	stockShare = 0.4
	poolShare  = 0.15
	// lagGrace is the age of totals up to which a VM is not charged for the time since.
	lagGrace = 250 * time.Millisecond
	// overdrawReserve is the share of the burst that must be left for a VM to exceed its
	// part of the level, and up to twice that share in fleets where the excess does not
	// cover a large call of each VM. Parts in large fleets are smaller than a large call.
	overdrawReserve = 0.25
	// urgentReserveShare is the share of that reserve that the most urgent calls leave.
	urgentReserveShare = 0.2
	// overdrawCalls is how many of its largest calls, and one, a VM may charge beyond its
	// part while the whole burst is left, and fewer in proportion while less is left.
	overdrawCalls = 1.5
	// overdrawTimeout is the age of the newest state that others have confirmed beyond
	// which VMs keep to their parts: messages take longer than usual, and the level is
	// too old to show what all VMs charge beyond them.
	overdrawTimeout = 1500 * time.Millisecond
	// unknownFleetSize is the number of VMs that a VM assumes that has joined a fleet
	// and not heard of any other VM yet, for up to unknownFleetTime.
	unknownFleetSize = 16
	unknownFleetTime = 5 * time.Second
	// maxSentDraws is the number of messages remembered that await confirmation.
	maxSentDraws = 32
	// priorityCount is the number of priorities that are told apart.
	priorityCount = 10
	// demandTime is the time constant of the measured demand. reserveTime is the time
	// for which a VM keeps tokens for the demand of its more urgent calls, and
	// levelReserveTime the time for which the level keeps tokens for those of all VMs:
	// about the time in which VMs learn of each other's charges.
	demandTime       = time.Second
	reserveTime      = 500 * time.Millisecond
	levelReserveTime = 320 * time.Millisecond
	// holdGrace is how long after the expected time tokens are set aside for a refused
	// call, maxHoldTime how long in total.
	holdGrace   = 500 * time.Millisecond
	maxHoldTime = 5 * time.Second
	// smallShare is the share of what urgent calls leave that small calls may charge
	// before larger ones of their priority; the rest is set aside for a refused call.
	smallShare = 0.5
	// minFreeShare is the minimum share of the income that goes to calls that are not
	// the most urgent.
	minFreeShare = 0.125
)

// RelayDelay is the age that is assumed for the totals of a VM in a digest of its zone.
const RelayDelay = 400 * time.Millisecond

// Limits are a team's rate, in tokens per second, and its burst, in tokens.
type Limits struct {
	Rate  float64
	Burst float64
	// Excess is what a team may use beyond rate and burst, in tokens, before its rate
	// counts as exceeded.
	Excess float64
	// VMs is the number of VMs that are known to run, or less.
	VMs int
}

// account is the estimate for one team.
type account struct {
	limits Limits
	// settled is the number of tokens that the fleet has left according to the charges
	// that are known. It is negative if the fleet has overdrawn the burst.
	settled    float64
	refilledAt time.Duration
	// silent is the number of silent VMs when the account was last refilled, and withheld
	// what is left to them: their part of the level when they became silent, and of the
	// rate since.
	silent   int
	withheld float64
	// charged is the total that this VM has charged since it started. Only
	// refunds decrease it.
	charged float64
	// reported is set once others may have been told of charges, and must be told if all
	// are refunded.
	reported bool
	// allowance is what has accrued of this VM's equal part of the rate, at least 0.
	// debt is what a call has charged beyond the allowance.
	allowance float64
	debt      float64
	// drawn is the total that this VM has charged to the level beyond its allowance.
	// Others have confirmed confirmedDrawn of it; sent holds its value in the messages
	// that are not confirmed yet, oldest first.
	drawn          float64
	confirmedDrawn float64
	sent           []sentDraw
	// demand is the number of tokens per second asked for lately, by priority.
	demand [priorityCount]float64
	hold   hold
	// largest is the number of tokens of the largest call so far.
	largest float64
	// smallBudget is what calls may charge that are admitted before larger ones of their
	// priority: half of what more urgent calls leave.
	smallBudget float64
}

// sentDraw is the value of account.drawn in a message.
type sentDraw struct {
	at    time.Duration
	drawn float64
}

// hold is the tokens set aside for a refused call.
type hold struct {
	tokens   float64
	priority int
	until    time.Duration
	// saved is how much has been set aside so far.
	saved float64
}

// peer is what another VM has reported of its charges.
type peer struct {
	epoch       uint64
	lastMessage time.Duration
	totals      map[string]float64
	// interval is the time between its last two messages.
	interval time.Duration
	// silent is set while its messages are overdue.
	silent bool
}

// Estimator estimates how many tokens teams have left. It is safe for concurrent
// use.
type Estimator struct {
	// startFull makes new accounts start with the whole burst.
	startFull bool

	mu       sync.Mutex // guards the fields below
	accounts map[string]*account
	peers    map[string]*peer
	// heardSum is the sum of lastMessage over the peers that are not silent, in seconds.
	heardSum    float64
	silentCount int
	scannedAt   time.Duration
	// startedAt is the time of the first call of any method.
	started   bool
	startedAt time.Duration
	// confirmedAt is when the newest state was sent that others have confirmed.
	confirmedAt time.Duration
	refusals    map[Reason]int64
}

// NewEstimator returns an Estimator. startFull makes accounts start with the whole
// burst. It must not be set on a VM that joins a running fleet, since that VM does
// not know what has been used before.
func NewEstimator(startFull bool) *Estimator {
	return &Estimator{startFull: startFull, accounts: make(map[string]*account), peers: make(map[string]*peer), refusals: make(map[Reason]int64)}
}

func (e *Estimator) start(now time.Duration) {
	if !e.started {
		e.started, e.startedAt, e.scannedAt, e.confirmedAt = true, now, now, now
	}
}

// fleetSize returns the number of VMs that share a rate.
func (e *Estimator) fleetSize(l Limits, now time.Duration) float64 {
	n := max(len(e.peers)+1, l.VMs)
	if n == 1 && !e.startFull && now-e.startedAt < unknownFleetTime {
		n = unknownFleetSize
	}
	return float64(n)
}

// connectedShare returns the share of rate and burst that is not left to VMs that are
// silent or have not been heard yet.
func (e *Estimator) connectedShare(l Limits, now time.Duration, silent int) float64 {
	return e.connected(l, now, silent) / e.fleetSize(l, now)
}

// connected returns the number of VMs that are neither silent nor unknown. While a fleet
// starts for the first time, all are taken to be about to be heard.
func (e *Estimator) connected(l Limits, now time.Duration, silent int) float64 {
	if e.startFull && now-e.startedAt < unknownFleetTime {
		return e.fleetSize(l, now) - float64(silent)
	}
	return float64(max(1, 1+len(e.peers)-silent))
}

func (e *Estimator) account(team string, l Limits, now time.Duration) *account {
	a := e.accounts[team]
	if a == nil {
		a = &account{limits: l, refilledAt: now, silent: e.silentCount}
		e.accounts[team] = a
		// What has been used before is not known, so that a VM that joined a fleet
		// starts with what has accrued since.
		age := (now - e.startedAt).Seconds()
		a.settled = min(l.Burst, l.Rate*age) * e.connectedShare(l, now, e.silentCount)
		a.allowance = min(e.capacity(a, now), l.Rate*age/e.fleetSize(l, now))
		if e.startFull {
			a.settled, a.allowance = l.Burst, e.capacity(a, now)
		}
	}
	if a.limits != l {
		e.refill(a, now)
		a.limits = l
		a.settled = min(a.settled, l.Burst)
		a.allowance = min(a.allowance, e.capacity(a, now))
	}
	e.refill(a, now)
	return a
}

// level returns what the fleet has left if all other VMs have charged their equal part
// since they were last heard.
func (e *Estimator) level(a *account, now time.Duration) float64 {
	unheard := float64(len(e.peers)-e.silentCount)*(now-lagGrace).Seconds() - e.heardSum
	return a.settled - a.limits.Rate/e.fleetSize(a.limits, now)*max(0, unheard)
}

// capacity returns the bound on the allowance.
func (e *Estimator) capacity(a *account, now time.Duration) float64 {
	return stockShare * a.limits.Excess / e.fleetSize(a.limits, now)
}

// drawable returns what this VM may charge to the level beyond its allowance before
// others confirm its charges.
func (e *Estimator) drawable(a *account, now time.Duration) float64 {
	return max(0, e.part(a, now)-e.unconfirmed(a))
}

// unconfirmed returns what this VM has charged to the level that others may not know of.
func (e *Estimator) unconfirmed(a *account) float64 {
	if len(e.peers) == 0 {
		return 0
	}
	return a.drawn - a.confirmedDrawn
}

// part returns this VM's part of what the level holds and of the excess.
func (e *Estimator) part(a *account, now time.Duration) float64 {
	return e.level(a, now)/e.connected(a.limits, now, e.silentCount) + poolShare*a.limits.Excess/e.fleetSize(a.limits, now)
}

// refill adds what has accrued since the last call, and leaves VMs that have become
// silent their part.
func (e *Estimator) refill(a *account, now time.Duration) {
	defer e.withhold(a, now)
	if now <= a.refilledAt {
		return
	}
	seconds := (now - a.refilledAt).Seconds()
	income := a.limits.Rate / e.fleetSize(a.limits, now)
	gain := income * seconds
	connected := e.connectedShare(a.limits, now, a.silent)
	a.settled = min(a.limits.Burst*connected, a.settled+a.limits.Rate*connected*seconds)
	a.withheld += gain * float64(a.silent)
	a.refilledAt = now
	if a.debt > 0 {
		paid := min(a.debt, gain*a.freeShare(income, 1))
		a.debt -= paid
		gain -= paid
	}
	capacity := e.capacity(a, now)
	a.allowance = min(capacity, a.allowance+gain)
	a.smallBudget = min(capacity/4, a.smallBudget+smallShare*gain*a.freeShare(income, 1))
	decay := math.Exp(-seconds / demandTime.Seconds())
	for p := range a.demand {
		a.demand[p] *= decay
	}
	if a.hold.until > 0 {
		a.hold.saved = min(a.hold.tokens, a.hold.saved+(1-smallShare)*gain*a.freeShare(income, a.hold.priority))
		if now >= a.hold.until {
			a.hold = hold{}
		}
	}
}

// urgentDemand returns the tokens per second asked for by calls that are more urgent
// than the given priority.
func (a *account) urgentDemand(priority int) float64 {
	var sum float64
	for _, d := range a.demand[:priority] {
		sum += d
	}
	return sum
}

// freeShare returns the share of the income that is left to calls of a priority.
func (a *account) freeShare(income float64, priority int) float64 {
	return max(minFreeShare, 1-a.urgentDemand(priority)/income)
}

// Take charges a team for a call of the given priority, 0 being the most urgent. If
// there are not enough tokens for it, Take reports false and the time after which there
// should be. Part of what accrues is then set aside for a call of that size, for a
// limited time.
func (e *Estimator) Take(team string, l Limits, priority int, tokens float64, now time.Duration) (bool, time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	priority = min(max(priority, 0), priorityCount-1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start(now)
	e.scan(now)
	a := e.account(team, l, now)
	a.demand[priority] += tokens / demandTime.Seconds()
	a.largest = max(a.largest, tokens)
	d := e.decide(a, priority, tokens, now)
	if !d.admitted {
		e.refusals[d.reason]++
		if tokens > a.hold.tokens {
			a.hold = hold{tokens: tokens, priority: priority, until: now + min(maxHoldTime, d.wait+holdGrace), saved: a.hold.saved}
		}
		return false, d.wait
	}
	if a.hold.until > 0 && priority >= a.hold.priority && tokens >= a.hold.tokens {
		a.hold = hold{}
	}
	if d.small {
		a.smallBudget -= tokens
	}
	a.settled -= tokens
	a.charged += tokens
	rest := max(0, tokens-a.allowance)
	a.allowance -= tokens - rest
	if d.debt > 0 {
		a.debt += d.debt
		rest -= d.debt
	}
	a.drawn += rest
	return true, 0
}

// decision is whether a call is admitted.
type decision struct {
	admitted bool
	// wait is the time until there should be enough for the call.
	wait time.Duration
	// small is set if the call is admitted before larger ones, debt what it charges
	// beyond the VM's allowance and its part of the level.
	small bool
	debt  float64
	// reason says why the call is refused.
	reason Reason
}

// Reason says what a call that is refused lacks.
type Reason string

// Reasons of refusals.
const (
	// ReasonLevel means that the fleet does not have enough tokens left.
	ReasonLevel Reason = "level"
	// ReasonPart means that this VM has used its part and others have not confirmed its
	// charges yet, or that the call is larger than the part.
	ReasonPart Reason = "part"
	// ReasonUrgent means that what is left is reserved for more urgent calls.
	ReasonUrgent Reason = "urgent"
	// ReasonHeld means that tokens are set aside for a larger call.
	ReasonHeld Reason = "held"
)

func (e *Estimator) decide(a *account, priority int, tokens float64, now time.Duration) decision {
	connected := e.connectedShare(a.limits, now, e.silentCount)
	burst := a.limits.Burst * connected
	level, capacity, drawable := e.level(a, now), e.capacity(a, now), e.drawable(a, now)
	available := a.allowance + drawable
	urgent := a.urgentDemand(priority)
	small := priority > 0 && tokens <= a.smallBudget

	held := 0.0
	if a.hold.until > 0 && priority >= a.hold.priority && tokens < a.hold.tokens && !small {
		held = a.hold.saved
	}
	need := tokens + held + min((capacity+drawable)/2, urgent*reserveTime.Seconds())
	// The level must keep a reserve for urgent calls on other VMs.
	urgentLevel := min(burst/2, urgent*connected*e.fleetSize(a.limits, now)*levelReserveTime.Seconds())
	enoughLeft := urgentLevel == 0 || level >= urgentLevel || small
	switch {
	case available >= need && enoughLeft:
		return decision{admitted: true, small: small}
	case e.mayOverdraw(a, priority, tokens, level, burst, now) && enoughLeft:
		return decision{admitted: true, small: small}
	}
	// A call for more than the capacity needs a full allowance, no debt, and a level that
	// covers it.
	full := capacity + a.debt
	if need > full && tokens > capacity/2 && available >= full && enoughLeft && level >= min(burst, tokens+overdrawReserve*burst*(1-e.covered(a, now))) {
		return decision{admitted: true, small: small, debt: max(0, tokens-available)}
	}
	income := a.limits.Rate / e.fleetSize(a.limits, now)
	free := a.freeShare(income, priority)
	if !small && priority > 0 {
		// Smaller calls may take the other part.
		free *= 1 - smallShare
	}
	seconds := (need - available) / (income * free)
	if need > capacity {
		seconds = max(seconds, (min(tokens, a.limits.Burst)+urgentLevel-level)/(a.limits.Rate*connected))
	}
	reason := ReasonPart
	switch {
	case level < tokens:
		reason = ReasonLevel
	case !enoughLeft || available >= tokens+held:
		reason = ReasonUrgent
	case available >= tokens:
		reason = ReasonHeld
	}
	return decision{wait: time.Duration(max(0, seconds) * float64(time.Second)), reason: reason}
}

// mayOverdraw reports whether a call may exceed the VM's part of the level: the more of
// the burst is left, the further. Parts of VMs are smaller than a large call in large
// fleets, though few VMs have one at a time.
func (e *Estimator) mayOverdraw(a *account, priority int, tokens, level, burst float64, now time.Duration) bool {
	left := overdrawReserve * burst * (2 - e.covered(a, now))
	if priority == 0 {
		left *= urgentReserveShare
	}
	if level < left || tokens > level+poolShare*a.limits.Excess*e.connectedShare(a.limits, now, e.silentCount) {
		return false
	}
	if len(e.peers) > 0 && now-e.confirmedAt > overdrawTimeout {
		return false
	}
	margin := overdrawCalls * a.largest * (level - left) / (burst - left)
	return e.unconfirmed(a)+tokens <= max(0, e.part(a, now))+margin+a.largest
}

// covered returns the share of the calls that the excess covers if each VM overdraws by
// its largest call at the same time.
func (e *Estimator) covered(a *account, now time.Duration) float64 {
	return min(1, a.limits.Excess/(e.fleetSize(a.limits, now)*a.largest))
}

// Refund reverses the charge of a call that did not run.
func (e *Estimator) Refund(team string, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.accounts[team]
	if a == nil {
		return
	}
	a.settled = min(a.limits.Burst, a.settled+tokens)
	a.charged -= tokens
	paid := min(a.debt, tokens)
	a.debt -= paid
	a.allowance = min(e.capacity(a, a.refilledAt), a.allowance+tokens-paid)
}

// Totals returns what this VM has charged to each team since it started, to be sent to
// others now.
func (e *Estimator) Totals(now time.Duration) map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]float64, len(e.accounts))
	for team, a := range e.accounts {
		if a.charged != 0 || a.reported {
			out[team], a.reported = a.charged, true
		}
		if n := len(a.sent); a.drawn > a.confirmedDrawn && (n == 0 || a.sent[n-1].drawn != a.drawn) {
			a.sent = append(a.sent, sentDraw{now, a.drawn})
			if len(a.sent) > maxSentDraws {
				a.sent = append(a.sent[:0], a.sent[1:]...)
			}
		}
	}
	return out
}

// Confirm records that others know the totals that this VM sent at the given time.
func (e *Estimator) Confirm(sentAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = max(e.confirmedAt, sentAt)
	for _, a := range e.accounts {
		n := 0
		for n < len(a.sent) && a.sent[n].at <= sentAt {
			a.confirmedDrawn = a.sent[n].drawn
			n++
		}
		a.sent = append(a.sent[:0], a.sent[n:]...)
	}
}

// ConfirmedAge returns the age of the newest state of this VM that others have
// confirmed, or 0 if no other VM is known.
func (e *Estimator) ConfirmedAge(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.peers) == 0 {
		return 0
	}
	return now - e.confirmedAt
}

// Refusals returns the number of refusals by reason.
func (e *Estimator) Refusals() map[Reason]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.refusals)
}

// UpdatePeer applies the totals that another VM reported at the given time. The totals
// of teams that are not listed are unchanged. A new epoch means that the VM's process
// has restarted.
func (e *Estimator) UpdatePeer(vm string, epoch uint64, totals map[string]float64, at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start(at)
	p := e.peers[vm]
	if p == nil || p.epoch != epoch {
		q := &peer{epoch: epoch, totals: make(map[string]float64)}
		if p == nil {
			if !e.startFull {
				// The level does not include what the VM charged before it was
				// known here.
				for team, n := range totals {
					q.totals[team] = n
				}
			}
		} else {
			e.forget(p)
		}
		p = q
		e.peers[vm] = p
	} else {
		p.interval = at - p.lastMessage
		e.forget(p)
	}
	p.lastMessage = at
	e.heardSum += at.Seconds()
	for team, n := range totals {
		used := n - p.totals[team]
		if used == 0 {
			continue
		}
		p.totals[team] = n
		if a := e.accounts[team]; a != nil {
			e.refill(a, at)
			a.settled -= used
		}
	}
}

// RemovePeer removes a VM that has ended.
func (e *Estimator) RemovePeer(vm string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.peers[vm]; p != nil {
		e.forget(p)
		delete(e.peers, vm)
	}
}

// forget takes a VM out of the sums over all VMs.
func (e *Estimator) forget(p *peer) {
	if p.silent {
		p.silent = false
		e.silentCount--
	} else {
		e.heardSum -= p.lastMessage.Seconds()
	}
}

// withhold leaves VMs that have become silent, and may be cut off, their part of the
// level and of the rate since they were heard; with the parts of all other VMs on both
// sides of a partition they add up to the whole. It gives back what was left to VMs that
// are heard again or have ended.
func (e *Estimator) withhold(a *account, now time.Duration) {
	more := float64(e.silentCount - a.silent)
	switch {
	case more > 0:
		connected := e.connected(a.limits, now, a.silent)
		unheard := a.limits.Rate / e.fleetSize(a.limits, now) * silenceTimeout.Seconds()
		part := more * (max(0, e.level(a, now)-more*unheard)/connected + unheard)
		a.settled -= part
		a.withheld += part
	case more < 0:
		part := a.withheld * -more / float64(a.silent)
		a.settled += part
		a.withheld -= part
	}
	a.silent = e.silentCount
}

// scan finds VMs that have become silent, and removes those that are gone. While most
// VMs are silent, this VM may be the one that is cut off, and removes none.
func (e *Estimator) scan(now time.Duration) {
	if now-e.scannedAt < scanInterval {
		return
	}
	e.scannedAt = now
	removable := 2*e.silentCount < len(e.peers)
	e.heardSum = 0
	for vm, p := range e.peers {
		age := now - p.lastMessage
		if removable && age > peerTimeout {
			e.forget(p)
			delete(e.peers, vm)
			continue
		}
		if p.silent {
			continue
		}
		e.heardSum += p.lastMessage.Seconds()
		if age > max(silenceTimeout, time.Duration(maxMissedIntervals*float64(p.interval))) {
			p.silent = true
			e.silentCount++
			e.heardSum -= p.lastMessage.Seconds()
		}
	}
}
