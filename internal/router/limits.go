package router

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/inbound"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Limits bound what callers may use. A limit that is zero has its default.
type Limits struct {
	// Conns bounds the connections of callers, StatusConns those to the status address.
	Conns       int `json:"conns,omitempty"`
	StatusConns int `json:"status_conns,omitempty"`
	// HeadFields bounds the lines of a request's head, HeadsMB the memory of all heads.
	HeadFields int `json:"head_fields,omitempty"`
	HeadsMB    int `json:"heads_mb,omitempty"`
	// BodiesMB bounds the memory of all bodies, PublicShare the share of it that requests
	// without a key may take.
	BodiesMB    int     `json:"bodies_mb,omitempty"`
	PublicShare float64 `json:"public_share,omitempty"`
}

// Defaults of Limits.
const (
	defaultMaxConns     = 4096
	connDescriptorShare = 0.5
	defaultStatusConns  = 64
	// defaultHeadFields is above what clients and proxies send (about 100).
	defaultHeadFields  = 256
	defaultHeadsMB     = 16
	defaultBodiesMB    = 96
	defaultPublicShare = 0.25
	maxStatusBodyBytes = 64 << 10
)

func (l Limits) withDefaults(descriptors int) Limits {
	for _, f := range []struct {
		field *int
		value int
	}{
		{&l.Conns, max(1, min(defaultMaxConns, int(connDescriptorShare*float64(descriptors))))}, {&l.StatusConns, defaultStatusConns},
		{&l.HeadFields, defaultHeadFields}, {&l.HeadsMB, defaultHeadsMB}, {&l.BodiesMB, defaultBodiesMB},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if l.PublicShare == 0 {
		l.PublicShare = defaultPublicShare
	}
	return l
}

func (l Limits) validate(report func(field, text string)) {
	for _, f := range []struct {
		name  string
		value int
	}{
		{"limits.conns", l.Conns}, {"limits.status_conns", l.StatusConns}, {"limits.head_fields", l.HeadFields},
		{"limits.heads_mb", l.HeadsMB}, {"limits.bodies_mb", l.BodiesMB},
	} {
		if f.value < 0 {
			report(f.name, "must not be below zero")
		}
	}
	if l.PublicShare < 0 || l.PublicShare > 1 {
		report("limits.public_share", "must be from 0 to 1")
	}
}

// callerMemory bounds the memory of what callers send.
type callerMemory struct {
	heads, bodies, publicBodies *buffer.Budget
	log                         event.Sampler
}

func newCallerMemory(l Limits) *callerMemory {
	bodies := buffer.NewBudget(int64(l.BodiesMB) << 20)
	return &callerMemory{
		heads: buffer.NewBudget(int64(l.HeadsMB) << 20), bodies: bodies,
		publicBodies: bodies.NewShare(int64(l.PublicShare * float64(bodies.Limit()))),
	}
}

// recordLimit counts what a limit has prevented, and logs it now and then.
func (r *Router) recordLimit(e event.Event, reason string, fields log.Fields) {
	metrics.GetOrRegisterCounter("limit."+reason, r.metrics.registry).Inc(1)
	if n := r.callerMemory.log.Count(reason, time.Now()); n > 0 {
		fields["reason"], fields["times"] = reason, n
		e.Log(r.log, nil, fields)
	}
}

func (r *Router) listenerLimits(address string, conns int) inbound.Limits {
	return inbound.Limits{
		Conns: conns, HeadFields: r.settings.Limits.HeadFields, HeadMemory: r.callerMemory.heads, WriteTimeout: callerWriteTimeout,
		OnLimit: func(reason inbound.Reason, from net.Addr) {
			r.recordLimit(event.ConnectionClosed, string(reason), log.Fields{"listener": address, "from": from.String()})
		},
	}
}

// maxUncheckedBodyBytes is the size up to which the body of a model request without a
// valid key is read: its model may have a public route.
const maxUncheckedBodyBytes = 64 << 10

// checkKeyBeforeBody reports whether a model request has no valid key, and refuses it if
// no route could serve it then.
func (r *Router) checkKeyBeforeBody(ctx *fasthttp.RequestCtx) (keyless bool, err error) {
	c := r.awaitConfigProof()
	if _, err = r.authenticate(ctx, c, config.Route{}); err == nil {
		return false, nil
	}
	if n := ctx.Request.Header.ContentLength(); n >= 0 && n <= maxUncheckedBodyBytes {
		return true, nil
	}
	for _, m := range c.Models().Sorted() {
		if route, _, ok := c.ModelRoute(m.Name); ok && route.Public {
			return true, nil
		}
	}
	return true, err
}

// headerOversizedBody marks a request whose body was announced as too large.
const headerOversizedBody = "X-Marjoramrock-Oversized-Body"

// markOversizedBody is the HeaderReceived hook of the server, which would wait for the start
// of a body before it calls the handler, even if the body is too large. Such a request has
// no body for the handler, and ends its connection.
func markOversizedBody(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > maxRequestBytes {
		h.SetContentLength(0)
		h.Set(headerOversizedBody, "1")
		h.SetConnectionClose()
	}
	return fasthttp.RequestConfig{}
}

// readBody reads the body of a request, which must be released when the request has ended.
func (r *Router) readBody(ctx *fasthttp.RequestCtx, keyless bool) (*buffer.Buffer, error) {
	budget := r.callerMemory.bodies
	if keyless {
		budget = r.callerMemory.publicBodies
	}
	b := buffer.New(budget, maxRequestBytes)
	if len(ctx.Request.Header.Peek(headerOversizedBody)) > 0 {
		return nil, newRefusal(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the size limit")
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return b, beginRequest(ctx)
	}
	if keyless {
		inbound.MarkUntrusted(ctx.Conn())
	}
	err := b.ReadAllMakingRoom(stream, func() bool { return inbound.MakeRoomForBody(ctx.Conn()) })
	if err == nil {
		ctx.Request.SetBodyRaw(b.Bytes())
		if err = beginRequest(ctx); err == nil {
			return b, nil
		}
	}
	b.Release()
	switch {
	case errors.Is(err, buffer.ErrFull):
		r.recordLimit(event.BodyRefused, "bodies_out_of_memory", log.Fields{"keyless": keyless})
		return nil, newRefusal(fasthttp.StatusServiceUnavailable, "overloaded", "the memory for bodies is full").withRetryAfter(time.Second)
	case errors.Is(err, buffer.ErrTooLarge):
		return nil, newRefusal(fasthttp.StatusRequestEntityTooLarge, "body_too_large", "the body exceeds the size limit")
	}
	ctx.SetConnectionClose()
	return nil, badRequestError("the body is not complete")
}

// beginRequest returns an error if the connection has been closed to make room for others.
func beginRequest(ctx *fasthttp.RequestCtx) error {
	if !inbound.BeginRequest(ctx.Conn()) {
		return net.ErrClosed
	}
	return nil
}

// discardTimeout bounds the time to read the body of a request that is refused. A caller
// that still writes when its connection is closed may not see the response.
const discardTimeout = 2 * time.Second

// discardBody reads what is left of a body without keeping it.
func discardBody(ctx *fasthttp.RequestCtx) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return
	}
	// A connection without deadlines fails later, when it is read or written.
	_ = ctx.Conn().SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.CopyN(io.Discard, stream, maxRequestBytes+1); !errors.Is(err, io.EOF) {
		ctx.SetConnectionClose()
	}
}
