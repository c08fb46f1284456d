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

// maxIdempotencyKeyBytes bounds the length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 256

// outcomeStoreTimeout bounds the time to store an outcome after the backend
// server has answered.
const outcomeStoreTimeout = 10 * time.Second

// maxClaimAge is how long after its claim a call may still be dispatched.
const maxClaimAge = 5 * time.Second

// outcomePollInterval is how often a repeated call polls for the outcome of the
// first.
const outcomePollInterval = 100 * time.Millisecond

// serviceCall is the state of one service request.
type serviceCall struct {
	r      *Router
	id     string
	route  config.Route
	caller caller
	ctx    *fasthttp.RequestCtx
	stream *openStream
}

// serveService serves a request on a service route.
func (r *Router) serveService(ctx *fasthttp.RequestCtx, id, path string) error {
	conf := r.awaitConfigProof()
	route, ok := conf.PathRoute(path)
	if !ok {
		return newRefusal(fasthttp.StatusNotFound, "no_route", fmt.Sprintf("no route to %q", path))
	}
	if r.outlastsStop(route) {
		return errStopping()
	}
	who, err := r.authenticate(ctx, conf, route)
	if err != nil {
		return err
	}
	held, err := r.readBody(ctx, who.public)
	if err != nil {
		return err
	}
	defer held.Release()
	r.metrics.requests.Mark(1)
	c := &serviceCall{r: r, id: id, route: route, caller: who, ctx: ctx, stream: r.streams.add(who)}
	defer r.streams.remove(c.stream)
	deadlineCtx, cancel := requestContext(route)
	defer cancel()
	if !route.AtMostOnce {
		return c.sendWithRetries(deadlineCtx)
	}
	return c.sendAtMostOnce(deadlineCtx)
}

// servers returns the service's backend servers that accept work: those of the
// local zone first, and those in backoff after failures last.
func (c *serviceCall) servers() []config.Server {
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

// sendWithRetries sends a call that may run more than once.
func (c *serviceCall) sendWithRetries(ctx context.Context) error {
	c.r.retryBudget.RecordRequest()
	sent := false
	lastErr := errNoServer
	for n, server := range c.servers() {
		if n > 0 && !c.r.retryBudget.AllowRetry() {
			break
		}
		resp := fasthttp.AcquireResponse()
		err := c.sendRepeatable(ctx, server, resp)
		if err == nil {
			c.respond(resp)
			fasthttp.ReleaseResponse(resp)
			return nil
		}
		fasthttp.ReleaseResponse(resp)
		c.r.engines.RecordFailure(server.Name)
		sent = sent || !notSent(err)
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return c.noAnswer(lastErr, sent)
}

var errNoServer = errors.New("no backend server of the service takes work")

func (c *serviceCall) noAnswer(err error, sent bool) error {
	e := newRefusal(fasthttp.StatusBadGateway, "no_answer", "no backend server answered: "+err.Error()).withRetryAfter(time.Second)
	if sent {
		return e.withUnknownRun()
	}
	return e
}

// sendRepeatable makes a call that may run more than once to one backend server. Its
// response has no ID, and on a used connection it could be a copy of an earlier one.
func (c *serviceCall) sendRepeatable(ctx context.Context, server config.Server, resp *fasthttp.Response) error {
	client, err := c.r.clients.singleUse(server.Address)
	if err != nil {
		return err
	}
	defer client.CloseIdleConnections()
	return c.send(ctx, client, server, resp)
}

// send makes the call to one backend server.
func (c *serviceCall) send(ctx context.Context, client *fasthttp.HostClient, server config.Server, resp *fasthttp.Response) error {
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
	if err := c.r.clients.doWhole(client, req, resp, deadline); err != nil {
		return fmt.Errorf("backend %s: %w", server.Name, err)
	}
	return nil
}

// query returns the caller's query string without any argument that contains
// its key.
func (c *serviceCall) query() string {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	for name, value := range c.ctx.QueryArgs().All() {
		if !c.isCallerKey(name) && !c.isCallerKey(value) {
			args.AddBytesKV(name, value)
		}
	}
	return args.String()
}

// isCallerKey reports whether text is the caller's key.
func (c *serviceCall) isCallerKey(text []byte) bool {
	return c.caller.keyDigest != "" && digestOf(string(text)) == c.caller.keyDigest
}

// respond writes the backend server's response to the caller.
func (c *serviceCall) respond(resp *fasthttp.Response) {
	c.r.metrics.served.Mark(1)
	c.ctx.SetStatusCode(resp.StatusCode())
	c.ctx.Response.Header.SetContentTypeBytes(resp.Header.ContentType())
	c.ctx.SetBody(resp.Body())
}

// sendAtMostOnce sends a call that must not run twice.
func (c *serviceCall) sendAtMostOnce(ctx context.Context) error {
	key := string(c.ctx.Request.Header.Peek(answer.HeaderIdempotencyKey))
	switch {
	case len(key) > maxIdempotencyKeyBytes:
		return badRequestError("header %s is longer than %d bytes", answer.HeaderIdempotencyKey, maxIdempotencyKeyBytes)
	case key == "" && c.route.MissingIdempotencyKey != config.MissingKeySend:
		return badRequestError("header %s is missing; the route's calls run at most once", answer.HeaderIdempotencyKey)
	case key == "":
		return c.dispatch(ctx, nil)
	}
	return c.dispatchClaimed(ctx, receipt.Call{
		Team: c.caller.team.Name, Route: c.route.Name, IdempotencyKey: key,
		RequestDigest: receipt.Digest(c.ctx.Method(), c.ctx.Path(), []byte(c.query()), c.ctx.PostBody()),
	})
}

func (c *serviceCall) dispatchClaimed(ctx context.Context, receiptCall receipt.Call) error {
	wait, cancel := context.WithTimeout(ctx, c.route.EffectiveDispatchTimeout())
	defer cancel()
	requestedAt := c.r.clock.Now()
	claim, outcome, err := c.r.claims.Claim(wait, receiptCall)
	if errors.Is(err, receipt.ErrClaimed) {
		outcome, err = c.awaitOutcome(ctx, receiptCall)
	}
	switch {
	case outcome != nil:
		return c.replay(outcome)
	case err != nil:
		return c.claimError(err)
	}
	if c.r.clock.CheckGap(); c.r.clock.Now().Sub(requestedAt) > maxClaimAge || !c.r.stillValid(c.caller) {
		c.cancelClaim(claim)
		return newRefusal(fasthttp.StatusServiceUnavailable, "late", "the claim was made too long ago").withRetryAfter(time.Second)
	}
	return c.dispatch(ctx, claim)
}

// awaitOutcome waits for the outcome of the earlier call that holds the claim.
func (c *serviceCall) awaitOutcome(ctx context.Context, receiptCall receipt.Call) (*receipt.Outcome, error) {
	for {
		outcome, err := c.r.claims.Lookup(ctx, receiptCall)
		if !errors.Is(err, receipt.ErrClaimed) || !waitFor(ctx, outcomePollInterval) {
			return outcome, err
		}
	}
}

// claimError returns the error response for a call that could not be claimed.
func (c *serviceCall) claimError(err error) error {
	switch {
	case errors.Is(err, receipt.ErrRequestMismatch):
		return newRefusal(fasthttp.StatusUnprocessableEntity, "mismatch", "the key was used with another request")
	case errors.Is(err, receipt.ErrUnavailable):
		return newRefusal(fasthttp.StatusServiceUnavailable, "unclaimed", "the call cannot be claimed now").withRetryAfter(time.Second)
	case errors.Is(err, receipt.ErrInvalidRow):
		event.ClaimInvalid.Log(c.r.log, err, log.Fields{"request": c.id})
	}
	event.OutcomeUnknown.Log(c.r.log, err, log.Fields{"request": c.id})
	return newRefusal(fasthttp.StatusConflict, "claimed", "the call was made before and its outcome is unknown").withUnknownRun()
}

func (c *serviceCall) replay(outcome *receipt.Outcome) error {
	if outcome.Truncated {
		return newRefusal(fasthttp.StatusConflict, "claimed", "the call has run; its answer was too large to keep").withUnknownRun()
	}
	c.ctx.SetStatusCode(outcome.Status)
	c.ctx.SetContentType(outcome.ContentType)
	c.ctx.SetBody(outcome.Body)
	return nil
}

// dispatch makes the call at most once. claim is nil for a call without an
// Idempotency-Key.
func (c *serviceCall) dispatch(ctx context.Context, claim *receipt.Claim) error {
	lastErr := errNoServer
	for _, server := range c.servers() {
		client, err := c.r.clients.singleUse(server.Address)
		if err != nil {
			c.r.engines.RecordFailure(server.Name)
			lastErr = err
			continue
		}
		return c.sendOnce(ctx, client, server, claim)
	}
	c.cancelClaim(claim)
	return c.noAnswer(lastErr, false)
}

// sendOnce sends the call. After an error the call may or may not have run.
func (c *serviceCall) sendOnce(ctx context.Context, client *fasthttp.HostClient, server config.Server, claim *receipt.Claim) error {
	defer client.CloseIdleConnections()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.send(ctx, client, server, resp); err != nil {
		event.OutcomeUnknown.Log(c.r.log, err, log.Fields{"request": c.id, "server": server.Name})
		return c.noAnswer(err, true)
	}
	if claim != nil {
		c.storeOutcome(claim, resp)
	}
	c.respond(resp)
	return nil
}

// storeOutcome stores the outcome before the response is sent, so that a retry
// after a lost response gets the same outcome.
func (c *serviceCall) storeOutcome(claim *receipt.Claim, resp *fasthttp.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), outcomeStoreTimeout)
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

// cancelClaim cancels a claim whose call was not dispatched.
func (c *serviceCall) cancelClaim(claim *receipt.Claim) {
	if claim == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := claim.Cancel(ctx); err != nil {
		event.OutcomeStoreFailed.Log(c.r.log, err, log.Fields{"request": c.id})
	}
}
