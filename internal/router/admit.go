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

// admit waits for a place in the model's queue and for the team's tokens. When
// it returns nil, the request has its place and is registered as a stream, and
// may be dispatched at once.
func (c *completion) admit(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, c.route.EffectiveDispatchTimeout())
	defer cancel()
	cost := c.body.tokenCost(c.model, c.prompt)
	if c.caller.public {
		return c.queueAndCharge(wait, cost)
	}
	if err := team.CheckBurst(c.caller.team.Burst, cost); err != nil {
		return newRefusal(fasthttp.StatusRequestEntityTooLarge, "burst", err.Error())
	}
	order := tokenQueueOrder(c.r.configTracker.Current())
	if order == team.LIFO || !c.r.tokenQueue.Busy(c.caller.team.Name) {
		if err := c.tryAdmit(wait, cost); !errors.Is(err, team.ErrRate) {
			return err
		}
	}
	if err := c.r.tokenQueue.Enter(wait, c.caller.team.Name, order); err != nil {
		return rateRefusal(fmt.Errorf("%w: %w", team.ErrRate, err), time.Second)
	}
	defer c.r.tokenQueue.Leave(c.caller.team.Name, order)
	return c.admitWhenAffordable(wait, cost)
}

// tokenQueueOrder returns the configured order of a team's waiting requests.
func tokenQueueOrder(conf *config.Config) team.TurnOrder {
	if conf.QueueOrder() == config.QueueOrderLatest {
		return team.LIFO
	}
	return team.FIFO
}

// tryAdmit admits the request if the team's tokens suffice now. While other
// requests of the team wait for tokens, it first probes for enough of them and
// borrows none otherwise, so that the others can use what there is. It returns
// a wrapped *team.ShortfallError if the tokens do not suffice.
func (c *completion) tryAdmit(wait context.Context, cost float64) error {
	if c.r.tokenQueue.Busy(c.caller.team.Name) {
		if err := c.r.collector.Probe(wait, c.caller.team.Name, cost); err != nil {
			return fmt.Errorf("router: probe: %w", err)
		}
	}
	return c.queueAndCharge(wait, cost)
}

// admitWhenAffordable calls tryAdmit until the tokens suffice or wait is done.
func (c *completion) admitWhenAffordable(wait context.Context, cost float64) error {
	for {
		err := c.tryAdmit(wait, cost)
		var short *team.ShortfallError
		if !errors.As(err, &short) {
			return err
		}
		if !waitFor(wait, short.Wait) {
			return rateRefusal(err, short.Wait)
		}
	}
}

// rateRefusal returns the refusal of a request that exceeds its team's rate.
func rateRefusal(err error, wait time.Duration) error {
	return newRefusal(fasthttp.StatusTooManyRequests, "rate", err.Error()).withRetryAfter(max(wait, time.Second))
}

// queueAndCharge waits for a place in the model's queue and charges the team.
// It returns a wrapped *team.ShortfallError if the team's tokens do not suffice
// now.
func (c *completion) queueAndCharge(wait context.Context, cost float64) error {
	queue := c.r.queues.forModel(c.r, c.model.Name)
	if err := queue.Enter(wait, c.caller.team.Name, cost); err != nil {
		return newRefusal(fasthttp.StatusServiceUnavailable, "overloaded", err.Error()).withRetryAfter(time.Second)
	}
	err := c.chargeTeam(wait, cost)
	if err != nil {
		queue.Leave()
	}
	return err
}

// waitFor sleeps for d and reports whether it did. It returns false at once if
// ctx ends sooner, and early if ctx is canceled.
func waitFor(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d {
		return false
	}
	return sleep(ctx, d) == nil
}

// chargeTeam registers the request as a stream, charges the team and commits the
// charge to this request. The charge is settled with zero tokens if the key is
// no longer valid.
func (c *completion) chargeTeam(ctx context.Context, cost float64) error {
	c.stream = c.r.streams.add(c.caller)
	err := c.collectCharge(ctx, cost)
	if err == nil && !c.r.stillValid(c.caller) {
		err = newRefusal(fasthttp.StatusUnauthorized, "unauthorized", "the key was withdrawn")
		c.settleCharge(0)
	}
	if err != nil {
		c.r.streams.remove(c.stream)
		return err
	}
	return nil
}

func (c *completion) collectCharge(ctx context.Context, cost float64) error {
	if c.caller.public {
		return nil
	}
	charge, err := c.r.collector.Collect(ctx, c.caller.team.Name, c.caller.team.Burst, cost)
	if err != nil {
		return fmt.Errorf("router: charge: %w", err)
	}
	if err := charge.Start(); err != nil {
		return fmt.Errorf("router: charge: %w", &team.ShortfallError{Wait: 0})
	}
	c.charge = charge
	return nil
}
