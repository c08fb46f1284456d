package rollout

import (
	"fmt"
	"maps"
	"math"
	"time"
)

// Parameters of the exposure bound and the phases.
const (
	// reactionTime is how long the new version still gets calls after a fault begins, or
	// after the owner dies: counts and grants take up to 0.6 s each, and grants expire
	// after GrantTTL.
	reactionTime = 1200 * time.Millisecond
	// reportLag is how long calls may be missing from the counts: the delay of the grant
	// that allowed them and of the counts, 0.2 to 0.6 s each, on average over the VMs.
	reportLag = time.Second
	// announceTime is how long before the switch it is announced, so that a lost message
	// and the slowest VM do not delay it.
	announceTime = time.Second
	// rateWindow is the time over which the request rate is measured.
	rateWindow = 3 * time.Second
	// leastRateTime is the least time over which a rate is taken as measured.
	leastRateTime = 700 * time.Millisecond
	// leastRate in requests per second is assumed where fewer are measured.
	leastRate = 3
	// A probe under full load is made if the last phase is too short to show a fault under
	// load and to let the counts arrive: for probeCalls, within the limits, and at most
	// probePart of the exposures that are left. With less than fewestCalls it would show
	// nothing. Its counts arrive in probeReport.
	leastProbe  = 150 * time.Millisecond
	mostProbe   = 300 * time.Millisecond
	probeCalls  = 50
	fewestCalls = 20
	probePart   = 0.35
	probeReport = 1200 * time.Millisecond
	// probeTail is the time after the probe in which its slow answers arrive.
	probeTail = 2500 * time.Millisecond
	// canaryPart is the least part of the permitted exposures that is used before the
	// switch, mostCanaryPart the most. A small service uses up to smallCanaryPart for
	// canaryCalls, because it has too few answers to tell the versions apart otherwise.
	canaryPart      = 0.1
	mostCanaryPart  = 0.8
	smallCanaryPart = 0.4
	canaryCalls     = 45
	// expectedLag is the least delay of counts; the requests of that time are expected in
	// addition to those counted.
	expectedLag = 200 * time.Millisecond
	// mostCanaryShare keeps a concurrent baseline.
	mostCanaryShare = 0.5
	// switchPart is the most of the duration that the last phase may take.
	switchPart = 0.4
	// blockedPart is the part of the last phase that must be left when a difference that
	// kept it from beginning is gone.
	blockedPart = 0.7
	// fullTime is how long all calls go to the new version, where the bound allows, before
	// it is done: a fault that shows only under load has to be reported and the calls of
	// the old servers have to end.
	fullTime = 1800 * time.Millisecond
	// slowPersistence is how long a version must be slow before this counts, outside of
	// the last phase: servers that have just started are slow at first. It is at most a
	// fifth of the time until a rollback must be in force, and lastingTime two fifths.
	slowPersistence = time.Second
	// latestDecision is the time before the deadline at which done or rolled_back is
	// decided at the latest. The status has to be written by the deadline.
	latestDecision = 200 * time.Millisecond
	// leadTimeShare divides the duration into the time before the deadline at which the
	// result is decided, within minLeadTime and maxLeadTime.
	leadTimeShare = 40
	minLeadTime   = 250 * time.Millisecond
	maxLeadTime   = time.Second
	// enoughAnswers of the new version, or enoughPart of the requests if these are fewer,
	// are needed for done.
	enoughAnswers = 10
	enoughPart    = 0.03
)

// decided is a share and the time from which it was.
type decided struct {
	at    time.Duration
	share float64
}

// Controller decides on one rollout. It is not safe for concurrent use.
type Controller struct {
	last Decision
	now  time.Duration
	// history holds the evidence of the last historyLength, oldest first.
	history []sample
	// rateFrom is the start of the time over which rates are measured. Before the counts
	// are complete, totals rise because VMs are heard for the first time.
	rateFrom time.Duration
	complete bool
	// shares are the decisions of the last reportLag, oldest first.
	shares []decided
	// missing is the number of recorded exposures that the counts lack, because VMs ended.
	missing float64
	// hiddenRequests and hiddenExposures estimate what silent VMs have had.
	hiddenRequests  float64
	hiddenExposures float64
	silent          float64
	// slowSince is since when the version has been slow, -1 if it is not.
	slowSince time.Duration
	// worseSince is since when the finding has been below lastingLevel, -1 if it is not.
	worseSince time.Duration
	// fullSince is since when all calls go to the new version, -1 if they do not.
	fullSince time.Duration
	// oldSentAt is when the number of calls to the old version last changed.
	oldSentAt time.Duration
	sawOld    bool
	// probe and probeEnd are the time left at which the probe begins and ends, zero if
	// there is none.
	probe    time.Duration
	probeEnd time.Duration
	// since is the evidence at the end of the probe. Most answers of the new version up to
	// then may be of the probe, that is of another time than those of the old one.
	since sample
	// doubt is the finding before the probe.
	doubt finding
	// blocked is the reason why the last phase has not begun in time, empty if it has.
	blocked string
}

// NewController returns a controller that has decided nothing.
func NewController() *Controller {
	return &Controller{last: Decision{State: Running}, doubt: finding{probability: 1}, slowSince: -1, worseSince: -1, fullSince: -1}
}

// Step returns the decision for a view. It must be called several times a second; the times
// of the views must not decrease. Done and rolled_back are final.
func (c *Controller) Step(v View) Decision {
	if c.last.State != Running {
		return c.last
	}
	v.Elapsed = max(v.Elapsed, c.now)
	d := c.decide(v)
	c.now = v.Elapsed
	if d.State != Running {
		d.Last, d.Probe, d.ProbeEnd = 0, 0, 0
	}
	if d.Share < 1 {
		c.fullSince = -1
	} else if c.fullSince < 0 {
		c.fullSince = v.Elapsed
	}
	c.shares = append(c.shares, decided{at: v.Elapsed, share: d.Share})
	for len(c.shares) > 1 && c.shares[1].at <= v.Elapsed-reportLag {
		c.shares = c.shares[1:]
	}
	c.last = d
	return d
}

func running(share float64, reason string) Decision {
	return Decision{State: Running, Share: share, Reason: reason}
}

func done(reason string) Decision { return Decision{State: Done, Share: 1, Reason: reason} }

func rolledBack(reason string) Decision { return Decision{State: RolledBack, Reason: reason} }

func (c *Controller) decide(v View) Decision {
	if v.Recorded.State == Done {
		return done("recorded by an earlier owner")
	}
	if v.Recorded.State == RolledBack {
		return rolledBack("recorded by an earlier owner")
	}
	if err := v.Order.Validate(); err != nil {
		return running(0, "invalid order: "+err.Error())
	}
	c.observe(v)
	full := c.fullSince >= 0
	left := v.Order.Duration - v.Elapsed
	scope := scope{allNew: full, uneven: full || left <= c.probe, silent: v.Silent > 0, since: c.since}
	if c.probe > 0 {
		scope.probeStart, scope.tailEnd = v.Order.Duration-c.probe, v.Order.Duration-c.probeEnd+probeTail
	}
	found := compare(c.history, scope)
	// The old version has no answers of the time of the probe, and the fleet's load may
	// have changed, so the verdict waits for its next ones.
	probing := left <= c.probe && left > c.probeEnd-probeReport
	if reason, bad := c.bad(found, v); bad && !probing {
		return rolledBack(reason)
	}
	if left > c.probe || c.probe == 0 {
		c.doubt = found
	}
	if c.probe > 0 && !probing && left <= c.probe && c.since.total == nil {
		if found.probability < finalLevel {
			return rolledBack("under full load " + found.reason)
		}
		c.since = c.history[len(c.history)-1]
	}
	if left <= leadTime(v.Order) {
		if d := c.finish(v, found, left); d.State != Running || left <= latestDecision {
			return d
		}
	}
	switch {
	case !v.Complete:
		return running(0, "waiting for the counts of all VMs")
	case v.NewServers == 0:
		return running(0, "no servers of the new version")
	case v.OldServers == 0 && !c.sawOld && v.OldCalls == 0 && v.Total.side(Old).Sent == 0:
		return done("all servers run this version")
	case v.OldServers == 0:
		return running(1, "no servers of other versions")
	}
	return c.share(v, found, left)
}

// leadTime returns the time before the deadline at which the result is decided. It leaves
// time for writing the status.
func leadTime(o Order) time.Duration {
	return min(max(o.Duration/leadTimeShare, minLeadTime), maxLeadTime)
}

// observe takes in the evidence of a view.
func (c *Controller) observe(v View) {
	old := v.Total.side(Old).Sent
	if len(c.history) == 0 || old != c.history[len(c.history)-1].total.side(Old).Sent {
		c.oldSentAt = v.Elapsed
	}
	c.history = append(c.history, sample{at: v.Elapsed, total: maps.Clone(v.Total)})
	for len(c.history) > 2 && c.history[1].at <= v.Elapsed-historyLength {
		c.history = c.history[1:]
	}
	if v.Complete && !c.complete {
		c.complete, c.rateFrom = true, v.Elapsed
		c.missing = max(0, float64(v.Recorded.Exposures-v.Total.side(New).Sent))
		c.history = c.history[len(c.history)-1:]
	}
	c.sawOld = c.sawOld || v.OldServers > 0
	c.observeSilence(v)
}

// observeSilence estimates what silent VMs have had since they were last heard. Their calls
// of the last reportLag are in the pending exposures of all VMs.
func (c *Controller) observeSilence(v View) {
	if v.Silent < c.silent {
		part := v.Silent / c.silent
		c.hiddenRequests *= part
		c.hiddenExposures *= part
	}
	if v.Silent > 0 && len(c.shares) > 0 {
		elapsed := v.Elapsed - c.now
		if v.Silent > c.silent {
			elapsed += GrantTTL
		}
		requests := v.Silent * c.rate(v) * elapsed.Seconds()
		c.hiddenRequests += requests
		c.hiddenExposures += requests * c.shares[0].share
	}
	c.silent = v.Silent
}

// requests returns the number of requests in the counts. Failed calls may have been
// repeated and are left out.
func requests(e Evidence) float64 {
	old, fresh := e.side(Old), e.side(New)
	return float64(max(0, old.Sent+fresh.Sent-old.Failed-fresh.Failed))
}

// rate returns the calls per second of all VMs, silent ones included.
func (c *Controller) rate(v View) float64 {
	now := c.history[len(c.history)-1]
	heard := 1 - min(v.Silent, 0.9)
	over := func(w time.Duration) (float64, time.Duration) {
		from := before(c.history, max(now.at-w, c.rateFrom))
		span := now.at - from.at
		if span <= 0 {
			return 0, 0
		}
		calls := now.total.side(Old).Sent + now.total.side(New).Sent -
			from.total.side(Old).Sent - from.total.side(New).Sent
		return float64(max(0, calls)) / span.Seconds() / heard, span
	}
	long, span := over(rateWindow)
	if span < leastRateTime {
		// An owner that took over has the average since the order.
		long = 0
		if v.Elapsed > 0 {
			total := now.total.side(Old).Sent + now.total.side(New).Sent
			long = float64(max(total, v.Recorded.Requests)) / v.Elapsed.Seconds() / heard
		}
		return long
	}
	// A surge shows in the short window first.
	if short, s := over(time.Second); s >= leastRateTime && short > long+4*math.Sqrt(long/s.Seconds()) {
		return short
	}
	return long
}

// budget is what a decision on the share is bounded by.
type budget struct {
	// permitted is the number of exposures that a bad version may get in all, less a
	// margin; spent those so far, at most.
	permitted float64
	spent     float64
	// likely is spent without the calls that have probably been counted by now.
	likely float64
	// rate is the number of calls per second.
	rate float64
}

func (c *Controller) budget(v View, left time.Duration) budget {
	rate := c.rate(v)
	known := max(requests(v.Total), float64(v.Recorded.Requests)) + c.hiddenRequests
	expected := known + rate*(max(0, left)+expectedLag).Seconds()
	bound := v.Bounds.ExposureShare*expected + v.Bounds.ExposureSlack
	// One standard deviation of the measured rate, and one and a half of the number of
	// calls, which are chosen by chance.
	b := budget{rate: max(rate+math.Sqrt(rate/rateWindow.Seconds()), leastRate)}
	b.permitted = max(0, bound*0.99-1.5*math.Sqrt(bound))
	counted := float64(v.Total.side(New).Sent) + c.missing + c.hiddenExposures
	if c.probe > 0 && left > c.probeEnd-reportLag {
		counted += b.rate * (c.probe - c.probeEnd).Seconds()
	}
	b.spent = counted + b.rate*c.pending(v.Elapsed, reportLag)
	b.likely = counted + b.rate*c.pending(v.Elapsed, reportLag/2)
	return b
}

// pending returns the sum over time of the shares decided since the given time, in seconds.
func (c *Controller) pending(now, since time.Duration) float64 {
	sum, end := 0.0, now
	for i := len(c.shares) - 1; i >= 0 && end > now-since; i-- {
		from := max(c.shares[i].at, now-since)
		sum += c.shares[i].share * (end - from).Seconds()
		end = c.shares[i].at
	}
	return sum
}

// bad reports whether the difference found shows that the version is bad.
func (c *Controller) bad(f finding, v View) (string, bool) {
	now := v.Elapsed
	if f.probability >= lastingLevel {
		c.worseSince = -1
	} else if c.worseSince < 0 {
		c.worseSince = now
	}
	if f.probability >= abortLevel {
		c.slowSince = -1
		return f.reason, c.worseSince >= 0 && now-c.worseSince >= min(lastingTime, v.Bounds.Rollback*2/5)
	}
	if !f.slow || c.fullSince >= 0 {
		return f.reason, true
	}
	if c.slowSince < 0 {
		c.slowSince = now
	}
	return f.reason, now-c.slowSince >= min(slowPersistence, v.Bounds.Rollback/5)
}

// finish decides the result shortly before the deadline. It returns a running state if
// calls of old servers may still end.
func (c *Controller) finish(v View, f finding, left time.Duration) Decision {
	fresh, old := v.Total.side(New), v.Total.side(Old)
	switch {
	case f.probability < finalLevel:
		return rolledBack("not proven good by the deadline: " + f.reason)
	case c.blocked != "":
		return rolledBack("not proven good by the deadline: " + c.blocked)
	case c.doubt.probability < finalLevel && compareCounts("", fresh, old, old).probability < finalLevel:
		// The difference before the probe is still there with all answers.
		return rolledBack("not proven good by the deadline: " + c.doubt.reason)
	case v.NewServers == 0:
		return rolledBack("no servers of the new version by the deadline")
	case float64(fresh.completed()) < min(enoughAnswers, enoughPart*requests(v.Total)):
		return rolledBack(fmt.Sprintf("not proven good by the deadline: %d answers of the new version", fresh.completed()))
	case v.OldCalls == 0:
		return done("no difference found by the deadline")
	case left <= latestDecision:
		return done(fmt.Sprintf("deadline reached with %d calls on old servers", v.OldCalls))
	}
	return running(1, "calls on old servers end")
}

// share decides how much of the traffic the new version gets.
func (c *Controller) share(v View, f finding, left time.Duration) Decision {
	if v.Bounds == (Bounds{}) {
		return running(0, "no bounds are set")
	}
	if v.Elapsed-c.rateFrom < leastRateTime && v.Recorded.Requests == 0 {
		return running(0, "measuring the request rate")
	}
	b := c.budget(v, left)
	lead := leadTime(v.Order)
	if c.fullSince >= 0 {
		if b.likely > b.permitted {
			return running(0, "exposures reached the bound")
		}
		if f.probability >= finalLevel && c.settled(v) {
			return done("all calls go to the new version and those of the old servers have ended")
		}
		return running(1, "all calls go to the new version")
	}
	if b.spent >= b.permitted {
		return running(0, "exposures reached the bound")
	}
	// The exposures allow all traffic for this long. The mean time of the old servers' calls
	// follows from their number and rate.
	allowed := (b.permitted - b.spent) / b.rate
	callTime := float64(v.OldCalls) / b.rate
	wanted := (fullTime + lead).Seconds() + 4*callTime
	least := max(canaryPart, min(smallCanaryPart, canaryCalls/max(b.permitted, 1)))
	canary := b.permitted * min(max(1-wanted*b.rate/max(b.permitted, 1), least), mostCanaryPart)
	last := min(allowed, wanted, switchPart*v.Order.Duration.Seconds())
	if last < wanted {
		last = min(last+v.GrantDelay.Seconds(), wanted)
	}
	switchAt := time.Duration(last * float64(time.Second))
	if f.probability < finalLevel {
		if left <= switchAt {
			c.blocked = f.reason
		}
		switchAt = 0
	}
	share := min(canary/(b.rate*v.Order.Duration.Seconds()), mostCanaryShare)
	share = max(0, min(share, (b.permitted-b.spent)/(b.rate*min(reactionTime, left).Seconds())))
	if c.blocked != "" && left.Seconds() < blockedPart*last {
		// A switch now would cut the calls of old servers.
		return running(share, "too late for the last phase: "+c.blocked)
	}
	if left <= switchAt && c.reachable(v) {
		c.blocked = ""
		return Decision{State: Running, Share: 1, Last: switchAt, Reason: "last phase: all calls go to the new version"}
	}
	d := running(share, "the new version is compared with the old one")
	if switchAt > 0 && left <= switchAt+announceTime && c.reachable(v) {
		d.Last = switchAt
	}
	if c.probe == 0 && last < wanted && c.reachable(v) {
		length := min(max(probeCalls/b.rate, leastProbe.Seconds()), mostProbe.Seconds(), probePart*allowed)
		probe := time.Duration(length * float64(time.Second))
		start := time.Duration(last*float64(time.Second)) + announceTime + probeReport
		if left <= start+announceTime && left > start && length*b.rate >= fewestCalls {
			c.probe, c.probeEnd = start, start-probe
		}
	}
	if c.probe > 0 && left > c.probeEnd {
		d.Probe, d.ProbeEnd = c.probe, c.probeEnd
	}
	return d
}

// reachable reports whether the new version has answered, if it could have.
func (c *Controller) reachable(v View) bool {
	return float64(v.Total.side(New).completed()) >= min(3, enoughPart*requests(v.Total)/2)
}

// settled reports whether the rollout is done before its deadline: all calls have gone to
// the new version for fullTime, all VMs say so, and no call runs on an old server.
func (c *Controller) settled(v View) bool {
	return v.Elapsed-c.fullSince >= fullTime && v.OldCalls == 0 && v.Silent == 0 &&
		v.Elapsed-c.oldSentAt >= reactionTime/2 &&
		float64(v.Total.side(New).completed()) >= min(enoughAnswers, enoughPart*requests(v.Total))
}
