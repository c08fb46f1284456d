package router

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/valyala/fasthttp"
)

// completion is one model request on its way through the router.
type completion struct {
	r      *Router
	id     string
	path   string
	body   *body
	route  config.Route
	model  config.Model
	who    caller
	prompt prefix.Prompt
	salt   string
	// charge is nil on open routes.
	charge *team.Charge
	stream *openStream
	began  time.Time
	// dispatched is whether any byte may have reached an engine.
	dispatched bool
	// resumed is the form in which the current source was asked.
	resumed upstream
	// believed is what placement thought the engine held, for learning.
	believed int
}

// complete serves a model request. held is true when the answer goes on after
// the handler returns.
func (r *Router) complete(ctx *fasthttp.RequestCtx, id string, chat bool) (held bool, err error) {
	if !ctx.IsPost() {
		return false, refuse(fasthttp.StatusMethodNotAllowed, "bad_request", "use POST")
	}
	parsed, err := parseBody(ctx.PostBody(), chat)
	if err != nil {
		return false, err
	}
	c := &completion{r: r, id: id, path: string(ctx.Path()), body: parsed, began: time.Now()}
	if err := c.resolve(ctx); err != nil {
		return false, err
	}
	bounded, cancel := requestContext(c.route)
	if err := c.admit(bounded); err != nil {
		cancel()
		return false, err
	}
	end := func(used float64) {
		c.settle(used)
		c.r.streams.remove(c.stream)
		c.r.queues.get(r, c.model.Name).Leave()
		cancel()
	}
	if !parsed.stream {
		used, err := c.whole(bounded, ctx)
		end(used)
		return false, err
	}
	r.budget.Fresh()
	src, err := c.open(bounded, make(map[string]bool), answer.NewSequence(id))
	if err != nil {
		end(c.usedOnFailure())
		return false, err
	}
	r.metrics.first(time.Since(c.began))
	r.answerStream(bounded, ctx, c, src, end)
	return true, nil
}

// answerStream hands the rest of a stream to the HTTP server.
func (r *Router) answerStream(bounded context.Context, ctx *fasthttp.RequestCtx, c *completion, src *source, end func(float64)) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.inFlight.Add(-1)
		relay := &relay{c: c, out: w, src: src}
		end(relay.run(bounded))
	})
}

// resolve finds route, model and caller, and hashes the prompt.
func (c *completion) resolve(ctx *fasthttp.RequestCtx) error {
	conf := c.r.settle()
	route, model, ok := conf.ModelRoute(c.body.model)
	if !ok {
		return refuse(fasthttp.StatusNotFound, "no_route", fmt.Sprintf("no route to model %q", c.body.model))
	}
	who, err := c.r.authenticate(ctx, conf, route)
	if err != nil {
		return err
	}
	c.route, c.model, c.who = route, model, who
	c.body.bound(model)
	c.salt = c.body.scopeOf(model, who.team.Name).Salt()
	c.prompt = prefix.NewPrompt(c.salt, c.body.parts())
	c.r.metrics.requests.Mark(1)
	return nil
}

// admit waits for a turn and for the team's tokens. After success the request
// may be dispatched at once, holds a turn, and is a stream in progress.
func (c *completion) admit(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, c.route.EffectiveWait())
	defer cancel()
	cost := c.body.charge(c.model, c.prompt)
	order := turnsOrder(c.r.keeper.Current())
	if c.who.open || order == team.Latest || !c.r.turns.Busy(c.who.team.Name) {
		if err := c.attempt(wait, cost); !errors.Is(err, team.ErrRate) {
			return err
		}
	}
	if err := c.r.turns.Enter(wait, c.who.team.Name, order); err != nil {
		return shortOfTokens(fmt.Errorf("%w: %w", team.ErrRate, err), time.Second)
	}
	defer c.r.turns.Leave(c.who.team.Name, order)
	return c.attemptUntilPaid(wait, cost)
}

// turnsOrder returns the declared order of a team's waiting requests.
func turnsOrder(conf *config.Config) team.Order {
	if conf.First() == config.FirstLatest {
		return team.Latest
	}
	return team.Earliest
}

// attempt enters if the team's tokens suffice now. While others of the team are
// short it borrows only what it can use at once, to leave them the rest. It
// returns a *team.ShortfallError, wrapped, when the tokens do not suffice.
func (c *completion) attempt(wait context.Context, cost float64) error {
	if !c.who.open && c.r.turns.Busy(c.who.team.Name) {
		if err := c.r.collect.Probe(wait, c.who.team.Name, cost); err != nil {
			return fmt.Errorf("router: probe: %w", err)
		}
	}
	return c.enter(wait, cost)
}

// attemptUntilPaid attempts until the tokens suffice or the wait is over.
func (c *completion) attemptUntilPaid(wait context.Context, cost float64) error {
	for {
		err := c.attempt(wait, cost)
		var short *team.ShortfallError
		if !errors.As(err, &short) {
			return err
		}
		if !waitFor(wait, short.Wait) {
			return shortOfTokens(err, short.Wait)
		}
	}
}

// shortOfTokens returns the refusal of a request beyond its team's rate.
func shortOfTokens(err error, wait time.Duration) error {
	return refuse(fasthttp.StatusTooManyRequests, "rate", err.Error()).after(max(wait, time.Second))
}

// enter waits for a turn at the model and charges the team. It returns a
// *team.ShortfallError, wrapped, when the team's tokens do not suffice now.
func (c *completion) enter(wait context.Context, cost float64) error {
	queue := c.r.queues.get(c.r, c.model.Name)
	if err := queue.Enter(wait, c.who.team.Name, cost); err != nil {
		return refuse(fasthttp.StatusServiceUnavailable, "overloaded", err.Error()).after(time.Second)
	}
	err := c.pay(wait, cost)
	if err != nil {
		queue.Leave()
	}
	return err
}

// waitFor sleeps for d if that is within ctx, and reports whether it did.
func waitFor(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d {
		return false
	}
	return sleep(ctx, d) == nil
}

// pay charges the team and commits the charge to this request.
func (c *completion) pay(ctx context.Context, cost float64) error {
	c.stream = c.r.streams.add(c.who)
	err := c.charged(ctx, cost)
	if err == nil && !c.r.stillValid(c.who) {
		err = refuse(fasthttp.StatusUnauthorized, "unauthorized", "the key was withdrawn")
		c.settle(0)
	}
	if err != nil {
		c.r.streams.remove(c.stream)
		return err
	}
	return nil
}

func (c *completion) charged(ctx context.Context, cost float64) error {
	if c.who.open {
		return nil
	}
	charge, err := c.r.collect.Collect(ctx, c.who.team.Name, c.who.team.Burst, cost)
	if errors.Is(err, team.ErrBurst) {
		return refuse(fasthttp.StatusRequestEntityTooLarge, "burst", err.Error())
	}
	if err != nil {
		return fmt.Errorf("router: charge: %w", err)
	}
	if err := charge.Start(); err != nil {
		return fmt.Errorf("router: charge: %w", &team.ShortfallError{Wait: 0})
	}
	c.charge = charge
	return nil
}

// usedOnFailure returns what a request without an answer is charged: nothing
// if it never reached an engine, all of it otherwise.
func (c *completion) usedOnFailure() float64 {
	if c.charge == nil || !c.dispatched {
		return 0
	}
	return c.charge.Total()
}

func (c *completion) settle(used float64) {
	if c.charge != nil {
		c.charge.Settle(used)
	}
}

// failure returns the refusal for a request that no engine answered.
func (c *completion) failure(err error) error {
	e := refuse(fasthttp.StatusBadGateway, "no_answer", "no engine answered: "+err.Error()).after(time.Second)
	if c.dispatched {
		return e.unknown()
	}
	return e
}
