package gateway

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
)

// MaxRetryAfter bounds how long a server may ask for no requests.
const MaxRetryAfter = time.Minute

const (
	// invalidRetryAfterLogPeriod is the minimum time between two log lines on invalid
	// values.
	invalidRetryAfterLogPeriod = 10 * time.Second
	// retryAfterSpread is the share by which a Retry-After is extended at random, so that
	// callers do not all return at once; minRetryAfterSpread is the least extension.
	retryAfterSpread    = 0.25
	minRetryAfterSpread = 200 * time.Millisecond
)

// errBackoff ends a call before whose deadlines no server takes requests.
var errBackoff = errors.New("all servers asked for no requests")

// logLimiter limits how often a line is logged. The zero value is ready to use.
type logLimiter struct{ last atomic.Int64 }

// allow reports whether the line may be logged.
func (l *logLimiter) allow(now, period time.Duration) bool {
	last := l.last.Load()
	return (last == 0 || now-time.Duration(last) >= period) && l.last.CompareAndSwap(last, int64(now))
}

// recordBackoff records the Retry-After of a response. From then until its end this VM
// sends the server nothing. At most two requests may reach it from half a second after
// the response; that leaves room for those that are on their way.
func (g *Gateway) recordBackoff(a *Attempt, resp *Response) {
	now := g.now()
	s := a.Server
	if resp.InvalidRetryAfter != "" {
		g.metrics.incrementCounter("retry_after_invalid")
		if g.invalidRetryAfterLog.allow(now, invalidRetryAfterLogPeriod) {
			event.RetryAfterInvalid.Log(g.log, nil, log.Fields{"server": s.ID, "value": resp.InvalidRetryAfter, "ms": resp.RetryAfter.Milliseconds()})
		}
	}
	if resp.RetryAfter <= 0 {
		return
	}
	g.metrics.incrementCounter("server_backoff_responses")
	if g.table.RecordBackoff(s.ID, s.Born, now+resp.RetryAfter, now) {
		event.BackoffBegan.Log(g.log, nil, log.Fields{"server": s.ID, "request": a.Call.ID, "ms": resp.RetryAfter.Milliseconds()})
	}
}

// allBackOff reports whether all servers of a call's service have asked for no requests
// until after half its latency goal, for which it can wait, and sets the Retry-After of
// its refusal.
func (g *Gateway) allBackOff(f *forwardedCall) bool {
	now := g.now()
	end, ok := g.table.EarliestBackoffEnd(f.service, now)
	if !ok || end <= now+f.route.LatencyGoal/2 {
		return false
	}
	left := end - now
	spread := max(minRetryAfterSpread, time.Duration(retryAfterSpread*float64(left)))
	f.retryAfter = left + time.Duration(rand.Float64()*float64(spread))
	return true
}
