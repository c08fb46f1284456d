package pace

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// growthPeriod is the time between two changes of a limit. It exceeds the lag of the
	// loads that VMs report to each other. It doubles with each change for the worse in a
	// row, up to maxSlowdowns times.
	growthPeriod = 400 * time.Millisecond
	maxSlowdowns = 2
	growth       = 2.0
	shrinkage    = 0.5
	// startShare is the share of the mean load of settled servers at which a limit starts.
	startShare = 0.5
	// settledShare is the multiple of that mean from which a limit has no effect.
	settledShare = 2.0
	// minLimit lets one VM try a server.
	minLimit = 1.0
	// slowRatio is the smoothed ratio of response times above which a server is slow, and
	// ratioWeight the weight of a new one.
	slowRatio   = 2.0
	ratioWeight = 0.3
	// minGoodResponses settle a server; without traffic, maxUnprovenTime does.
	minGoodResponses = 2
	maxUnprovenTime  = 10 * time.Second
	// maxColdTime bounds how long the list can say that a server is cold.
	maxColdTime = time.Minute
	// forgetAfter is when a limit is removed whose server is no longer seen.
	forgetAfter = time.Minute
	// rankPeriod is how often the rank of this VM is computed.
	rankPeriod = time.Second
)

// Server is what is known of a server when a call is placed.
type Server struct {
	ID   string
	Born int64
	// Load is the number of calls of all VMs, InFlight of this one.
	Load     int
	InFlight int
	// New is set if the server has just started. ColdLeft is how much longer it stays slow
	// according to the list.
	New      bool
	ColdLeft time.Duration
	// Down is set while the server fails, loads weights or asks for no calls, and Failed
	// until it answers after failures.
	Down   bool
	Failed bool
	// Draining servers do not count.
	Draining bool
}

// Change is a change of a limit that is worth a log line.
type Change struct {
	ID string
	// Kind is what happened.
	Kind ChangeKind
	// Limit is the number of calls of all VMs, Ratio the smoothed ratio of response times.
	Limit, Ratio float64
	// Paced is how long the server has been paced.
	Paced time.Duration
}

// ChangeKind is a kind of Change.
type ChangeKind int

// Kinds of changes.
const (
	// Began means that a server has started, or has stopped failing or loading weights.
	Began ChangeKind = iota
	// Slowed means that it responds more slowly than settled servers.
	Slowed
	// Settled means that it has no limit any more.
	Settled
)

type incarnation struct {
	id   string
	born int64
}

// limit is the state of a server that is not settled, or was not until recently.
type limit struct {
	// total is the limit on the calls of all VMs.
	total     float64
	since     time.Duration
	changedAt time.Duration
	seenAt    time.Duration
	// slowdowns counts the changes for the worse, less those for the better since.
	slowdowns int
	// ratio is the smoothed ratio of response times, samples their number since the last
	// change, and good the number that were part of a change for the better.
	ratio   float64
	samples int
	good    int
	// waiting counts the calls of this VM that have no response yet.
	waiting int
	down    bool
	// settled limits have no effect. They are kept while the server counts as new or failed.
	settled bool
	// listedCold is the last ColdLeft, which ends at coldUntil.
	listedCold time.Duration
	coldUntil  time.Duration
	// rank is the place of this VM among all, by hashes of the incarnation and the VM.
	rank     int
	rankedAt time.Duration
}

// Tracker holds the limits of one VM. It is safe for concurrent use.
type Tracker struct {
	vm       string
	onChange func(Change)

	mu      sync.Mutex // guards the fields below
	limits  map[incarnation]*limit
	typical map[string]*typical
}

// NewTracker returns a tracker without limits. OnChange must not call the tracker.
func NewTracker(vm string, onChange func(Change)) *Tracker {
	return &Tracker{vm: vm, onChange: onChange, limits: make(map[incarnation]*limit), typical: make(map[string]*typical)}
}

// AtLimit reports which of the n servers of a service have as many calls of this VM in
// flight as they should. It returns nil if none has a limit. VMs returns the names of all
// known VMs, including this one.
func (t *Tracker) AtLimit(n int, server func(int) Server, vms func() []string, now time.Duration) []bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	settled, load := 0, 0
	var paced []int
	for i := range n {
		s := server(i)
		if t.observe(&s, now) {
			paced = append(paced, i)
		} else if !s.Draining {
			settled++
			load += s.Load
		}
	}
	if len(paced) == 0 {
		return nil
	}
	names := vms()
	mean := 0.0
	if settled > 0 {
		mean = float64(load) / float64(settled)
	}
	out := make([]bool, n)
	for _, i := range paced {
		s := server(i)
		l := t.limits[incarnation{s.ID, s.Born}]
		t.step(l, &s, mean, len(names), now)
		// Without a settled server there is nothing to compare with, and no other server
		// that could take the calls.
		if settled > 0 && !l.settled {
			out[i] = s.InFlight >= t.share(l, &s, names, now)
		}
	}
	return out
}

// observe reports whether a server is paced, which it is from when it is seen as new,
// down or failed until it is settled.
func (t *Tracker) observe(s *Server, now time.Duration) bool {
	key := incarnation{s.ID, s.Born}
	l := t.limits[key]
	begins := s.New || s.ColdLeft > 0 || s.Down || s.Failed
	switch {
	case l == nil && !begins:
		return false
	case l == nil:
		t.forget(now)
		l = &limit{since: now, changedAt: now, ratio: 1}
		t.limits[key] = l
	case l.settled && !begins:
		delete(t.limits, key)
		return false
	case l.settled && s.Down:
		*l = limit{since: now, changedAt: now, ratio: 1, waiting: l.waiting, slowdowns: l.slowdowns}
	}
	l.seenAt = now
	if s.ColdLeft > 0 && s.ColdLeft != l.listedCold {
		l.listedCold, l.coldUntil = s.ColdLeft, now+min(s.ColdLeft, maxColdTime)
	}
	return !l.settled
}

// forget removes the limits of servers that are no longer listed.
func (t *Tracker) forget(now time.Duration) {
	for k, l := range t.limits {
		if now-l.seenAt > forgetAfter {
			delete(t.limits, k)
		}
	}
}

// step changes a limit if it is due.
func (t *Tracker) step(l *limit, s *Server, mean float64, vms int, now time.Duration) {
	if s.Down {
		if !l.down && l.total > 0 {
			l.slowdowns = min(l.slowdowns+1, maxSlowdowns)
		}
		l.down, l.total, l.ratio, l.samples, l.good = true, 0, 1, 0, 0
		return
	}
	if l.total == 0 {
		l.down, l.total, l.changedAt = false, max(minLimit, startShare*mean), now
		t.report(s.ID, Began, l, now)
		return
	}
	if now-l.changedAt < growthPeriod<<l.slowdowns {
		return
	}
	slow := l.samples > 0 && l.ratio > slowRatio
	if l.samples == 0 && l.waiting > 0 {
		return
	}
	// Beyond this, each VM may have a call in flight and the server more than others.
	full := max(settledShare*mean, float64(vms))
	if slow {
		l.total = max(minLimit, min(l.total, full)*shrinkage)
		l.slowdowns, l.good = min(l.slowdowns+1, maxSlowdowns), 0
		t.report(s.ID, Slowed, l, now)
	} else {
		l.total *= growth
		l.slowdowns = max(0, l.slowdowns-1)
		l.good += l.samples
	}
	l.changedAt, l.samples = now, 0
	proven := l.good >= minGoodResponses || now-l.since > maxUnprovenTime
	if l.total >= full && l.slowdowns == 0 && proven && now >= l.coldUntil {
		l.settled = true
		t.report(s.ID, Settled, l, now)
	}
	l.total = min(l.total, full)
}

func (t *Tracker) report(id string, kind ChangeKind, l *limit, now time.Duration) {
	if t.onChange != nil {
		t.onChange(Change{ID: id, Kind: kind, Limit: l.total, Ratio: l.ratio, Paced: now - l.since})
	}
}

// share returns this VM's part of a limit. What does not divide by the number of VMs goes
// to those of the lowest rank, so that all VMs agree on who may send.
func (t *Tracker) share(l *limit, s *Server, vms []string, now time.Duration) int {
	if l.rankedAt == 0 || now-l.rankedAt >= rankPeriod {
		l.rank, l.rankedAt = rank(incarnation{s.ID, s.Born}, t.vm, vms), now
	}
	total, n := int(l.total), len(vms)
	if l.rank < total%n {
		return total/n + 1
	}
	return total / n
}

// rank returns how many VMs come before one by the hash of an incarnation and the VM.
func rank(i incarnation, vm string, vms []string) int {
	prefix := i.id + "/" + strconv.FormatInt(i.born, 10) + "/"
	own, n := xxhash.Sum64String(prefix+vm), 0
	for _, other := range vms {
		if xxhash.Sum64String(prefix+other) < own {
			n++
		}
	}
	return n
}

// Paced returns the number of servers that have a limit.
func (t *Tracker) Paced() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.limits {
		if !l.settled {
			n++
		}
	}
	return n
}

// Sample is a call whose time to the first byte is measured. It is safe for concurrent
// use.
type Sample struct {
	t      *Tracker
	limit  *limit
	class  string
	sentAt time.Duration
	ended  bool
}

// Begin begins the measurement of a call at a server. Calls of one class take as long as
// each other on settled servers. The caller must call End.
func (t *Tracker) Begin(id string, born int64, class string, sentAt time.Duration) *Sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &Sample{t: t, class: class, sentAt: sentAt}
	if l := t.limits[incarnation{id, born}]; l != nil && !l.settled {
		s.limit = l
		l.waiting++
	}
	return s
}

// Responded records the first byte of the response.
func (s *Sample) Responded(now time.Duration) {
	t := s.t
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.ended {
		return
	}
	s.end()
	y := t.typical[s.class]
	if s.limit != nil {
		s.limit.ratio += ratioWeight * (y.ratio(now-s.sentAt) - s.limit.ratio)
		s.limit.samples++
		return
	}
	if y == nil {
		if len(t.typical) >= maxTypicalClasses {
			clear(t.typical)
		}
		y = &typical{}
		t.typical[s.class] = y
	}
	y.add(now - s.sentAt)
}

// End ends the measurement, without a response if there was none.
func (s *Sample) End() {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.end()
}

func (s *Sample) end() {
	if !s.ended && s.limit != nil {
		s.limit.waiting--
	}
	s.ended = true
}
