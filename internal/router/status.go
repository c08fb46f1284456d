package router

import (
	"encoding/json"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/engine"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// Status is a summary of a router's state.
type Status struct {
	VM         string `json:"vm"`
	Zone       string `json:"zone"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest"`
	Ready      bool   `json:"ready"`
	// ProofAgeMillis is the age, in milliseconds, of the proof that the
	// generation is the newest. It is negative if there is none.
	ProofAgeMillis int64 `json:"proof"`
	InFlight       int64 `json:"inflight"`
	HeldSlots      int   `json:"slots"`
}

// Dump is the state of all tables of a router.
type Dump struct {
	Status  Status                   `json:"status"`
	Ledger  []team.SlotState         `json:"ledger"`
	Engines map[string]engine.Status `json:"engines"`
	Queues  map[string]QueueState    `json:"queues"`
	// WaitingForTokens counts the requests that wait for their team's tokens
	// behind other requests.
	WaitingForTokens int           `json:"short"`
	Streams          int           `json:"streams"`
	VMs              []platform.VM `json:"vms"`
	Teams            int           `json:"teams"`
	Keys             int           `json:"keys"`
	Routes           int           `json:"routes"`
}

// Status returns a summary of the router's state.
func (r *Router) Status() Status {
	c := r.configTracker.Current()
	_, age, ok := r.configTracker.Proof(r.clock.Now())
	s := Status{
		VM: r.settings.VM, Zone: r.settings.Zone,
		Generation: c.Generation(), Digest: c.Digest(),
		Ready: r.Ready(), ProofAgeMillis: age.Milliseconds(),
		InFlight: r.inFlight.Load(), HeldSlots: len(r.slots.HeldSlots()),
	}
	if !ok {
		s.ProofAgeMillis = -1
	}
	return s
}

// Dump returns the state of all tables.
func (r *Router) Dump() Dump {
	c := r.configTracker.Current()
	return Dump{
		Status:           r.Status(),
		Ledger:           r.ledger.State(),
		Engines:          r.engines.All(),
		Queues:           r.queues.state(),
		WaitingForTokens: r.tokenQueue.Waiting(),
		Streams:          r.streams.len(),
		VMs:              r.view.Routers(""),
		Teams:            c.Teams().Len(),
		Keys:             c.Keys().Len(),
		Routes:           len(c.Document().Routes),
	}
}

// LogDump writes the dump to the log.
func (r *Router) LogDump() {
	raw, err := json.Marshal(r.Dump())
	event.StateDumped.Log(r.log, err, log.Fields{"dump": string(raw)})
}

// handleStatus handles all requests on the status address.
func (r *Router) handleStatus(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathHealth:
		ctx.SetBodyString("ok\n")
	case pathReady:
		r.writeReadiness(ctx)
	case "/status":
		writeJSON(ctx, fasthttp.StatusOK, r.Status())
	case "/dump":
		writeJSON(ctx, fasthttp.StatusOK, r.Dump())
	case "/metrics":
		ctx.SetContentType("application/json")
		metrics.WriteJSONOnce(r.metrics.registry, ctx)
	case "/faults":
		r.switchFaults(ctx)
	default:
		newRefusal(fasthttp.StatusNotFound, "no_route", "no such path").write(&ctx.Response)
	}
}

// switchFaults sets the links to cut, if the settings allow it.
func (r *Router) switchFaults(ctx *fasthttp.RequestCtx) {
	var cut CutLinks
	size := ctx.Request.Header.ContentLength()
	if !r.settings.AllowFaults || size < 0 || size > maxStatusBodyBytes || json.Unmarshal(ctx.PostBody(), &cut) != nil {
		newRefusal(fasthttp.StatusForbidden, "forbidden", "fault switches are off").write(&ctx.Response)
		return
	}
	r.faults.set(cut)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		newRefusal(fasthttp.StatusInternalServerError, "internal", "answer does not encode").write(&ctx.Response)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}
