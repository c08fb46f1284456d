package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/quarantine"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

const (
	// eventsOfBegunCall is the number of events with data that show that an engine has
	// begun to generate: one may precede a crash.
	eventsOfBegunCall = 2
	// trialOwnerTimeout is how long after its last message a VM may still be the one
	// that makes the trials of a part.
	trialOwnerTimeout = 4 * time.Second
	// maxPartIDBytes bounds the ID of a part in the evidence; longer ones are replaced by a
	// digest. maxLoggedParts bounds the parts in a log line.
	maxPartIDBytes = 32
	maxLoggedParts = 32
	// The size of a message is bounded by the numbers of its entries. The parts of a break
	// that exceed their number are told with the next messages.
	maxBreaksPerMessage      = 16
	maxBreakPartsPerMessage  = 512
	maxSuccessesPerMessage   = 128
	maxCutsPerMessage        = 64
	maxQuarantinesPerMessage = 16
)

// attemptProgress is what an attempt at an engine has received.
type attemptProgress struct {
	// head is set once the head of a response has arrived. It is no refusal.
	head   bool
	headAt time.Duration
	// events counts the events with data, firstEventAt is when the first one arrived.
	events       int
	firstEventAt time.Duration
	// succeeded is set once the engine has begun to generate.
	succeeded bool
}

// setHead records whether a response that has begun is no refusal.
func (p *attemptProgress) setHead(head bool, now time.Duration) {
	if p.head = head; head {
		p.headAt = now
	}
}

func incarnation(s backend.Server) quarantine.Engine {
	return quarantine.Engine{ID: s.ID, Born: s.Born}
}

// sharedPartIDs returns the parts of a call's prompt that may be put in quarantine: those
// that other calls may share.
func sharedPartIDs(c *Call) []string {
	if c.Prompt.Model == "" {
		return nil
	}
	shared := c.Prompt.SharedParts()
	ids := make([]string, len(shared))
	for i, p := range shared {
		ids[i] = boundedPartID(p.ID)
	}
	return ids
}

// boundedPartID returns an ID of at most maxPartIDBytes that stands for a part on all VMs.
func boundedPartID(id string) string {
	if len(id) <= maxPartIDBytes {
		return id
	}
	const digestBytes = 12
	sum := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(sum[:digestBytes])
}

// detach returns copies of strings that share their memory with nothing else.
func detach(texts []string) []string {
	joined := strings.Join(texts, "")
	out := make([]string, len(texts))
	for i, text := range texts {
		out[i], joined = joined[:len(text)], joined[len(text):]
	}
	return out
}

// quarantineRefusal returns the refusal of a call that has a part in quarantine and is
// no trial.
func (g *Gateway) quarantineRefusal(f *forwardedCall) *Refusal {
	if f.trial {
		return nil
	}
	part, retryAfter := g.quarantine.Check(f.sharedParts, g.now())
	if part == "" {
		return nil
	}
	f.quarantinedPart = part
	f.detail = "part " + part + " is in quarantine"
	return &Refusal{Reason: ReasonUnavailable, RetryAfter: retryAfter}
}

// admitPart refuses a call with a part in quarantine, unless the call may be the trial
// that shows whether the part still crashes engines.
func (g *Gateway) admitPart(f *forwardedCall) *Refusal {
	f.sharedParts = sharedPartIDs(f.call)
	r := g.quarantineRefusal(f)
	if r == nil {
		return nil
	}
	if now := g.now(); g.ownsKey(f.quarantinedPart) && g.quarantine.StartTrial(f.sharedParts, now) {
		f.trial, f.trialBegunAt, f.detail = true, now, ""
		event.QuarantineTrial.Log(g.log, nil, log.Fields{"request": f.call.ID, "part": f.quarantinedPart})
		return nil
	}
	g.recordPartRefusal(f, r)
	return r
}

// releaseTrial lets another call be the trial if this one has reached no engine.
func (g *Gateway) releaseTrial(f *forwardedCall) {
	if f.trial && f.possibleRuns == 0 {
		g.quarantine.CancelTrial(f.sharedParts, f.trialBegunAt)
	}
}

func (g *Gateway) recordPartRefusal(f *forwardedCall, r *Refusal) {
	event.PartRefused.Log(g.log, nil, log.Fields{"request": f.call.ID, "part": f.quarantinedPart, "after": r.RetryAfter.Milliseconds()})
	g.metrics.incrementCounter("quarantine_refusals")
}

// ownsKey reports whether this VM, among those in contact, is the one that acts for a
// key (rendezvous hashing).
func (g *Gateway) ownsKey(key string) bool {
	own := xxhash.Sum64String(key + "/" + g.settings.VM)
	for _, vm := range g.node.RecentVMs(trialOwnerTimeout) {
		if xxhash.Sum64String(key+"/"+vm) > own {
			return false
		}
	}
	return true
}

// isBrokenOff reports whether an attempt failed because the server, or what lies
// before it, ended the connection.
func isBrokenOff(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, upstream.ErrUnsent) || errors.Is(err, upstream.ErrMismatchedResponse) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// recordBreak takes note of an attempt that an engine broke off before it generated
// anything: a part of its prompt may have crashed the engine.
func (g *Gateway) recordBreak(ctx context.Context, f *forwardedCall, c serverChoice, err error) {
	if f.engine == nil || !isBrokenOff(ctx, err) {
		return
	}
	if id, now := incarnation(c.server), g.now(); f.progress.events >= eventsOfBegunCall {
		if g.quarantine.RecordCut(id, now) {
			g.quarantineUpdates.addCut(id, now)
		}
		return
	}
	if len(f.sharedParts) == 0 {
		return
	}
	b := quarantine.Break{
		Engine: incarnation(c.server), Request: xxhash.Sum64String(f.call.ID), Parts: detach(f.sharedParts), Head: f.progress.head, At: g.now(), Local: true,
	}
	if b.Head && f.progress.headAt > 0 {
		b.SinceHead = max(b.At-f.progress.headAt, time.Millisecond)
		b.Uptime = g.table.ListedFor(c.server.ID, c.server.Born, b.At)
	}
	order := g.quarantine.BySuspicion(b.Parts)
	event.CallBrokenOff.Log(g.log, err, log.Fields{
		"request": f.call.ID, "engine": c.server.ID, "born": c.server.Born, "parts": partsAt(b, order[:min(len(order), maxLoggedParts)]), "of": len(b.Parts),
		"head": b.Head, "events": f.progress.events,
	})
	f.trial = false
	g.quarantine.RecordOutcome(b.Parts, false, b.Head, b.At)
	if !b.Head {
		g.quarantineUpdates.addHeadless(b)
		return
	}
	f.brokenOffBy = b.Engine
	g.applyBreak(b)
	g.scheduleReview()
	g.probes.schedule(c.server)
	g.quarantineUpdates.addBreak(b, order)
	g.announcer.enqueue(func(m *gossip.Message) { g.quarantineUpdates.takeBreaks(m, g.now()) })
}

// partsAt returns the parts of a break with the given indexes, in prompt order.
func partsAt(b quarantine.Break, indexes []int) []string {
	sorted := slices.Sorted(slices.Values(indexes))
	out := make([]string, len(sorted))
	for i, at := range sorted {
		out[i] = b.Parts[at]
	}
	return out
}

// scheduleReview lets reviewQuarantines run once what other VMs know has arrived.
func (g *Gateway) scheduleReview() {
	if !g.reviewPending.Swap(true) {
		time.AfterFunc(quarantine.ReviewDelay, func() {
			g.reviewPending.Store(false)
			g.reviewQuarantines()
		})
	}
}

// applyBreak takes note of a break of this VM or another one.
func (g *Gateway) applyBreak(b quarantine.Break) {
	now := g.now()
	v, _ := g.quarantine.RecordBreak(b)
	for _, s := range v.Refuted {
		g.quarantineUpdates.addSuccess(s.Part, s.At)
	}
	for _, s := range v.Earlier {
		g.quarantineUpdates.addEarlierSuccess(s.Part, s.At)
	}
	if v.Quarantine != nil {
		g.recordVerdict(v, now)
	}
}

// reviewQuarantines puts parts in quarantine for which the evidence is enough by now. A
// VM whose own call was decisive tells the others at once; they decide on the same
// evidence, unless they lack some.
func (g *Gateway) reviewQuarantines() {
	now := g.now()
	m := &gossip.Message{}
	for _, v := range g.quarantine.Review(now) {
		g.recordVerdict(v, now)
		if v.Local {
			m.Quarantines = append(m.Quarantines, quarantineMessage(*v.Quarantine, now))
		}
	}
	if len(m.Quarantines) > 0 {
		g.broadcastDelta(m)
	}
}

// recordVerdict logs a new or renewed quarantine.
func (g *Gateway) recordVerdict(v quarantine.Verdict, now time.Duration) {
	fields := log.Fields{"part": v.Quarantine.Part, "until": (v.Quarantine.Until - now).Milliseconds()}
	if k := v.Case; k != nil {
		g.beginningCalls.cancel(v.Quarantine.Part)
		fields["engines"], fields["requests"], fields["instants"], fields["since"] = k.Engines, k.Requests, k.Instants, (now - k.Since).Milliseconds()
		fields["timing"] = k.Timing()
		event.QuarantineBegan.Log(g.log, nil, fields)
		g.metrics.incrementCounter("quarantines_begun")
	} else {
		event.QuarantineRenewed.Log(g.log, nil, fields)
	}
}

func quarantineMessage(q quarantine.Quarantine, now time.Duration) gossip.Quarantine {
	return gossip.Quarantine{
		Part: q.Part, SinceMillis: (now - q.Since).Milliseconds(), AskedMillis: (now - q.AskedAt).Milliseconds(),
		LeftMillis: (q.Until - now).Milliseconds(), HoldMillis: q.Hold.Milliseconds(),
	}
}

// recordProgress takes note of an event with data, or of a complete response.
func (g *Gateway) recordProgress(f *forwardedCall, complete bool) {
	p := &f.progress
	if !complete {
		if p.events++; p.events == 1 {
			p.firstEventAt = g.now()
		}
	}
	if p.succeeded || !complete && p.events < eventsOfBegunCall || f.engine == nil || len(f.sharedParts) == 0 {
		return
	}
	p.succeeded = true
	f.beginning.begun.Store(true)
	at := p.firstEventAt
	if at == 0 {
		at = g.now()
	}
	g.quarantine.RecordOutcome(f.sharedParts, true, true, at)
	suspect, ended := g.quarantine.RecordSuccess(f.sharedParts, at)
	for _, part := range suspect {
		g.quarantineUpdates.addSuccess(part, at)
	}
	g.logEnded(ended, "a call succeeded")
}

func (g *Gateway) logEnded(parts []string, why string) {
	for _, part := range parts {
		event.QuarantineEnded.Log(g.log, nil, log.Fields{"part": part, "why": why})
	}
}

// recordAnswer takes note of something that an engine has sent, which has not crashed
// then.
func (g *Gateway) recordAnswer(f *forwardedCall, s backend.Server) {
	if f.engine == nil || !g.quarantine.HasEvidence() {
		return
	}
	if id, now := incarnation(s), g.now(); g.quarantine.RecordAnswer(id, now) {
		g.quarantineUpdates.addAnswer(id, now)
	}
}

// mayCrashEngines reports whether a call was broken off and other engines have broken
// off calls with one of its parts: another attempt might crash another engine.
func (g *Gateway) mayCrashEngines(f *forwardedCall) bool {
	return f.brokenOffBy.ID != "" && g.quarantine.Suspect(f.sharedParts, f.brokenOffBy, xxhash.Sum64String(f.call.ID))
}

// expireQuarantines forgets parts that no call asks for any more.
func (g *Gateway) expireQuarantines() {
	g.logEnded(g.quarantine.Expire(g.now()), "no call asked for it")
	g.metrics.setGauge("quarantines", int64(len(g.quarantine.Active())))
}

// sendQuarantineUpdates tells the other VMs what this one has learned about parts that
// crash engines since the last call.
func (g *Gateway) sendQuarantineUpdates() {
	now := g.now()
	headless, m := g.quarantineUpdates.take(now)
	for _, b := range headless {
		if g.quarantine.Known(b.Engine) {
			continue
		}
		g.applyBreak(b)
		g.quarantineUpdates.addBreak(b, g.quarantine.BySuspicion(b.Parts))
	}
	g.quarantineUpdates.takeBreaks(m, now)
	g.quarantineUpdates.takeCuts(m, now, g.quarantine.Known)
	if len(m.Breaks)+len(m.Succeeded)+len(m.Answered)+len(m.Cut) > 0 {
		g.broadcastDelta(m)
	}
	g.reviewQuarantines()
}

// activeQuarantines returns the quarantines for a periodic message.
func (g *Gateway) activeQuarantines() []gossip.Quarantine {
	now := g.now()
	active := g.quarantine.Active()
	var out []gossip.Quarantine
	for _, q := range active[:min(len(active), maxQuarantinesPerMessage)] {
		out = append(out, quarantineMessage(q, now))
	}
	return out
}

// handleQuarantineUpdates applies what another VM has learned about parts that crash
// engines.
func (g *Gateway) handleQuarantineUpdates(m *gossip.Message) {
	now := g.now()
	// Nothing that another VM tells of has yet to happen, whatever its clock says.
	ago := func(ms int64) time.Duration { return now - time.Duration(max(ms, 0))*time.Millisecond }
	g.quarantineUpdates.peerTold(m, now)
	for _, x := range m.Succeeded {
		_, ended := g.quarantine.RecordSuccess([]string{x.Part}, ago(x.AgeMillis))
		g.logEnded(ended, "a call on "+m.VM+" succeeded")
	}
	for _, x := range m.Answered {
		g.quarantine.RecordAnswer(quarantine.Engine{ID: x.Engine.ID, Born: x.Engine.Born}, ago(x.AgeMillis))
	}
	for _, x := range m.Quarantines {
		g.mergeQuarantine(quarantine.Quarantine{
			Part: x.Part, Since: ago(x.SinceMillis), AskedAt: ago(x.AskedMillis),
			Until: now + time.Duration(x.LeftMillis)*time.Millisecond, Hold: time.Duration(x.HoldMillis) * time.Millisecond,
		}, m.VM)
	}
	for i, x := range m.Breaks {
		b := quarantine.Break{
			Engine: quarantine.Engine{ID: x.Engine.ID, Born: x.Engine.Born}, Request: x.Request, Parts: x.Parts, Head: x.Head, At: ago(x.AgeMillis),
		}
		if len(m.BreakTimes) > 0 {
			x := m.BreakTimes[i]
			b.SinceHead, b.Uptime = time.Duration(x.HeadMillis)*time.Millisecond, time.Duration(x.UptimeMillis)*time.Millisecond
		}
		if len(m.BreakPositions) > 0 {
			b.Positions = m.BreakPositions[i]
		}
		g.applyBreak(b)
	}
	for _, x := range m.Cut {
		g.quarantine.RecordCut(quarantine.Engine{ID: x.Engine.ID, Born: x.Engine.Born}, ago(x.AgeMillis))
	}
	for _, x := range m.Ended {
		if g.quarantine.RecordEnd(quarantine.Engine{ID: x.ID, Born: x.Born}) {
			g.scheduleReview()
		}
	}
}

// mergeQuarantine takes over a quarantine from another VM or the store, unless a call
// has succeeded since.
func (g *Gateway) mergeQuarantine(q quarantine.Quarantine, source string) {
	added, refuted := g.quarantine.Merge(q, g.now())
	if refuted != nil {
		g.quarantineUpdates.addSuccess(refuted.Part, refuted.At)
	}
	if added {
		g.beginningCalls.cancel(q.Part)
		event.QuarantineBegan.Log(g.log, nil, log.Fields{"part": q.Part, "until": (q.Until - g.now()).Milliseconds(), "source": source})
	}
}
