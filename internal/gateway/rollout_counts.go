package gateway

import (
	"context"
	"errors"
	"math/bits"
	"sync"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

// processID names a process of a VM.
type processID struct {
	vm    string
	epoch uint64
}

// peerCounts are the counts of another process.
type peerCounts struct {
	counts  rollout.Evidence
	heardAt time.Duration
	// fresh is set if counts have arrived since they were last sent on.
	fresh bool
}

// count changes the counts of a server's side and a route, if a rollout of the service is
// running under the order of a revision.
func (r *rollouts) count(service, release, route string, revision int64, change func(*rollout.Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil || s.order.Revision != revision {
		return
	}
	key := rollout.Key{Side: rollout.Old, Route: route}
	if s.isTarget(release) {
		key.Side = rollout.New
	}
	c := s.own[key]
	change(&c)
	s.own[key] = c
}

// callSample counts what becomes of one attempt of a call while a rollout is running. A
// nil callSample counts nothing.
type callSample struct {
	rollouts                *rollouts
	service, release, route string
	revision                int64
	sentAt                  time.Duration
	timed, ended            bool
}

// sample returns the sample of an attempt that was made at a time.
func (r *rollouts) sample(f *forwardedCall, server backend.Server, sentAt time.Duration) *callSample {
	if !r.enabled {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[f.service]
	if s == nil || !s.isRunning() {
		return nil
	}
	return &callSample{
		rollouts: r, service: f.service, release: server.Release, route: f.route.Name, revision: s.order.Revision, sentAt: sentAt,
	}
}

// sentCounter returns a function that counts an attempt as sent the first time.
func (r *rollouts) sentCounter(f *forwardedCall, server backend.Server) func() {
	c := r.sample(f, server, 0)
	if c == nil {
		return func() {}
	}
	return sync.OnceFunc(func() { c.count(func(n *rollout.Counts) { n.Sent++ }) })
}

func (c *callSample) count(change func(*rollout.Counts)) {
	c.rollouts.count(c.service, c.release, c.route, c.revision, change)
}

// firstByte counts the time to the first byte, or the time for which none has come.
func (c *callSample) firstByte(now time.Duration) {
	if c == nil || c.timed {
		return
	}
	c.timed = true
	bucket := latencyBucket(now - c.sentAt)
	c.count(func(n *rollout.Counts) { n.Latency[bucket]++ })
}

// answered counts a complete answer, which may report a failure.
func (c *callSample) answered(failure bool, now time.Duration) {
	if c == nil || c.ended {
		return
	}
	c.firstByte(now)
	c.ended = true
	c.count(func(n *rollout.Counts) {
		if failure {
			n.Failed++
		} else {
			n.Answered++
		}
	})
}

// broken counts an attempt that failed with an error. An answer that the caller did not
// wait for counts with the time for which it had not come.
func (c *callSample) broken(ctx context.Context, err error, now time.Duration) {
	switch {
	case c == nil || c.ended, errors.Is(err, upstream.ErrUnsent), errors.Is(err, buffer.ErrFull):
		// The server has had no part in it, or could not be reached.
	case ctx.Err() == nil, errors.Is(context.Cause(ctx), errServerSilent):
		c.answered(true, now)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		c.firstByte(now)
	}
}

// refused counts an answer that says that the call has not run. It says nothing of the
// version: servers refuse calls when they are overloaded.
func (c *callSample) refused() {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	c.count(func(n *rollout.Counts) { n.Answered++ })
}

// sampleAttempt returns the sample of an attempt that is about to be made, or that has
// been made to take the call over.
func (g *Gateway) sampleAttempt(f *forwardedCall, c serverChoice) *callSample {
	if f.takeover != nil {
		return g.rollouts.sample(f, c.server, f.takeover.sentAt)
	}
	return g.rollouts.sample(f, c.server, g.now())
}

// latencyBucket returns the bucket of a time to the first byte. Bucket i counts times
// below 16 ms << i, the last one all others.
func latencyBucket(d time.Duration) int {
	units := uint64(max(0, d) / rollout.FirstLatencyBucket)
	return min(bits.Len64(units), rollout.LatencyBuckets-1)
}

// wireCounts returns counts in the form in which messages hold them.
func wireCounts(counts rollout.Evidence) []gossip.RouteCounts {
	out := make([]gossip.RouteCounts, 0, len(counts))
	for k, n := range counts {
		latency := n.Latency[:]
		for len(latency) > 0 && latency[len(latency)-1] == 0 {
			latency = latency[:len(latency)-1]
		}
		out = append(out, gossip.RouteCounts{New: k.Side == rollout.New, Route: k.Route, Sent: n.Sent, Answered: n.Answered, Failed: n.Failed, Latency: latency})
	}
	return out
}

// ownCounts returns the counts of this process for the rollouts that are running. A
// rollout without counts is listed, too, so that VMs know that the counts are current.
func (r *rollouts) ownCounts() []gossip.RolloutCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []gossip.RolloutCounts
	for name, s := range r.services {
		if s.isRunning() {
			out = append(out, gossip.RolloutCounts{Service: name, Revision: s.order.Revision, Routes: wireCounts(s.own)})
		}
	}
	return out
}

// isRunning reports whether the rollout has not ended.
func (s *serviceRollout) isRunning() bool {
	return s.order.Revision > 0 && s.state == rollout.Running && !s.withdrawn
}

// memberCounts returns the counts of the given processes that have arrived since the last
// call.
func (r *rollouts) memberCounts(members []gossip.Member) []gossip.MemberRollouts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []gossip.MemberRollouts
	for _, m := range members {
		var list []gossip.RolloutCounts
		for name, s := range r.services {
			p := s.peers[processID{m.VM, m.Epoch}]
			if p == nil || !p.fresh || !s.isRunning() {
				continue
			}
			p.fresh = false
			list = append(list, gossip.RolloutCounts{Service: name, Revision: s.order.Revision, Routes: wireCounts(p.counts)})
		}
		if len(list) > 0 {
			out = append(out, gossip.MemberRollouts{VM: m.VM, Epoch: m.Epoch, Counts: list})
		}
	}
	return out
}

// mergeCounts applies counts of another process. Counts never decrease, so that messages
// may arrive in any order.
func (r *rollouts) mergeCounts(vm string, epoch uint64, list []gossip.RolloutCounts, now time.Duration) {
	if !r.enabled || len(list) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range list {
		s := r.services[x.Service]
		if s == nil || s.order.Revision != x.Revision || !s.isRunning() {
			continue
		}
		id := processID{vm, epoch}
		p := s.peers[id]
		if p == nil {
			p = &peerCounts{counts: make(rollout.Evidence)}
			s.peers[id] = p
		}
		p.heardAt, p.fresh = now, true
		for _, n := range x.Routes {
			key := rollout.Key{Side: rollout.Old, Route: n.Route}
			if n.New {
				key.Side = rollout.New
			}
			c := p.counts[key]
			c.Sent, c.Answered, c.Failed = max(c.Sent, n.Sent), max(c.Answered, n.Answered), max(c.Failed, n.Failed)
			for i := range min(len(n.Latency), len(c.Latency)) {
				c.Latency[i] = max(c.Latency[i], n.Latency[i])
			}
			p.counts[key] = c
		}
	}
}

// total returns the counts of all processes, the part of the given VMs whose counts are
// older than rollout.GrantTTL, and whether all of them have been heard since a time.
func (s *serviceRollout) total(vms []string, self string, since, now time.Duration) (total rollout.Evidence, silent float64, complete bool) {
	all := []rollout.Evidence{s.own}
	heardAt := map[string]time.Duration{self: now}
	for id, p := range s.peers {
		all = append(all, p.counts)
		heardAt[id.vm] = max(heardAt[id.vm], p.heardAt)
	}
	complete = true
	silentVMs := 0
	for _, vm := range vms {
		at, heard := heardAt[vm]
		complete = complete && heard && at >= since
		if !heard || now-at > rollout.GrantTTL {
			silentVMs++
		}
	}
	if len(vms) > 0 {
		silent = float64(silentVMs) / float64(len(vms))
	}
	return rollout.Merge(all...), silent, complete
}

// sums returns the calls sent to servers of both sides, and to the new one.
func sums(e rollout.Evidence) (requests, exposures int64) {
	for k, n := range e {
		requests += n.Sent
		if k.Side == rollout.New {
			exposures += n.Sent
		}
	}
	return requests, exposures
}

// sides returns the counts of each side over all routes.
func sides(e rollout.Evidence) (old, updated rollout.Counts) {
	byRoute := make([]rollout.Evidence, 0, len(e))
	for k, n := range e {
		byRoute = append(byRoute, rollout.Evidence{{Side: k.Side}: n})
	}
	sum := rollout.Merge(byRoute...)
	return sum[rollout.Key{Side: rollout.Old}], sum[rollout.Key{Side: rollout.New}]
}
