package router

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/valyala/fasthttp"
)

// refusal is an error response of the router itself.
type refusal struct {
	status  int
	kind    string
	message string
	run     answer.RunStatus
	// retryAfter is the value of the Retry-After header. Zero omits it.
	retryAfter time.Duration
}

// Error implements error.
func (e *refusal) Error() string { return e.kind + ": " + e.message }

func newRefusal(status int, kind, message string) *refusal {
	return &refusal{status: status, kind: kind, message: message, run: answer.RunStatusNotRun}
}

func (e *refusal) withRetryAfter(d time.Duration) *refusal {
	e.retryAfter = d
	return e
}

func (e *refusal) withUnknownRun() *refusal {
	e.run = answer.RunStatusUnknown
	return e
}

func (e *refusal) body() []byte {
	raw, err := json.Marshal(answer.ErrorBody{Error: answer.Error{Type: e.kind, Message: e.message, Run: e.run}})
	if err != nil {
		return []byte(`{"error":{"type":"internal","message":"","run":"unknown"}}`)
	}
	return raw
}

func (e *refusal) write(resp *fasthttp.Response) {
	resp.ResetBody()
	resp.SetStatusCode(e.status)
	resp.Header.SetContentType("application/json")
	resp.Header.Set(answer.HeaderRunStatus, string(e.run))
	if e.retryAfter > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.retryAfter.Seconds()))))
	}
	resp.SetBodyRaw(e.body())
}

// writeError writes err as an error response. The text of an error that is not
// a refusal is logged but not sent to the caller.
func (r *Router) writeError(ctx *fasthttp.RequestCtx, id string, err error) {
	var e *refusal
	if !errors.As(err, &e) {
		e = newRefusal(fasthttp.StatusInternalServerError, "internal", "the router failed").withUnknownRun()
	}
	e.write(&ctx.Response)
	r.metrics.recordRefusal(e.kind)
	logged := event.RequestRefused
	if e.run == answer.RunStatusUnknown {
		logged = event.RequestFailed
	}
	logged.Log(r.log, err, log.Fields{"request": id, "type": e.kind, "run": string(e.run)})
}

// writeReadError writes the response to a request that the HTTP server could
// not read.
func writeReadError(ctx *fasthttp.RequestCtx, err error) {
	status, kind := fasthttp.StatusBadRequest, "bad_request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, kind = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, kind = fasthttp.StatusRequestEntityTooLarge, "body_too_large"
	}
	newRefusal(status, kind, err.Error()).write(&ctx.Response)
}
