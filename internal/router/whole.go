package router

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/valyala/fasthttp"
)

// whole serves a request that wants its answer in one piece, and returns the
// tokens used.
func (c *completion) whole(bounded context.Context, ctx *fasthttp.RequestCtx) (float64, error) {
	var chunk answer.Chunk
	var raw []byte
	c.r.budget.RecordRequest()
	err := c.eachEngine(bounded, make(map[string]bool), func(e config.Engine) (err error) {
		chunk, raw, err = c.fetch(bounded, e)
		return err
	})
	if err != nil {
		return c.usedOnFailure(), err
	}
	return c.deliver(ctx, chunk, raw)
}

// fetch asks one engine for the whole answer.
func (c *completion) fetch(bounded context.Context, e config.Engine) (answer.Chunk, []byte, error) {
	src := &source{engine: e, watch: c.r.watch(e)}
	defer src.watch.close()
	c.r.engines.Begin(e.Name)
	defer c.r.engines.End(e.Name)
	var chunk answer.Chunk
	resp, err := c.send(bounded, src, answer.NewStreamTracker(c.id), fromStart)
	if err != nil {
		return chunk, nil, c.blame(e, err)
	}
	defer fasthttp.ReleaseResponse(resp)
	src.report, err = c.accept(e, resp)
	if err == nil {
		err = decodeWhole(resp.Body(), c.id, &chunk)
	}
	if err != nil {
		return chunk, nil, c.blame(e, err)
	}
	c.r.engines.RecordSuccess(e.Name)
	if chunk.Usage != nil {
		c.learn(src, chunk.Usage)
	}
	return chunk, append([]byte(nil), resp.Body()...), nil
}

// decodeWhole checks that a body is one finished answer to the request.
func decodeWhole(raw []byte, id string, chunk *answer.Chunk) error {
	if len(raw) == 0 {
		return errEmpty
	}
	if err := json.Unmarshal(raw, chunk); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if chunk.ID != id {
		return fmt.Errorf("%w: %q", errForeign, chunk.ID)
	}
	if !chunk.Finished() {
		return errEmpty
	}
	return nil
}

func (c *completion) deliver(ctx *fasthttp.RequestCtx, chunk answer.Chunk, raw []byte) (float64, error) {
	used := c.usedOnFailure()
	if chunk.Usage != nil {
		used = float64(chunk.Usage.PromptTokens + chunk.Usage.CompletionTokens)
	}
	if c.withdrawn() {
		return used, refuse(fasthttp.StatusUnauthorized, "unauthorized", "the key was withdrawn").unknown()
	}
	c.r.metrics.first(time.Since(c.began))
	c.r.metrics.served.Mark(1)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
	return used, nil
}
