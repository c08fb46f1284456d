package router

import (
	"bufio"
	"context"
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
	r.budget.RecordRequest()
	src, err := c.open(bounded, make(map[string]bool), answer.NewStreamTracker(id))
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
