package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

// Bounds of one call.
const (
	// sends bounds the attempts at servers that state not to have run a call.
	sends = 4
	// waitStep is the pause before the servers are looked at again where none
	// takes a call.
	waitStep = 25 * time.Millisecond
	// comeBack is when a caller is told to come back where nothing better is known.
	comeBack = 150 * time.Millisecond
	// revokePart is the part of the bound on withdrawn keys during which a proof
	// of the catalog admits calls with keys; the rest covers the way from the
	// caller and differences of clock rates.
	revokePart = 0.92
)

// Errors that end the attempts of a call.
var (
	errNoServer = errors.New("no server takes the call")
	errBudget   = errors.New("retry budget is spent")
)

// flight is a call on its way.
type flight struct {
	call    *Call
	sink    Sink
	route   *catalog.Route
	team    *catalog.Team
	engine  *catalog.Engine
	shelf   *catalog.Shelf
	service string
	// began is when the call came in; ends is when its time is over.
	began time.Duration
	ends  time.Duration
	// silent are the zones that seem to be cut off.
	silent map[string]bool
	// spread is the largest random addition to the cost of a server.
	spread float64
	// tried are the servers not to be chosen again.
	tried map[string]bool
	sent  int
	// prepaid is set where the next attempt was taken from the budget already.
	prepaid bool
	// runs counts the servers at which the call may have run.
	runs int
	// charged are the tokens that the team was charged.
	charged float64
	outcome string
	// why is what kept the call from being served, in a few words.
	why string
	// generation is that of the catalog that decided, and proof how old its
	// proof was.
	generation int64
	proof      time.Duration
	// last is the choice of the last attempt.
	last   choice
	status int
	first  time.Duration
}

// Serve answers a call. It returns when the answer is complete or the caller
// has left.
func (g *Gateway) Serve(ctx context.Context, call *Call, sink Sink) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	f := &flight{call: call, sink: sink, began: g.now(), tried: make(map[string]bool)}
	if r := g.admit(f); r != nil {
		g.refuse(f, *r)
		g.ended(f)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.ends-g.now())
	defer cancel()
	if f.route.Kind == catalog.Stream {
		g.stream(ctx, f)
	} else {
		g.plain(ctx, f)
	}
	if f.charged > 0 && f.runs == 0 {
		g.quota.Refund(f.team.Name, f.charged)
	}
	g.ended(f)
}

// refuse answers a call by the router itself.
func (g *Gateway) refuse(f *flight, r Refusal) {
	f.outcome = string(r.Reason)
	if err := f.sink.Refuse(r); err != nil {
		f.outcome = "caller left"
	}
}

// admit finds the route and the team of a call, and charges the team.
func (g *Gateway) admit(f *flight) *Refusal {
	c := g.catalog.Current()
	if c == nil {
		f.why = "no configuration yet"
		return &Refusal{Reason: Unavailable, After: comeBack}
	}
	f.generation = c.Version()
	if f.route = c.Match(f.call.Host, f.call.Path); f.route == nil {
		return &Refusal{Reason: Unknown}
	}
	if r := g.identify(c, f); r != nil {
		return r
	}
	f.ends = f.began + f.route.Timeout
	if f.call.Wait > 0 {
		f.ends = min(f.ends, f.began+f.call.Wait)
	}
	if f.service = pickService(f.route); f.service == "" {
		return &Refusal{Reason: Unavailable, After: comeBack}
	}
	if s := c.Service(f.service); s != nil {
		f.engine = s.Engine
	}
	f.shelf = shelfOf(c.Shelves(), f.call.Prompt)
	return g.charge(f)
}

// shelfOf returns the shelf that a prompt's parts are kept on: one of several
// by the deepest shared part, so that together they hold as much as they can.
func shelfOf(shelves []*catalog.Shelf, p parts.Prompt) *catalog.Shelf {
	shared := p.Shared()
	if len(shared) == 0 {
		return nil
	}
	var best *catalog.Shelf
	var most uint64
	for _, s := range shelves {
		if h := xxhash.Sum64String(s.Address + "/" + shared[len(shared)-1].ID); best == nil || h > most {
			best, most = s, h
		}
	}
	return best
}

// identify finds the team that holds the call's key.
func (g *Gateway) identify(c *catalog.Catalog, f *flight) *Refusal {
	if !c.Keyed() || f.route.Open {
		return nil
	}
	age, ok := g.catalog.Age(g.now())
	if f.proof = age; !ok || age > g.stale() {
		f.why = "proof of the configuration is too old"
		return &Refusal{Reason: Unavailable, After: comeBack}
	}
	if f.team = c.TeamOf(f.call.Key); f.team == nil {
		return &Refusal{Reason: Unkeyed}
	}
	return nil
}

// stale is the age from which the proof of the catalog admits no keys.
func (g *Gateway) stale() time.Duration {
	return time.Duration(float64(g.settings.Bounds.Revoke) * revokePart)
}

func (g *Gateway) charge(f *flight) *Refusal {
	if f.team == nil || f.team.Rate <= 0 {
		return nil
	}
	tokens := float64(f.team.Plain)
	if f.call.Sized {
		tokens = float64(f.call.Prompt.Input + f.call.Prompt.Output)
	}
	ok, wait := g.quota.Take(f.team.Name, g.limitsOf(f.team), tokens, g.now())
	if !ok {
		f.why = fmt.Sprintf("%.0f tokens", tokens)
		return &Refusal{Reason: OverRate, After: max(wait, comeBack)}
	}
	f.charged = tokens
	return nil
}

// pickService draws one of a route's services by weight.
func pickService(r *catalog.Route) string {
	total := 0
	for _, t := range r.Targets {
		total += max(0, t.Weight)
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, t := range r.Targets {
		if n -= max(0, t.Weight); n < 0 {
			return t.Service
		}
	}
	return ""
}

// priority is the rank at engines: that of the team goes before that of the route.
func (f *flight) priority() int {
	p := f.route.Priority
	if f.team != nil {
		p += teamRanks * f.team.Priority
	}
	return min(max(p, 0), lowestPriority)
}

const (
	// teamRanks is how many ranks of routes lie between two ranks of teams.
	teamRanks = 3
	// lowestPriority is the last rank that engines know.
	lowestPriority = 9
)

// next chooses the server of the next attempt. It waits for one a little while
// none takes the call.
func (g *Gateway) next(ctx context.Context, f *flight) (choice, error) {
	patience := g.now() + f.route.Goal/2
	for {
		if c, ok := g.choose(f, f.service); ok {
			if f.sent > 0 && !f.prepaid && !g.retries.Take(f.service, g.now()) {
				return choice{}, errBudget
			}
			f.prepaid = false
			return c, nil
		}
		if f.sent >= sends || g.now() > patience {
			return choice{}, errNoServer
		}
		if !wait(ctx, waitStep) {
			return choice{}, ctx.Err()
		}
		clear(f.tried)
	}
}

// send makes one attempt and tells whether the call may have run.
func (g *Gateway) send(ctx context.Context, f *flight, c choice, after string) (*Answer, error) {
	a := &Attempt{
		Call: f.call, Server: c.server, Left: f.ends - g.now(), Version: c.version, Salt: c.salt,
		Fetch: c.fetch, Priority: f.priority(), After: after,
	}
	if f.team != nil {
		a.Team = f.team.Name
	}
	if !f.route.Repeatable() {
		a.Fresh = onceFresh
	}
	if f.shelf != nil && c.salt != "" && !f.silent[f.shelf.Zone] && g.unsaved(f, c.salt) {
		a.Save = f.shelf.Address
	}
	if f.sent == 0 {
		g.retries.Call(f.service, g.now())
	}
	f.sent++
	f.last = c
	g.read(f, c, a.Save != "")
	ans, err := g.servers.Send(ctx, a)
	switch {
	case errors.Is(err, upstream.ErrUnsent):
	case err != nil:
		f.runs++
	case ans.NotRun || ans.Other:
	default:
		f.runs++
	}
	g.learn(f, c, ans, err, ctx.Err() != nil)
	return ans, err
}

// onceFresh is how recently a kept connection must have been used for a call
// that is sent once: a server that closes it meanwhile leaves the call's fate
// unknown.
const onceFresh = time.Second

// learn takes in what an attempt showed of a server.
func (g *Gateway) learn(f *flight, c choice, ans *Answer, err error, over bool) {
	s := c.server
	model := f.call.Prompt.Model
	switch {
	case err != nil && over:
		// The call's time is over or its caller has left: no fault of the server.
	case err != nil:
		g.table.Failed(s.ID, g.now())
	case ans.Other:
		g.table.Gone(s.ID, g.now())
	case ans.Version > 0 && model != "":
		if ans.Version != c.version {
			g.table.Correct(s.ID, s.Born, model, ans.Version)
			g.tellVersion(s, model, ans.Version)
		}
	}
	if err != nil || ans.NotRun || ans.Other {
		f.tried[s.ID] = true
		fields := log.Fields{"request": f.call.ID, "server": s.ID, "sent": f.sent, "version": c.version}
		if ans != nil {
			fields["status"], fields["notrun"], fields["other"], fields["runs"] = ans.Status, ans.NotRun, ans.Other, ans.Version
		}
		event.AttemptFailed.Log(g.log, err, fields)
	}
}

// read records that an engine is about to read a prompt's parts.
func (g *Gateway) read(f *flight, c choice, save bool) {
	if c.salt == "" || f.engine == nil {
		return
	}
	now := g.now()
	g.inflow.Add(c.missing+c.moved, now)
	shared := len(f.call.Prompt.Shared())
	for i, p := range f.call.Prompt.Parts {
		fresh := g.parts.Add(holderOf(c.server), f.engine.Capacity, c.salt, p, now)
		if fresh && i < shared {
			g.tellPart(holderOf(c.server), c.salt, p)
		}
		if save && i < shared && g.parts.Add(shelfHolder(f.shelf), f.shelf.Tokens, c.salt, p, now) {
			g.tellPart(shelfHolder(f.shelf), c.salt, p)
		}
	}
}

// unsaved reports whether the shelf is not known to hold all shared parts.
func (g *Gateway) unsaved(f *flight, salt string) bool {
	shared := f.call.Prompt.Shared()
	total := 0
	for _, p := range shared {
		total += p.Tokens
	}
	return total > 0 && g.parts.Held(shelfHolder(f.shelf), salt, shared, parts.Always) < total
}

// mayRepeat reports whether a call that may have run can be sent to another server.
func (f *flight) mayRepeat() bool {
	return f.route.Repeatable() && f.runs < max(1, f.route.Attempts) && f.sent < sends
}

// giveUp answers a call that no attempt served.
func (g *Gateway) giveUp(ctx context.Context, f *flight) {
	switch {
	case f.runs == 0:
		g.refuse(f, Refusal{Reason: Unavailable, After: comeBack})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		g.refuse(f, Refusal{Reason: TimedOut})
	default:
		g.refuse(f, Refusal{Reason: Failed})
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
