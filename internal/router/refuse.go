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

// refusal is an answer that the router gives itself.
type refusal struct {
	status  int
	kind    string
	message string
	run     answer.RunStatus
	// retry is when trying again makes sense; zero leaves the header out.
	retry time.Duration
}

// Error implements error.
func (e *refusal) Error() string { return e.kind + ": " + e.message }

func refuse(status int, kind, message string) *refusal {
	return &refusal{status: status, kind: kind, message: message, run: answer.RunStatusNotRun}
}

func (e *refusal) after(d time.Duration) *refusal {
	e.retry = d
	return e
}

func (e *refusal) unknown() *refusal {
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
	if e.retry > 0 {
		resp.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.retry.Seconds()))))
	}
	resp.SetBodyRaw(e.body())
}

// fail writes an error as a refusal; errors of other kinds are not told.
func (r *Router) fail(ctx *fasthttp.RequestCtx, id string, err error) {
	var e *refusal
	if !errors.As(err, &e) {
		e = refuse(fasthttp.StatusInternalServerError, "internal", "the router failed").unknown()
	}
	e.write(&ctx.Response)
	r.metrics.refused(e.kind)
	logged := event.RequestRefused
	if e.run == answer.RunStatusUnknown {
		logged = event.RequestFailed
	}
	logged.Log(r.log, err, log.Fields{"request": id, "type": e.kind, "run": string(e.run)})
}

// badRequest answers what the HTTP server could not read.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	status, kind := fasthttp.StatusBadRequest, "bad_request"
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		status, kind = fasthttp.StatusRequestHeaderFieldsTooLarge, "headers_too_large"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status, kind = fasthttp.StatusRequestEntityTooLarge, "body_too_large"
	}
	refuse(status, kind, err.Error()).write(&ctx.Response)
}
