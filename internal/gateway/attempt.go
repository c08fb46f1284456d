package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
)

// Bounds of the attempts of a call.
const (
	// sends bounds the attempts at servers that state not to have run a call.
	sends = 4
	// waitStep is the pause before the servers are looked at again where none
	// takes a call.
	waitStep = 25 * time.Millisecond
)

// Errors that end the attempts of a call.
var (
	errNoServer = errors.New("no server takes the call")
	errBudget   = errors.New("retry budget is spent")
)

// next chooses the server of the next attempt. It waits for one a little while
// none takes the call.
func (g *Gateway) next(ctx context.Context, f *flight) (choice, error) {
	patience := g.now() + f.route.LatencyGoal/2
	for {
		if c, ok := g.choose(f, f.service); ok {
			if !g.afford(f) {
				return choice{}, errBudget
			}
			return c, nil
		}
		if f.sent >= sends || g.now() > patience {
			return choice{}, errNoServer
		}
		if !timer.Sleep(ctx, waitStep) {
			return choice{}, ctx.Err()
		}
		clear(f.tried)
	}
}

// afford takes an attempt after the first from the budget of repeats.
func (g *Gateway) afford(f *flight) bool {
	if f.sent == 0 || f.prepaid {
		f.prepaid = false
		return true
	}
	leave := startLeaves
	if f.begun {
		leave = 0
	}
	return g.retries.Take(f.service, g.now(), leave)
}

// send makes one attempt and tells whether the call may have run.
func (g *Gateway) send(ctx context.Context, f *flight, c choice, after string) (*Response, error) {
	a := &Attempt{
		Call: f.call, Server: c.server, TimeLeft: f.ends - g.now(), Version: c.version, CacheSalt: c.salt,
		FetchFrom: c.fetch, Priority: f.priority(), LastEventID: after,
	}
	if f.team != nil {
		a.Team = f.team.Name
	}
	if !f.route.Repeatable() {
		a.MaxConnIdle = onceFresh
	}
	if c.shelved && c.salt != "" && g.unsaved(f, c.salt) {
		a.SaveTo = f.shelf.Address
	}
	if f.sent == 0 {
		g.retries.RecordCall(f.service, g.now())
	}
	f.sent++
	f.last = c
	g.read(f, c, a.SaveTo != "")
	ans, err := g.servers.Send(ctx, a)
	switch {
	case errors.Is(err, upstream.ErrUnsent):
	case err != nil:
		f.runs++
	case ans.NotRun || ans.WrongServer:
	default:
		f.runs++
	}
	g.learn(ctx, f, c, ans, err)
	return ans, err
}

// onceFresh is how recently a kept connection must have been used for a call
// that is sent once: a server that closes it meanwhile leaves the call's fate
// unknown.
const onceFresh = time.Second

// errSilent is the cause that ends an attempt whose server says nothing.
var errSilent = errors.New("server is silent")

// learn takes in what an attempt showed of a server.
func (g *Gateway) learn(ctx context.Context, f *flight, c choice, ans *Response, err error) {
	s := c.server
	over := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent)
	model := f.call.Prompt.Model
	switch {
	case err != nil && over:
		// The call's time is over or its caller has left: no fault of the server.
	case err != nil:
		g.failed(s, ctx.Err() != nil || errors.Is(err, upstream.ErrUnsent))
	case ans.WrongServer:
		g.table.RecordReplaced(s.ID, g.now())
	case ans.Version > 0 && model != "":
		if ans.Version != c.version {
			g.table.SetVersion(s.ID, s.Born, model, ans.Version)
			g.tellVersion(s, model, ans.Version)
		}
	}
	if err != nil || ans.NotRun || ans.WrongServer {
		f.tried[s.ID] = true
		fields := log.Fields{"request": f.call.ID, "server": s.ID, "sent": f.sent, "version": c.version}
		if ans != nil {
			fields["status"], fields["notrun"], fields["other"], fields["runs"] = ans.Status, ans.NotRun, ans.WrongServer, ans.Version
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
	ready := now + time.Duration(readMargin*float64(c.missing+c.pending)/readRate*float64(time.Millisecond))
	shared := len(f.call.Prompt.SharedParts())
	for i, p := range f.call.Prompt.Parts {
		fresh := g.parts.Add(holderOf(c.server), f.engine.CapacityTokens, c.salt, p, now, ready)
		if fresh && i < shared {
			g.tellPart(holderOf(c.server), c.salt, p, ready-now)
		}
		if save && i < shared && g.parts.Add(shelfHolder(f.shelf.Address), f.shelf.CapacityTokens, c.salt, p, now, ready+saveTime) {
			g.tellPart(shelfHolder(f.shelf.Address), c.salt, p, ready+saveTime-now)
		}
	}
}

const (
	// readMargin is how much longer than at readRate an engine may take to read a
	// prompt beside its other calls.
	readMargin = 2.0
	// saveTime is the way of a part to the shelf once it is read.
	saveTime = 50 * time.Millisecond
)

// ready records that an engine has read the shared parts of a call's prompt.
func (g *Gateway) ready(f *flight, c choice) {
	if c.salt != "" {
		g.parts.MarkReady(holderOf(c.server), c.salt, f.call.Prompt.SharedParts(), g.now())
	}
}

// unsaved reports whether the shelf is not known to hold all shared parts.
func (g *Gateway) unsaved(f *flight, salt string) bool {
	shared := f.call.Prompt.SharedParts()
	total := 0
	for _, p := range shared {
		total += p.Tokens
	}
	return total > 0 && g.parts.HeldTokens(shelfHolder(f.shelf.Address), salt, shared, parts.NoAgeLimit) < total
}

// mayRepeat reports whether a call that may have run can be sent to another server.
func (f *flight) mayRepeat() bool {
	return f.route.Repeatable() && f.runs < max(1, f.route.MaxAttempts) && f.sent < sends
}
