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
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/valyala/fasthttp"
)

// Paths of the API.
const (
	pathChat     = "/v1/chat/completions"
	pathComplete = "/v1/completions"
	pathModels   = "/v1/models"
	pathAlive    = "/healthz"
	pathReady    = "/readyz"
)

// enter handles every request of a caller.
func (r *Router) enter(ctx *fasthttp.RequestCtx) {
	r.inFlight.Add(1)
	held := false
	defer func() {
		if !held {
			r.inFlight.Add(-1)
		}
	}()
	if r.draining.Load() {
		ctx.SetConnectionClose()
	}
	id := platform.NewToken()
	ctx.Response.Header.Set(answer.HeaderRequestID, id)
	r.clock.CheckGap()
	var err error
	switch path := string(ctx.Path()); path {
	case pathAlive:
		ctx.SetBodyString("ok\n")
	case pathReady:
		r.ready(ctx)
	case pathModels:
		err = r.models(ctx)
	case pathChat, pathComplete:
		held, err = r.complete(ctx, id, path == pathChat)
	default:
		err = r.service(ctx, id, path)
	}
	if err != nil {
		r.fail(ctx, id, err)
	}
}

func (r *Router) ready(ctx *fasthttp.RequestCtx) {
	if !r.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// caller is who a request runs for.
type caller struct {
	team config.Team
	// digest is that of the presented key; empty on open routes.
	digest string
	open   bool
}

// pauseProof bounds the wait for proof of the configuration after a pause.
const pauseProof = 1500 * time.Millisecond

// settle waits, for a bounded time, until the configuration is proved newer
// than the process's last pause, and returns it.
func (r *Router) settle() *config.Config {
	resumed := timer.Instant(r.resumedAt.Load())
	limit := resumed.Add(pauseProof)
	for resumed > 0 && !r.configTracker.ProvedSince(resumed) && r.clock.Now() < limit {
		time.Sleep(5 * time.Millisecond)
	}
	return r.configTracker.Current()
}

// authenticate returns the caller of a keyed route under a configuration.
func (r *Router) authenticate(ctx *fasthttp.RequestCtx, c *config.Config, route config.Route) (caller, error) {
	if route.Public {
		return caller{open: true}, nil
	}
	if !r.configTracker.Fresh(r.clock.Now()) {
		return caller{}, refuse(fasthttp.StatusServiceUnavailable, "unproved",
			"keys cannot be checked: no fresh word from the platform or a peer").after(time.Second)
	}
	digest := digestOf(bearer(ctx))
	key, ok := c.KeyByDigest(digest)
	if !ok || subtle.ConstantTimeCompare([]byte(key.Digest), []byte(digest)) != 1 {
		return caller{}, refuse(fasthttp.StatusUnauthorized, "unauthorized", "no such key")
	}
	t, ok := c.Teams().Get(key.Team)
	if !ok {
		return caller{}, refuse(fasthttp.StatusUnauthorized, "unauthorized", "no such team")
	}
	return caller{team: t, digest: digest}, nil
}

// stillValid reports whether a caller's key is in force for its team.
func (r *Router) stillValid(who caller) bool {
	if who.open {
		return true
	}
	key, ok := r.configTracker.Current().KeyByDigest(who.digest)
	return ok && key.Team == who.team.Name && r.configTracker.Fresh(r.clock.Now())
}

func bearer(ctx *fasthttp.RequestCtx) string {
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

// requestContext bounds a call by its route's deadline.
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

// models lists the models that the caller may use.
func (r *Router) models(ctx *fasthttp.RequestCtx) error {
	c := r.settle()
	keyed := true
	if _, err := r.authenticate(ctx, c, config.Route{}); err != nil {
		keyed = false
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, m := range c.Models().Sorted() {
		route, _, ok := c.ModelRoute(m.Name)
		if !ok || (!keyed && !route.Public) {
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
