package router

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/inbound"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/valyala/fasthttp"
)

// Paths of the HTTP API.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
	pathModels          = "/v1/models"
	pathHealth          = "/healthz"
	pathReady           = "/readyz"
)

// handleEntry handles all requests on the entry address.
func (r *Router) handleEntry(ctx *fasthttp.RequestCtx) {
	r.inFlight.Add(1)
	streaming := false
	defer func() {
		if !streaming {
			r.inFlight.Add(-1)
		}
	}()
	if r.draining.Load() || inbound.ShouldClose(ctx.Conn()) {
		ctx.SetConnectionClose()
	}
	id := platform.NewToken()
	ctx.Response.Header.Set(answer.HeaderRequestID, id)
	r.clock.CheckGap()
	var err error
	switch path := string(ctx.Path()); path {
	case pathHealth:
		ctx.SetBodyString("ok\n")
	case pathReady:
		r.writeReadiness(ctx)
	case pathModels:
		err = r.listModels(ctx)
	case pathChatCompletions, pathCompletions:
		streaming, err = r.serveCompletion(ctx, id, path == pathChatCompletions)
	default:
		err = r.serveService(ctx, id, path)
	}
	if err != nil {
		discardBody(ctx)
		r.writeError(ctx, id, err)
	}
}

func (r *Router) writeReadiness(ctx *fasthttp.RequestCtx) {
	if !r.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// caller identifies on whose behalf a request runs.
type caller struct {
	team config.Team
	// keyDigest is the digest of the presented key. It is empty on public
	// routes.
	keyDigest string
	public    bool
}

// pauseProofTimeout bounds the wait after a pause for proof that the
// configuration is current.
const pauseProofTimeout = 1500 * time.Millisecond

// awaitConfigProof returns the current configuration. After a pause of the
// process it first waits, at most pauseProofTimeout, for proof from after the
// pause that the configuration is current.
func (r *Router) awaitConfigProof() *config.Config {
	resumed := timer.Instant(r.resumedAt.Load())
	deadline := resumed.Add(pauseProofTimeout)
	for resumed > 0 && !r.configTracker.ProvedSince(resumed) && r.clock.Now() < deadline {
		time.Sleep(5 * time.Millisecond)
	}
	return r.configTracker.Current()
}

// authenticate returns the caller of a route under a configuration. It checks
// no key on public routes.
func (r *Router) authenticate(ctx *fasthttp.RequestCtx, c *config.Config, route config.Route) (caller, error) {
	if route.Public {
		return caller{public: true}, nil
	}
	if !r.configTracker.Fresh(r.clock.Now()) {
		return caller{}, newRefusal(fasthttp.StatusServiceUnavailable, "unproved",
			"keys cannot be checked: no fresh word from the platform or a peer").withRetryAfter(time.Second)
	}
	digest := digestOf(bearerToken(ctx))
	key, ok := c.KeyByDigest(digest)
	if !ok || subtle.ConstantTimeCompare([]byte(key.Digest), []byte(digest)) != 1 {
		return caller{}, newRefusal(fasthttp.StatusUnauthorized, "unauthorized", "no such key")
	}
	t, ok := c.Teams().Get(key.Team)
	if !ok {
		return caller{}, newRefusal(fasthttp.StatusUnauthorized, "unauthorized", "no such team")
	}
	return caller{team: t, keyDigest: digest}, nil
}

// stillValid reports whether the caller's key is valid for its team now. It is
// false if the configuration has not been confirmed recently.
func (r *Router) stillValid(who caller) bool {
	if who.public {
		return true
	}
	key, ok := r.configTracker.Current().KeyByDigest(who.keyDigest)
	return ok && key.Team == who.team.Name && r.configTracker.Fresh(r.clock.Now())
}

func bearerToken(ctx *fasthttp.RequestCtx) string {
	scheme, secret, _ := strings.Cut(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

func digestOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// errStopping refuses a request that the end of the process might cut.
func errStopping() error {
	return newRefusal(fasthttp.StatusServiceUnavailable, "stopping", "the router stops before the deadline of the route").withRetryAfter(time.Second)
}

// outlastsStop reports whether a request on a route may take longer than until the end of
// a stop.
func (r *Router) outlastsStop(route config.Route) bool {
	end := timer.Instant(r.servesUntil.Load())
	return end > 0 && r.clock.Now().Add(route.EffectiveDeadline()) > end
}

// requestContext returns a context with the route's deadline.
func requestContext(route config.Route) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), route.EffectiveDeadline())
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the models that the caller may use.
func (r *Router) listModels(ctx *fasthttp.RequestCtx) error {
	c := r.awaitConfigProof()
	authenticated := true
	if _, err := r.authenticate(ctx, c, config.Route{}); err != nil {
		authenticated = false
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.Models().Sorted() {
		route, _, ok := c.ModelRoute(m.Name)
		if !ok || (!authenticated && !route.Public) {
			continue
		}
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model", OwnedBy: "marjoramrock"})
		for _, adapter := range m.Adapters {
			list.Data = append(list.Data, modelItem{ID: m.Name + "/" + adapter, Object: "model", OwnedBy: "marjoramrock"})
		}
	}
	writeJSON(ctx, fasthttp.StatusOK, list)
	return nil
}
