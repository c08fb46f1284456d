package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/valyala/fasthttp"
)

// admit waits for a turn and for the team's tokens. After success the request
// may be dispatched at once, holds a turn, and is a stream in progress.
func (c *completion) admit(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, c.route.EffectiveDispatchTimeout())
	defer cancel()
	cost := c.body.charge(c.model, c.prompt)
	if c.who.open {
		return c.enter(wait, cost)
	}
	if err := team.CheckBurst(c.who.team.Burst, cost); err != nil {
		return refuse(fasthttp.StatusRequestEntityTooLarge, "burst", err.Error())
	}
	order := turnsOrder(c.r.configTracker.Current())
	if order == team.LIFO || !c.r.turns.Busy(c.who.team.Name) {
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
func turnsOrder(conf *config.Config) team.TurnOrder {
	if conf.QueueOrder() == config.QueueOrderLatest {
		return team.LIFO
	}
	return team.FIFO
}

// attempt enters if the team's tokens suffice now. While others of the team are
// short it borrows only what it can use at once, to leave them the rest. It
// returns a *team.ShortfallError, wrapped, when the tokens do not suffice.
func (c *completion) attempt(wait context.Context, cost float64) error {
	if c.r.turns.Busy(c.who.team.Name) {
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
	if err != nil {
		return fmt.Errorf("router: charge: %w", err)
	}
	if err := charge.Start(); err != nil {
		return fmt.Errorf("router: charge: %w", &team.ShortfallError{Wait: 0})
	}
	c.charge = charge
	return nil
}
