package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/receipt"
	"github.com/valyala/fasthttp"
)

// maxKeyBytes bounds an Idempotency-Key.
const maxKeyBytes = 256

// keepTimeout bounds the keeping of an outcome after the answer.
const keepTimeout = 10 * time.Second

// claimLife is how long after its claim a call may be dispatched.
const claimLife = 5 * time.Second

// repeatPoll is how often a repeated call looks for the first one's outcome.
const repeatPoll = 100 * time.Millisecond

// call is one service request on its way through the router.
type call struct {
	r     *Router
	id    string
	route config.Route
	who   caller
	ctx   *fasthttp.RequestCtx
	open  *openStream
}

// service serves a request on a service route.
func (r *Router) service(ctx *fasthttp.RequestCtx, id, path string) error {
	conf := r.settle()
	route, ok := conf.PathRoute(path)
	if !ok {
		return refuse(fasthttp.StatusNotFound, "no_route", fmt.Sprintf("no route to %q", path))
	}
	who, err := r.authenticate(ctx, conf, route)
	if err != nil {
		return err
	}
	r.metrics.requests.Mark(1)
	c := &call{r: r, id: id, route: route, who: who, ctx: ctx, open: r.streams.add(who)}
	defer r.streams.remove(c.open)
	bounded, cancel := requestContext(route)
	defer cancel()
	if !route.AtMostOnce {
		return c.repeatable(bounded)
	}
	return c.once(bounded)
}

// servers returns the service's backend servers that take work, those of the
// own zone first and those that rest after failures last.
func (c *call) servers() []config.Server {
	s, _ := c.r.configTracker.Current().Services().Get(c.route.Service)
	var near, far, resting []config.Server
	for _, server := range s.Servers {
		status := c.r.engines.Status(server.Name)
		switch {
		case c.r.view.Leaving(server.Name):
		case status.InBackoff:
			resting = append(resting, server)
		case server.Zone == c.r.settings.Zone:
			near = append(near, server)
		default:
			far = append(far, server)
		}
	}
	return append(append(near, far...), resting...)
}

// repeatable sends a call that may run more than once.
func (c *call) repeatable(ctx context.Context) error {
	c.r.budget.RecordRequest()
	sent := false
	last := errNoServer
	for n, server := range c.servers() {
		if n > 0 && !c.r.budget.AllowRetry() {
			break
		}
		resp := fasthttp.AcquireResponse()
		err := c.send(ctx, c.r.clients.host(server.Address), server, resp)
		if err == nil {
			c.pass(resp)
			fasthttp.ReleaseResponse(resp)
			return nil
		}
		fasthttp.ReleaseResponse(resp)
		c.r.engines.RecordFailure(server.Name)
		sent = sent || !unsent(err)
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return c.noAnswer(last, sent)
}

var errNoServer = errors.New("no backend server of the service takes work")

func (c *call) noAnswer(err error, sent bool) error {
	e := refuse(fasthttp.StatusBadGateway, "no_answer", "no backend server answered: "+err.Error()).after(time.Second)
	if sent {
		return e.unknown()
	}
	return e
}

// send makes the call on one backend server.
func (c *call) send(ctx context.Context, client *fasthttp.HostClient, server config.Server, resp *fasthttp.Response) error {
	from := &c.ctx.Request
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethodBytes(from.Header.Method())
	uri := "http://" + server.Address + string(c.ctx.Path())
	if query := c.query(); query != "" {
		uri += "?" + query
	}
	req.SetRequestURI(uri)
	forwardHeaders(from, req)
	req.Header.Set(answer.HeaderRequestID, c.id)
	if key := from.Header.Peek(answer.HeaderIdempotencyKey); len(key) > 0 {
		req.Header.SetBytesV(answer.HeaderIdempotencyKey, key)
	}
	c.r.clients.authorize(req, server.Name)
	req.SetBodyRaw(from.Body())
	deadline, _ := ctx.Deadline()
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return fmt.Errorf("backend %s: %w", server.Name, err)
	}
	return nil
}

// query returns the caller's query without any argument that holds its key.
func (c *call) query() string {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	for name, value := range c.ctx.QueryArgs().All() {
		if !c.secret(name) && !c.secret(value) {
			args.AddBytesKV(name, value)
		}
	}
	return args.String()
}

// secret reports whether a text is the caller's key.
func (c *call) secret(text []byte) bool {
	return c.who.digest != "" && digestOf(string(text)) == c.who.digest
}

// pass hands a backend server's answer to the caller.
func (c *call) pass(resp *fasthttp.Response) {
	c.r.metrics.served.Mark(1)
	c.ctx.SetStatusCode(resp.StatusCode())
	c.ctx.Response.Header.SetContentTypeBytes(resp.Header.ContentType())
	c.ctx.SetBody(resp.Body())
}

// once sends a call that must not run twice.
func (c *call) once(ctx context.Context) error {
	key := string(c.ctx.Request.Header.Peek(answer.HeaderIdempotencyKey))
	switch {
	case len(key) > maxKeyBytes:
		return badBody("header %s is longer than %d bytes", answer.HeaderIdempotencyKey, maxKeyBytes)
	case key == "" && c.route.MissingIdempotencyKey != config.MissingKeySend:
		return badBody("header %s is missing; the route's calls run at most once", answer.HeaderIdempotencyKey)
	case key == "":
		return c.dispatch(ctx, nil)
	}
	return c.claimed(ctx, receipt.Call{
		Team: c.who.team.Name, Route: c.route.Name, IdempotencyKey: key,
		RequestDigest: receipt.Digest(c.ctx.Method(), c.ctx.Path(), []byte(c.query()), c.ctx.PostBody()),
	})
}

func (c *call) claimed(ctx context.Context, named receipt.Call) error {
	wait, cancel := context.WithTimeout(ctx, c.route.EffectiveDispatchTimeout())
	defer cancel()
	asked := c.r.clock.Now()
	claim, kept, err := c.r.claims.Claim(wait, named)
	if errors.Is(err, receipt.ErrClaimed) {
		kept, err = c.lookup(ctx, named)
	}
	switch {
	case kept != nil:
		return c.replay(kept)
	case err != nil:
		return c.unclaimed(err)
	}
	if c.r.clock.CheckGap(); c.r.clock.Now().Sub(asked) > claimLife || !c.r.stillValid(c.who) {
		c.cancel(claim)
		return refuse(fasthttp.StatusServiceUnavailable, "late", "the claim was made too long ago").after(time.Second)
	}
	return c.dispatch(ctx, claim)
}

// lookup waits for the outcome of the call that was claimed before.
func (c *call) lookup(ctx context.Context, named receipt.Call) (*receipt.Outcome, error) {
	for {
		kept, err := c.r.claims.Lookup(ctx, named)
		if !errors.Is(err, receipt.ErrClaimed) || !waitFor(ctx, repeatPoll) {
			return kept, err
		}
	}
}

// unclaimed tells the caller why its call was not dispatched now.
func (c *call) unclaimed(err error) error {
	switch {
	case errors.Is(err, receipt.ErrRequestMismatch):
		return refuse(fasthttp.StatusUnprocessableEntity, "mismatch", "the key was used with another request")
	case errors.Is(err, receipt.ErrUnavailable):
		return refuse(fasthttp.StatusServiceUnavailable, "unclaimed", "the call cannot be claimed now").after(time.Second)
	case errors.Is(err, receipt.ErrInvalidRow):
		event.ClaimInvalid.Log(c.r.log, err, log.Fields{"request": c.id})
	}
	event.OutcomeUnknown.Log(c.r.log, err, log.Fields{"request": c.id})
	return refuse(fasthttp.StatusConflict, "claimed", "the call was made before and its outcome is unknown").unknown()
}

func (c *call) replay(kept *receipt.Outcome) error {
	if kept.Truncated {
		return refuse(fasthttp.StatusConflict, "claimed", "the call has run; its answer was too large to keep").unknown()
	}
	c.ctx.SetStatusCode(kept.Status)
	c.ctx.SetContentType(kept.ContentType)
	c.ctx.SetBody(kept.Body)
	return nil
}

// dispatch makes the call at most once. claim is nil for a call without a key.
func (c *call) dispatch(ctx context.Context, claim *receipt.Claim) error {
	last := errNoServer
	for _, server := range c.servers() {
		client, err := c.r.clients.once(server.Address)
		if err != nil {
			c.r.engines.RecordFailure(server.Name)
			last = err
			continue
		}
		return c.run(ctx, client, server, claim)
	}
	c.cancel(claim)
	return c.noAnswer(last, false)
}

// run sends the call. From here on it may have run.
func (c *call) run(ctx context.Context, client *fasthttp.HostClient, server config.Server, claim *receipt.Claim) error {
	defer client.CloseIdleConnections()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.send(ctx, client, server, resp); err != nil {
		event.OutcomeUnknown.Log(c.r.log, err, log.Fields{"request": c.id, "server": server.Name})
		return c.noAnswer(err, true)
	}
	if claim != nil {
		c.keep(claim, resp)
	}
	c.pass(resp)
	return nil
}

// keep stores the outcome before the caller sees it, so that a repeat after a
// lost answer gets the same receipt.
func (c *call) keep(claim *receipt.Claim, resp *fasthttp.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	err := claim.StoreOutcome(ctx, receipt.Outcome{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		Body:        append([]byte(nil), resp.Body()...),
	})
	if err != nil {
		event.OutcomeStoreFailed.Log(c.r.log, err, log.Fields{"request": c.id})
		return
	}
	event.OutcomeStored.Log(c.r.log, nil, log.Fields{"request": c.id})
}

// cancel gives up a claim whose call was not dispatched.
func (c *call) cancel(claim *receipt.Claim) {
	if claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := claim.Cancel(ctx); err != nil {
		event.OutcomeStoreFailed.Log(c.r.log, err, log.Fields{"request": c.id})
	}
}
