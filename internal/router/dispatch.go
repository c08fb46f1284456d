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

// Errors of an attempt at an engine. Their texts are part of error responses.
var (
	errNoEngine         = errors.New("no engine of the model takes work")
	errEngineStatus     = errors.New("engine refused")
	errEmptyAnswer      = errors.New("engine answered with nothing")
	errStaleWeights     = errors.New("engine runs other weights")
	errRetryBudget      = errors.New("retry budget is spent")
	errMismatchedAnswer = errors.New("answer is to another request")
)

// maxBufferedEvents bounds the events read ahead of a slow caller.
const maxBufferedEvents = 16

// stallTimeout is how long a stream may go without an event before it counts as
// broken.
const stallTimeout = 10 * time.Second

// engineStream is an answer being streamed from one engine.
type engineStream struct {
	engine config.Engine
	report engine.Report
	resp   *fasthttp.Response
	events chan answer.Event
	quit   chan struct{}
	done   chan struct{}
	watch  *engineWatch
	// firstEvent is the event that awaitFirstEvent has taken from events to see
	// that there is an answer. It is nil once it has been handled.
	firstEvent *answer.Event
	release    func()
}

// close closes the connection to the engine and releases the stream.
func (s *engineStream) close() {
	close(s.quit)
	_ = s.resp.CloseBodyStream()
	<-s.done
	s.release()
}

// regionEngines returns the model's engines in the local region.
func (r *Router) regionEngines(model string) []config.Engine {
	c := r.configTracker.Current()
	localZone, _ := c.Zones().Get(r.settings.Zone)
	var near []config.Engine
	for _, e := range c.EnginesByModel(model) {
		if zone, _ := c.Zones().Get(e.Zone); zone.Region == localZone.Region {
			near = append(near, e)
		}
	}
	return near
}

// candidates returns the engines that accept new work: those in the local
// region, else those of any region. Engines in backoff after failures are
// included only if there are no others.
func (r *Router) candidates(model string, tried map[string]bool) ([]config.Engine, []prefix.Candidate) {
	near, all := r.regionEngines(model), r.configTracker.Current().EnginesByModel(model)
	for _, choice := range []struct {
		from           []config.Engine
		includeBackoff bool
	}{{near, false}, {all, false}, {near, true}, {all, true}} {
		if engines, list := r.usable(choice.from, tried, choice.includeBackoff); len(list) > 0 {
			return engines, list
		}
	}
	return nil, nil
}

func (r *Router) usable(from []config.Engine, tried map[string]bool, includeBackoff bool) ([]config.Engine, []prefix.Candidate) {
	var engines []config.Engine
	var list []prefix.Candidate
	for _, e := range from {
		s := r.engines.Status(e.Name)
		if tried[e.Name] || (s.InBackoff && !includeBackoff) || r.view.Leaving(e.Name) {
			continue
		}
		engines = append(engines, e)
		list = append(list, prefix.Candidate{
			Name: e.Name, Incarnation: s.Incarnation, InFlight: s.InFlight, Load: s.Load, Slots: e.Slots,
		})
	}
	return engines, list
}

// chooseEngine returns the engine for the next attempt.
func (c *completion) chooseEngine(tried map[string]bool) (config.Engine, error) {
	engines, list := c.r.candidates(c.model.Name, tried)
	if len(list) == 0 {
		return config.Engine{}, errNoEngine
	}
	best := c.r.placement().Order(c.prompt, list)[0]
	if observer, ok := c.r.placement().(prefix.PlacementObserver); ok {
		c.believedBlocks = observer.Placed(c.prompt, list[best].Name, list[best].Incarnation)
	}
	return engines[best], nil
}

// maxEngineAttempts bounds the engines tried for one answer. It applies anew
// when a broken stream continues on another engine.
const maxEngineAttempts = 4

// forEachEngine calls attempt for one engine after another, as placement
// chooses them, until a call succeeds. It skips the engines in tried and adds
// those that it uses. It stops early if the retry budget is exhausted, ctx is
// done or the caller's key has been revoked.
func (c *completion) forEachEngine(ctx context.Context, tried map[string]bool, attempt func(config.Engine) error) error {
	lastErr := errNoEngine
	for n := range maxEngineAttempts {
		if n > 0 && !c.r.retryBudget.AllowRetry() {
			lastErr = fmt.Errorf("%w: %w", errRetryBudget, lastErr)
			break
		}
		e, err := c.chooseEngine(tried)
		if err != nil {
			break
		}
		tried[e.Name] = true
		if lastErr = attempt(e); lastErr == nil {
			return nil
		}
		if ctx.Err() != nil || c.keyRevoked() {
			break
		}
	}
	return c.noAnswer(lastErr)
}

// openEngineStream opens a stream on an engine that is not in tried, and
// returns it once its first event has arrived.
func (c *completion) openEngineStream(ctx context.Context, tried map[string]bool, seq *answer.StreamTracker) (*engineStream, error) {
	var src *engineStream
	err := c.forEachEngine(ctx, tried, func(e config.Engine) (err error) {
		src, err = c.openOn(ctx, e, seq, fromStart)
		return err
	})
	return src, err
}

func (c *completion) keyRevoked() bool {
	select {
	case <-c.stream.revoked:
		return true
	default:
		return false
	}
}

// fromStart requests a whole stream, in place of the index of the event to
// resume from.
const fromStart = -1

// openOn opens a stream on one engine, from the start or resumed from an event.
func (c *completion) openOn(ctx context.Context, e config.Engine, seq *answer.StreamTracker, resume int) (*engineStream, error) {
	c.r.engines.Begin(e.Name)
	w := c.r.watchEngine(e)
	src := &engineStream{engine: e, watch: w, release: func() {
		w.close()
		c.r.engines.End(e.Name)
	}}
	var err error
	src.resp, err = c.send(ctx, src, seq, resume)
	if err == nil {
		if src.report, err = c.checkResponse(e, src.resp); err != nil {
			_ = src.resp.CloseBodyStream()
		}
	}
	if err != nil {
		src.release()
		return nil, c.recordFailure(e, err)
	}
	c.readAhead(src, src.resp.BodyStream())
	if err := c.awaitFirstEvent(ctx, src, seq); err != nil {
		src.close()
		return nil, c.recordFailure(e, err)
	}
	c.r.engines.RecordSuccess(e.Name)
	return src, nil
}

// recordFailure records a failed attempt at an engine, unless it was canceled.
func (c *completion) recordFailure(e config.Engine, err error) error {
	if errors.Is(err, errEmptyAnswer) {
		event.AnswerEmpty.Log(c.r.log, nil, log.Fields{"engine": e.Name, "request": c.id})
	}
	if !errors.Is(err, context.Canceled) {
		c.r.engines.RecordFailure(e.Name)
	}
	return fmt.Errorf("engine %s: %w", e.Name, err)
}

// send sends the request to an engine and reads the response header.
func (c *completion) send(ctx context.Context, src *engineStream, seq *answer.StreamTracker, resume int) (*fasthttp.Response, error) {
	e := src.engine
	text, tokens := seq.Text()
	u := engineFields{salt: c.salt, generated: text, generatedTokens: tokens}
	if resume != fromStart {
		u = c.currentFields
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
	c.currentFields = u
	c.r.clients.authorize(req, e.Name)
	req.SetBodyRaw(raw)
	deadline, _ := ctx.Deadline()
	resp, err := c.r.clients.call(e.Address, req, c.body.stream, deadline, src.watch.lost)
	if err == nil || !notSent(err) {
		c.dispatched = true
	}
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	src.watch.recordActivity(c.r.clock.Now())
	return resp, nil
}

// checkResponse checks the response header before any of the answer is sent to
// the caller.
func (c *completion) checkResponse(e config.Engine, resp *fasthttp.Response) (engine.Report, error) {
	if resp.StatusCode() != fasthttp.StatusOK {
		return engine.Report{}, fmt.Errorf("%w: status %d", errEngineStatus, resp.StatusCode())
	}
	report := engine.Report{
		Incarnation: string(resp.Header.Peek(answer.HeaderIncarnation)),
		Version:     string(resp.Header.Peek(answer.HeaderWeightsVersion)),
	}
	report.Load, _ = strconv.Atoi(string(resp.Header.Peek(answer.HeaderLoad)))
	if c.r.engines.Observe(e.Name, report) {
		event.EngineRestarted.Log(c.r.log, nil, log.Fields{"engine": e.Name, "incarnation": report.Incarnation})
		if observer, ok := c.r.placement().(prefix.PlacementObserver); ok {
			observer.CacheLost(e.Name)
		}
	}
	if id := string(resp.Header.Peek(answer.HeaderRequestID)); id != c.id {
		return report, fmt.Errorf("%w: %q", errMismatchedAnswer, id)
	}
	if report.Version != c.model.Version {
		event.AnswerVersionMismatch.Log(c.r.log, nil, log.Fields{"engine": e.Name, "version": report.Version, "want": c.model.Version})
		return report, fmt.Errorf("%w: %s", errStaleWeights, report.Version)
	}
	return report, nil
}

// readAhead starts reading events ahead of the caller, at most
// maxBufferedEvents.
func (c *completion) readAhead(src *engineStream, body io.Reader) {
	src.events = make(chan answer.Event, maxBufferedEvents)
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

// awaitFirstEvent waits for the first event that continues the answer.
func (c *completion) awaitFirstEvent(ctx context.Context, src *engineStream, seq *answer.StreamTracker) error {
	for {
		select {
		case e := <-src.events:
			switch {
			case errors.Is(e.Err, io.ErrUnexpectedEOF):
				return errEmptyAnswer
			case e.Err != nil:
				return e.Err
			case e.Done && seq.AcceptedEvents() == 0:
				return errEmptyAnswer
			case e.Done || seq.Check(e.ID) == answer.EventNext:
				src.firstEvent = &e
				return nil
			}
		case <-src.watch.lost:
			return errEngineLost
		case <-ctx.Done():
			return fmt.Errorf("first event: %w", ctx.Err())
		case <-c.stream.revoked:
			return fmt.Errorf("first event: %w", context.Canceled)
		}
	}
}
