package quota

import (
	"sync"
	"time"
)

// Times that the estimate keeps by.
const (
	// silence is the least time without word after which a VM is charged its
	// equal part of each rate; until then, as it charged before.
	silence = time.Second
	// missed is how many of its usual pauses between messages it may be silent.
	missed = 1.5
	// settled is the least time over which a VM's charges give its rate.
	settled = 50 * time.Millisecond
	// lost is after how long without word a VM counts as gone.
	lost = 15 * time.Second
	// accrueStep is the least time between two reckonings of what is assumed for
	// all VMs; calls in between use the last one.
	accrueStep = 20 * time.Millisecond
)

// Limits are a team's rate in tokens a second and burst in tokens.
type Limits struct {
	Rate  float64
	Burst float64
	// Tolerance is what a team may use beyond both before its rate counts as
	// exceeded, as far as the estimate may use it up.
	Tolerance float64
}

func (l Limits) most() float64 { return l.Burst + l.Tolerance }

// account is the estimate for one team.
type account struct {
	limits Limits
	// level is what the fleet has left; it may be negative.
	level float64
	at    time.Duration
	// own is what this VM charged since it started; it never decreases but by
	// refunds.
	own float64
}

// peer is what another VM told of its charges.
type peer struct {
	epoch  uint64
	heard  time.Duration
	totals map[string]float64
	// pause is the time between its last two messages.
	pause time.Duration
	// rates are its charges a second between its last two messages.
	rates map[string]float64
	// assumed is what was charged for it since its last message.
	assumed map[string]float64
	// accrued is until when assumed is worked out.
	accrued time.Duration
}

// Estimator estimates what teams have left. It is safe for concurrent use.
type Estimator struct {
	// full accounts start with all that they may hold, others with half of
	// their spare.
	full bool

	mu       sync.Mutex // guards the fields below
	accounts map[string]*account
	peers    map[string]*peer
	accrued  time.Duration
}

// NewEstimator returns a Fleet. Full accounts start with the whole burst; else a VM
// that joins does not know what was used before.
func NewEstimator(full bool) *Estimator {
	return &Estimator{full: full, accounts: make(map[string]*account), peers: make(map[string]*peer)}
}

func (f *Estimator) account(team string, l Limits, now time.Duration) *account {
	a := f.accounts[team]
	if a == nil {
		a = &account{limits: l, level: l.Tolerance / 2, at: now}
		if f.full {
			a.level = l.most()
		}
		f.accounts[team] = a
	}
	if a.limits != l {
		a.refill(now)
		a.limits = l
		a.level = min(a.level, l.most())
	}
	a.refill(now)
	return a
}

func (a *account) refill(now time.Duration) {
	if now > a.at {
		a.level = min(a.limits.most(), a.level+a.limits.Rate*(now-a.at).Seconds())
		a.at = now
	}
}

// Take charges a team. If the fleet is short it reports after how long it
// should have enough.
func (f *Estimator) Take(team string, l Limits, tokens float64, now time.Duration) (bool, time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accrue(now)
	a := f.account(team, l, now)
	// A call above what an account can hold starts from a full one.
	need := min(tokens, l.most())
	if a.level < need {
		return false, time.Duration((need - a.level) / l.Rate * float64(time.Second))
	}
	a.level -= tokens
	a.own += tokens
	return true, 0
}

// Refund gives back the charge of a call that did not run.
func (f *Estimator) Refund(team string, tokens float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a := f.accounts[team]; a != nil {
		a.level = min(a.limits.most(), a.level+tokens)
		a.own -= tokens
	}
}

// Totals returns what this VM charged to each team since it started.
func (f *Estimator) Totals() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.accounts))
	for team, a := range f.accounts {
		if a.own != 0 {
			out[team] = a.own
		}
	}
	return out
}

// UpdatePeer takes in another VM's totals; those of teams that it does not name are as
// before. Epoch tells its processes apart.
func (f *Estimator) UpdatePeer(vm string, epoch uint64, totals map[string]float64, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accrue(now)
	p := f.peers[vm]
	if p == nil || p.epoch != epoch {
		first := p == nil && !f.full
		p = &peer{
			epoch: epoch, totals: make(map[string]float64), rates: make(map[string]float64), assumed: make(map[string]float64),
		}
		f.peers[vm] = p
		if first {
			// What it charged before this VM knew of it is not in the level.
			for team, n := range totals {
				p.totals[team] = n
			}
		}
	}
	since := now - p.heard
	known := p.heard > 0
	if known {
		p.pause = since
	}
	p.heard, p.accrued = now, now
	for team := range p.assumed {
		if _, named := totals[team]; !named {
			p.settle(f.accounts[team], team, p.totals[team], now)
		}
	}
	for team, n := range totals {
		used := n - p.totals[team]
		if known && since >= settled {
			p.rates[team] = max(0, used/since.Seconds())
		}
		p.settle(f.accounts[team], team, n, now)
	}
}

// settle sets what a VM charged to a team off against what was assumed.
func (p *peer) settle(a *account, team string, total float64, now time.Duration) {
	used := total - p.totals[team]
	p.totals[team] = total
	if a != nil {
		a.refill(now)
		a.level = min(a.limits.most(), a.level-(used-p.assumed[team]))
	}
	delete(p.assumed, team)
}

// RemovePeer forgets a VM that has ended.
func (f *Estimator) RemovePeer(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.peers, vm)
}

// accrue charges for the VMs what they will tell of: as they charged before,
// and once they are silent at least their equal part of each rate.
func (f *Estimator) accrue(now time.Duration) {
	if now-f.accrued < accrueStep {
		return
	}
	f.accrued = now
	size := float64(len(f.peers) + 1)
	for vm, p := range f.peers {
		if now-p.heard > lost {
			delete(f.peers, vm)
			continue
		}
		if now <= p.accrued {
			continue
		}
		for team, a := range f.accounts {
			rate := p.rates[team]
			if now-p.heard > max(silence, time.Duration(missed*float64(p.pause))) {
				rate = max(rate, a.limits.Rate/size)
			}
			part := rate * (now - p.accrued).Seconds()
			a.level -= part
			p.assumed[team] += part
		}
		p.accrued = now
	}
}
