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

// answerNonStreaming serves a request whose answer is sent as one response
// body, and returns the tokens used.
func (c *completion) answerNonStreaming(deadlineCtx context.Context, ctx *fasthttp.RequestCtx) (float64, error) {
	var chunk answer.Chunk
	var raw []byte
	c.r.retryBudget.RecordRequest()
	err := c.forEachEngine(deadlineCtx, make(map[string]bool), func(e config.Engine) (err error) {
		chunk, raw, err = c.fetchAnswer(deadlineCtx, e)
		return err
	})
	if err != nil {
		return c.chargeOnFailure(), err
	}
	return c.deliver(ctx, chunk, raw)
}

// fetchAnswer requests the whole answer from one engine.
func (c *completion) fetchAnswer(deadlineCtx context.Context, e config.Engine) (answer.Chunk, []byte, error) {
	src := &engineStream{engine: e, watch: c.r.watchEngine(e)}
	defer src.watch.close()
	c.r.engines.Begin(e.Name)
	defer c.r.engines.End(e.Name)
	var chunk answer.Chunk
	resp, err := c.send(deadlineCtx, src, answer.NewStreamTracker(c.id), fromStart)
	if err != nil {
		return chunk, nil, c.recordFailure(e, err)
	}
	defer fasthttp.ReleaseResponse(resp)
	src.report, err = c.checkResponse(e, resp)
	if err == nil {
		err = decodeAnswer(resp.Body(), c.id, &chunk)
	}
	if err != nil {
		return chunk, nil, c.recordFailure(e, err)
	}
	c.r.engines.RecordSuccess(e.Name)
	if chunk.Usage != nil {
		c.recordUsage(src, chunk.Usage)
	}
	return chunk, append([]byte(nil), resp.Body()...), nil
}

// decodeAnswer decodes a body and checks that it is a finished answer to the
// request.
func decodeAnswer(raw []byte, id string, chunk *answer.Chunk) error {
	if len(raw) == 0 {
		return errEmptyAnswer
	}
	if err := json.Unmarshal(raw, chunk); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	if chunk.ID != id {
		return fmt.Errorf("%w: %q", errMismatchedAnswer, chunk.ID)
	}
	if !chunk.Finished() {
		return errEmptyAnswer
	}
	return nil
}

func (c *completion) deliver(ctx *fasthttp.RequestCtx, chunk answer.Chunk, raw []byte) (float64, error) {
	used := c.chargeOnFailure()
	if chunk.Usage != nil {
		used = float64(chunk.Usage.PromptTokens + chunk.Usage.CompletionTokens)
	}
	if c.keyRevoked() {
		return used, newRefusal(fasthttp.StatusUnauthorized, "unauthorized", "the key was withdrawn").withUnknownRun()
	}
	c.r.metrics.recordTTFT(time.Since(c.start))
	c.r.metrics.served.Mark(1)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
	return used, nil
}
