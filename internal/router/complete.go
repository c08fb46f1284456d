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

// completion is the state of one model request.
type completion struct {
	r      *Router
	id     string
	path   string
	body   *body
	route  config.Route
	model  config.Model
	caller caller
	prompt prefix.Prompt
	salt   string
	// charge is nil on public routes.
	charge *team.Charge
	stream *openStream
	start  time.Time
	// dispatched is whether any byte may have reached an engine.
	dispatched bool
	// currentFields are the fields with which the current stream was requested.
	// A resume sends them again.
	currentFields engineFields
	// believedBlocks is how many of the prompt's blocks placement believed the
	// engine to have cached. It is reported back with the answer.
	believedBlocks int
}

// serveCompletion serves a model request. streaming is true if the response
// body is still being written after the handler has returned.
func (r *Router) serveCompletion(ctx *fasthttp.RequestCtx, id string, chat bool) (streaming bool, err error) {
	if !ctx.IsPost() {
		return false, newRefusal(fasthttp.StatusMethodNotAllowed, "bad_request", "use POST")
	}
	keyless, err := r.checkKeyBeforeBody(ctx)
	if err != nil {
		return false, err
	}
	held, err := r.readBody(ctx, keyless)
	if err != nil {
		return false, err
	}
	defer func() {
		if !streaming {
			held.Release()
		}
	}()
	parsed, err := parseBody(held.Bytes(), chat)
	if err != nil {
		return false, err
	}
	c := &completion{r: r, id: id, path: string(ctx.Path()), body: parsed, start: time.Now()}
	if err := c.resolve(ctx); err != nil {
		return false, err
	}
	deadlineCtx, cancel := requestContext(c.route)
	if err := c.admit(deadlineCtx); err != nil {
		cancel()
		return false, err
	}
	end := func(used float64) {
		c.settleCharge(used)
		c.r.streams.remove(c.stream)
		c.r.queues.forModel(r, c.model.Name).Leave()
		cancel()
		held.Release()
	}
	if !parsed.stream {
		used, err := c.answerNonStreaming(deadlineCtx, ctx)
		end(used)
		return false, err
	}
	r.retryBudget.RecordRequest()
	src, err := c.openEngineStream(deadlineCtx, make(map[string]bool), answer.NewStreamTracker(id))
	if err != nil {
		end(c.chargeOnFailure())
		return false, err
	}
	r.metrics.recordTTFT(time.Since(c.start))
	r.streamAnswer(deadlineCtx, ctx, c, src, end)
	return true, nil
}

// streamAnswer lets the HTTP server write the rest of the stream after the
// handler has returned.
func (r *Router) streamAnswer(deadlineCtx context.Context, ctx *fasthttp.RequestCtx, c *completion, src *engineStream, end func(float64)) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer r.inFlight.Add(-1)
		relay := &relay{c: c, out: w, src: src}
		end(relay.run(deadlineCtx))
	})
}

// resolve looks up the route and the model, authenticates the caller and hashes
// the prompt.
func (c *completion) resolve(ctx *fasthttp.RequestCtx) error {
	conf := c.r.awaitConfigProof()
	route, model, ok := conf.ModelRoute(c.body.model)
	if !ok {
		return newRefusal(fasthttp.StatusNotFound, "no_route", fmt.Sprintf("no route to model %q", c.body.model))
	}
	if c.r.outlastsStop(route) {
		return errStopping()
	}
	who, err := c.r.authenticate(ctx, conf, route)
	if err != nil {
		return err
	}
	c.route, c.model, c.caller = route, model, who
	c.body.capMaxTokens(model)
	c.salt = c.body.cacheScope(model, who.team.Name).Salt()
	c.prompt = prefix.NewPrompt(c.salt, c.body.promptParts())
	c.r.metrics.requests.Mark(1)
	return nil
}

// chargeOnFailure returns the tokens charged for a request that got no answer:
// none if it never reached an engine, the whole charge otherwise.
func (c *completion) chargeOnFailure() float64 {
	if c.charge == nil || !c.dispatched {
		return 0
	}
	return c.charge.Total()
}

func (c *completion) settleCharge(used float64) {
	if c.charge != nil {
		c.charge.Settle(used)
	}
}

// noAnswer returns the error response for a request that no engine answered.
func (c *completion) noAnswer(err error) error {
	e := newRefusal(fasthttp.StatusBadGateway, "no_answer", "no engine answered: "+err.Error()).withRetryAfter(time.Second)
	if c.dispatched {
		return e.withUnknownRun()
	}
	return e
}
