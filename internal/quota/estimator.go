package quota

import (
	"sync"
	"time"
)

// Parameters of the estimate.
const (
	// silenceTimeout is the minimum time since a VM's last message after which
	// it is charged an equal part of each rate. Until then it is charged at its
	// last measured rate.
	silenceTimeout = time.Second
	// maxMissedIntervals is how many of its usual message intervals a VM may be
	// silent before it is charged an equal part; the longer of this time and
	// silenceTimeout applies.
	maxMissedIntervals = 1.5
	// minRateInterval is the minimum time between two messages over which a
	// VM's charge rate is measured.
	minRateInterval = 50 * time.Millisecond
	// peerTimeout is the time since its last message after which a VM is
	// considered gone.
	peerTimeout = 15 * time.Second
	// accrueInterval is the minimum time between two updates of the charges
	// assumed for all VMs; calls in between use the last update.
	accrueInterval = 20 * time.Millisecond
)

// Limits are a team's rate, in tokens per second, and its burst, in tokens.
type Limits struct {
	Rate  float64
	Burst float64
	// Tolerance is the part of the permitted excess, in tokens, that the
	// estimate may use. The permitted excess is what a team may use beyond rate
	// and burst before its rate counts as exceeded.
	Tolerance float64
}

func (l Limits) capacity() float64 { return l.Burst + l.Tolerance }

// account is the estimate for one team.
type account struct {
	limits Limits
	// level is the number of tokens that the fleet has left; it may be negative.
	level      float64
	refilledAt time.Duration
	// charged is the total that this VM has charged since it started. Only
	// refunds decrease it.
	charged float64
}

// peer is what another VM has reported of its charges.
type peer struct {
	epoch       uint64
	lastMessage time.Duration
	totals      map[string]float64
	// interval is the time between its last two messages.
	interval time.Duration
	// rates are its charges to each team, in tokens per second, between its last
	// two messages.
	rates map[string]float64
	// assumed is what has been charged to each team on its behalf since its last
	// message.
	assumed map[string]float64
	// accruedUntil is the time up to which assumed has been computed.
	accruedUntil time.Duration
}

// Estimator estimates how many tokens teams have left. It is safe for concurrent
// use.
type Estimator struct {
	// startFull makes new accounts start full; otherwise they start with half
	// of the tolerance.
	startFull bool

	mu          sync.Mutex // guards the fields below
	accounts    map[string]*account
	peers       map[string]*peer
	lastAccrued time.Duration
}

// NewEstimator returns an Estimator. startFull makes accounts start with the whole
// burst. It must not be set on a VM that joins a running fleet, since that VM does
// not know what has been used before.
func NewEstimator(startFull bool) *Estimator {
	return &Estimator{startFull: startFull, accounts: make(map[string]*account), peers: make(map[string]*peer)}
}

func (e *Estimator) account(team string, l Limits, now time.Duration) *account {
	a := e.accounts[team]
	if a == nil {
		a = &account{limits: l, level: l.Tolerance / 2, refilledAt: now}
		if e.startFull {
			a.level = l.capacity()
		}
		e.accounts[team] = a
	}
	if a.limits != l {
		a.refill(now)
		a.limits = l
		a.level = min(a.level, l.capacity())
	}
	a.refill(now)
	return a
}

func (a *account) refill(now time.Duration) {
	if now > a.refilledAt {
		a.level = min(a.limits.capacity(), a.level+a.limits.Rate*(now-a.refilledAt).Seconds())
		a.refilledAt = now
	}
}

// Take charges a team. If the fleet does not have enough tokens left, Take reports
// false and the time after which it should have them.
func (e *Estimator) Take(team string, l Limits, tokens float64, now time.Duration) (bool, time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accrue(now)
	a := e.account(team, l, now)
	// A call for more than the capacity of an account needs a full account.
	need := min(tokens, l.capacity())
	if a.level < need {
		return false, time.Duration((need - a.level) / l.Rate * float64(time.Second))
	}
	a.level -= tokens
	a.charged += tokens
	return true, 0
}

// Refund reverses the charge of a call that did not run.
func (e *Estimator) Refund(team string, tokens float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a := e.accounts[team]; a != nil {
		a.level = min(a.limits.capacity(), a.level+tokens)
		a.charged -= tokens
	}
}

// Totals returns what this VM has charged to each team since it started.
func (e *Estimator) Totals() map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]float64, len(e.accounts))
	for team, a := range e.accounts {
		if a.charged != 0 {
			out[team] = a.charged
		}
	}
	return out
}

// UpdatePeer applies the totals reported by another VM. The totals of teams that
// are not listed are unchanged. A new epoch means that the VM's process has
// restarted.
func (e *Estimator) UpdatePeer(vm string, epoch uint64, totals map[string]float64, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accrue(now)
	p := e.peers[vm]
	if p == nil || p.epoch != epoch {
		first := p == nil && !e.startFull
		p = &peer{
			epoch: epoch, totals: make(map[string]float64), rates: make(map[string]float64), assumed: make(map[string]float64),
		}
		e.peers[vm] = p
		if first {
			// The level does not include what the VM charged before it was
			// known here.
			for team, n := range totals {
				p.totals[team] = n
			}
		}
	}
	since := now - p.lastMessage
	known := p.lastMessage > 0
	if known {
		p.interval = since
	}
	p.lastMessage, p.accruedUntil = now, now
	for team := range p.assumed {
		if _, named := totals[team]; !named {
			p.reconcile(e.accounts[team], team, p.totals[team], now)
		}
	}
	for team, n := range totals {
		used := n - p.totals[team]
		if known && since >= minRateInterval {
			p.rates[team] = max(0, used/since.Seconds())
		}
		p.reconcile(e.accounts[team], team, n, now)
	}
}

// reconcile replaces what was assumed for a VM by what it actually charged to a
// team.
func (p *peer) reconcile(a *account, team string, total float64, now time.Duration) {
	used := total - p.totals[team]
	p.totals[team] = total
	if a != nil {
		a.refill(now)
		a.level = min(a.limits.capacity(), a.level-(used-p.assumed[team]))
	}
	delete(p.assumed, team)
}

// RemovePeer removes a VM that has ended.
func (e *Estimator) RemovePeer(vm string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.peers, vm)
}

// accrue charges teams for calls that other VMs have yet to report: at the last
// measured rate of each VM and, once a VM is silent, at no less than an equal part
// of the team's rate.
func (e *Estimator) accrue(now time.Duration) {
	if now-e.lastAccrued < accrueInterval {
		return
	}
	e.lastAccrued = now
	size := float64(len(e.peers) + 1)
	for vm, p := range e.peers {
		if now-p.lastMessage > peerTimeout {
			delete(e.peers, vm)
			continue
		}
		if now <= p.accruedUntil {
			continue
		}
		for team, a := range e.accounts {
			rate := p.rates[team]
			if now-p.lastMessage > max(silenceTimeout, time.Duration(maxMissedIntervals*float64(p.interval))) {
				rate = max(rate, a.limits.Rate/size)
			}
			part := rate * (now - p.accruedUntil).Seconds()
			a.level -= part
			p.assumed[team] += part
		}
		p.accruedUntil = now
	}
}
