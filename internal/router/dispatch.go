package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/engine"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/valyala/fasthttp"
)

// Errors of one attempt at an engine.
var (
	errNoEngine = errors.New("no engine of the model takes work")
	errStatus   = errors.New("engine refused")
	errEmpty    = errors.New("engine answered with nothing")
	errStale    = errors.New("engine runs other weights")
	errBudget   = errors.New("retry budget is spent")
	errForeign  = errors.New("answer is to another request")
)

// eventsAhead bounds the events read ahead of a slow caller.
const eventsAhead = 16

// stallTimeout is how long an engine may send nothing.
const stallTimeout = 10 * time.Second

// source is one engine's stream of an answer.
type source struct {
	engine config.Engine
	report engine.Report
	resp   *fasthttp.Response
	events chan answer.Event
	quit   chan struct{}
	done   chan struct{}
	watch  *watch
	// first is the event that was read to see that there is an answer.
	first *answer.Event
	end   func()
}

// close ends the source; its engine sees the connection go.
func (s *source) close() {
	close(s.quit)
	_ = s.resp.CloseBodyStream()
	<-s.done
	s.end()
}

// reachable returns the engines of a model in the own region.
func (r *Router) reachable(model string) []config.Engine {
	c := r.configTracker.Current()
	own, _ := c.Zones().Get(r.settings.Zone)
	var near []config.Engine
	for _, e := range c.EnginesByModel(model) {
		if zone, _ := c.Zones().Get(e.Zone); zone.Region == own.Region {
			near = append(near, e)
		}
	}
	return near
}

// candidates returns the engines that take new work: those of the own region,
// else of any, else also those that rest after failures.
func (r *Router) candidates(model string, tried map[string]bool) ([]config.Engine, []prefix.Candidate) {
	near, all := r.reachable(model), r.configTracker.Current().EnginesByModel(model)
	for _, choice := range []struct {
		from    []config.Engine
		resting bool
	}{{near, false}, {all, false}, {near, true}, {all, true}} {
		if engines, list := r.usable(choice.from, tried, choice.resting); len(list) > 0 {
			return engines, list
		}
	}
	return nil, nil
}

func (r *Router) usable(from []config.Engine, tried map[string]bool, resting bool) ([]config.Engine, []prefix.Candidate) {
	var engines []config.Engine
	var list []prefix.Candidate
	for _, e := range from {
		s := r.engines.Status(e.Name)
		if tried[e.Name] || (s.InBackoff && !resting) || r.view.Leaving(e.Name) {
			continue
		}
		engines = append(engines, e)
		list = append(list, prefix.Candidate{
			Name: e.Name, Incarnation: s.Incarnation, InFlight: s.InFlight, Load: s.Load, Slots: e.Slots,
		})
	}
	return engines, list
}

// place chooses the engine for the next attempt.
func (c *completion) place(tried map[string]bool) (config.Engine, error) {
	engines, list := c.r.candidates(c.model.Name, tried)
	if len(list) == 0 {
		return config.Engine{}, errNoEngine
	}
	best := c.r.placement().Order(c.prompt, list)[0]
	if learner, ok := c.r.placement().(prefix.PlacementObserver); ok {
		c.believed = learner.Placed(c.prompt, list[best].Name, list[best].Incarnation)
	}
	return engines[best], nil
}

// attempts bounds the engines tried for one answer.
const attempts = 4

// eachEngine makes attempts at engines in the order of placement until one
// succeeds. It passes over those in tried, which it adds to, and stops when the
// retry budget, the deadline or the caller's key is at its end.
func (c *completion) eachEngine(ctx context.Context, tried map[string]bool, attempt func(config.Engine) error) error {
	last := errNoEngine
	for n := range attempts {
		if n > 0 && !c.r.budget.AllowRetry() {
			last = fmt.Errorf("%w: %w", errBudget, last)
			break
		}
		e, err := c.place(tried)
		if err != nil {
			break
		}
		tried[e.Name] = true
		if last = attempt(e); last == nil {
			return nil
		}
		if ctx.Err() != nil || c.withdrawn() {
			break
		}
	}
	return c.failure(last)
}

// open starts a stream on some engine that is not in tried, and returns it
// once its first event is there.
func (c *completion) open(ctx context.Context, tried map[string]bool, seq *answer.StreamTracker) (*source, error) {
	var src *source
	err := c.eachEngine(ctx, tried, func(e config.Engine) (err error) {
		src, err = c.try(ctx, e, seq, fromStart)
		return err
	})
	return src, err
}

func (c *completion) withdrawn() bool {
	select {
	case <-c.stream.revoked:
		return true
	default:
		return false
	}
}

// fromStart asks an engine for a whole stream, in place of the index of the
// event to resume from.
const fromStart = -1

// try opens a stream on one engine, whole or resumed from an event.
func (c *completion) try(ctx context.Context, e config.Engine, seq *answer.StreamTracker, resume int) (*source, error) {
	c.r.engines.Begin(e.Name)
	w := c.r.watch(e)
	src := &source{engine: e, watch: w, end: func() {
		w.close()
		c.r.engines.End(e.Name)
	}}
	var err error
	src.resp, err = c.send(ctx, src, seq, resume)
	if err == nil {
		if src.report, err = c.accept(e, src.resp); err != nil {
			_ = src.resp.CloseBodyStream()
		}
	}
	if err != nil {
		src.end()
		return nil, c.blame(e, err)
	}
	c.pump(src, src.resp.BodyStream())
	if err := c.await(ctx, src, seq); err != nil {
		src.close()
		return nil, c.blame(e, err)
	}
	c.r.engines.RecordSuccess(e.Name)
	return src, nil
}

// blame counts a failure against an engine.
func (c *completion) blame(e config.Engine, err error) error {
	if errors.Is(err, errEmpty) {
		event.AnswerEmpty.Log(c.r.log, nil, log.Fields{"engine": e.Name, "request": c.id})
	}
	if !errors.Is(err, context.Canceled) {
		c.r.engines.RecordFailure(e.Name)
	}
	return fmt.Errorf("engine %s: %w", e.Name, err)
}

// send writes the request to an engine and reads the head of the answer.
func (c *completion) send(ctx context.Context, src *source, seq *answer.StreamTracker, resume int) (*fasthttp.Response, error) {
	e := src.engine
	text, tokens := seq.Text()
	u := upstream{salt: c.salt, sent: text, count: tokens}
	if resume != fromStart {
		u = c.resumed
	}
	raw, err := c.body.encode(u)
	if err != nil {
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + e.Address + c.path)
	req.Header.SetContentType("application/json")
	req.Header.Set(answer.HeaderRequestID, c.id)
	if resume != fromStart {
		req.Header.Set(answer.HeaderResumeIndex, strconv.Itoa(resume))
	}
	c.resumed = u
	c.r.clients.authorize(req, e.Name)
	req.SetBodyRaw(raw)
	deadline, _ := ctx.Deadline()
	resp, err := c.r.clients.call(e.Address, req, c.body.stream, deadline, src.watch.lost)
	if err == nil || !unsent(err) {
		c.dispatched = true
	}
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	src.watch.hear(c.r.clock.Now())
	return resp, nil
}

// accept checks the head of an answer before any of it reaches the caller.
func (c *completion) accept(e config.Engine, resp *fasthttp.Response) (engine.Report, error) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return engine.Report{}, fmt.Errorf("%w: status %d", errStatus, resp.StatusCode())
	}
	rep := engine.Report{
		Incarnation: string(resp.Header.Peek(answer.HeaderIncarnation)),
		Version:     string(resp.Header.Peek(answer.HeaderWeightsVersion)),
	}
	rep.Load, _ = strconv.Atoi(string(resp.Header.Peek(answer.HeaderLoad)))
	if c.r.engines.Observe(e.Name, rep) {
		event.EngineRestarted.Log(c.r.log, nil, log.Fields{"engine": e.Name, "incarnation": rep.Incarnation})
		if learner, ok := c.r.placement().(prefix.PlacementObserver); ok {
			learner.CacheLost(e.Name)
		}
	}
	if id := string(resp.Header.Peek(answer.HeaderRequestID)); id != c.id {
		return rep, fmt.Errorf("%w: %q", errForeign, id)
	}
	if rep.Version != c.model.Version {
		event.AnswerVersionMismatch.Log(c.r.log, nil, log.Fields{"engine": e.Name, "version": rep.Version, "want": c.model.Version})
		return rep, fmt.Errorf("%w: %s", errStale, rep.Version)
	}
	return rep, nil
}

// pump reads events ahead of the relay, a bounded number of them.
func (c *completion) pump(src *source, body io.Reader) {
	src.events = make(chan answer.Event, eventsAhead)
	src.quit = make(chan struct{})
	src.done = make(chan struct{})
	go func() {
		defer close(src.done)
		answer.ReadEvents(body, func(e answer.Event) bool {
			select {
			case src.events <- e:
				return true
			case <-src.quit:
				return false
			}
		})
	}()
}

// await takes the first event that the answer needs next.
func (c *completion) await(ctx context.Context, src *source, seq *answer.StreamTracker) error {
	for {
		select {
		case e := <-src.events:
			switch {
			case errors.Is(e.Err, io.ErrUnexpectedEOF):
				return errEmpty
			case e.Err != nil:
				return e.Err
			case e.Done && seq.AcceptedEvents() == 0:
				return errEmpty
			case e.Done || seq.Check(e.ID) == answer.EventNext:
				src.first = &e
				return nil
			}
		case <-src.watch.lost:
			return errLost
		case <-ctx.Done():
			return fmt.Errorf("first event: %w", ctx.Err())
		case <-c.stream.revoked:
			return fmt.Errorf("first event: %w", context.Canceled)
		}
	}
}
