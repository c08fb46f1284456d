package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/event"
)

const (
	// eventLimit bounds one event of a stream in bytes.
	eventLimit = 1 << 20
	// eventBuffer holds several events, in bytes.
	eventBuffer = 8 << 10
	// firstSilence and eventSilence are how often the goal of the first event,
	// and of a pause, may pass before a stream that may be resumed leaves a
	// silent engine; leastSilence is the least time for both.
	firstSilence = 2
	eventSilence = 3
	leastSilence = 600 * time.Millisecond
)

// streaming is the state of a stream over its attempts.
type streaming struct {
	*flight
	// last is the id of the last event passed on.
	last string
}

// stream serves a call whose answer is a series of events.
func (g *Gateway) stream(ctx context.Context, f *flight) {
	st := &streaming{flight: f, last: f.call.LastEventID}
	for ctx.Err() == nil {
		c, err := g.next(ctx, f)
		if err != nil {
			f.why = err.Error()
			break
		}
		if g.streamAttempt(ctx, st, c) {
			return
		}
		if f.runs > 0 && !f.mayRepeat() {
			break
		}
	}
	if st.begun {
		f.outcome = "broken"
		f.sink.Abort()
		return
	}
	g.giveUp(ctx, f)
}

// streamAttempt reports whether the caller was answered or has left.
func (g *Gateway) streamAttempt(ctx context.Context, st *streaming, c choice) bool {
	f := st.flight
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g.table.Begin(c.server.ID, c.missing)
	defer g.table.End(c.server.ID)
	readDone := func() { g.table.PromptRead(c.server.ID, c.missing); c.missing = 0 }
	defer readDone()

	quiet := g.watch(f, cancel)
	defer quiet.stop()
	if f.mayRepeat() && f.runs+1 < f.route.MaxAttempts {
		defer g.moves.add(c.server.ID, &movable{service: f.service, cancel: cancel})()
	}
	ans, err := g.send(ctx, f, c, st.last)
	if err != nil {
		g.forget(f, c)
		return false
	}
	defer func() { _ = ans.Body.Close() }()
	if ans.NotRun || ans.WrongServer {
		g.forget(f, c)
		return false
	}
	if ans.Status != http.StatusOK {
		return g.streamFailure(ctx, st, c, ans)
	}
	err = st.copy(ans, func() {
		readDone()
		quiet.heard()
		if f.first == 0 {
			f.first = g.now()
			g.ready(f, c)
		}
	})
	switch {
	case errors.Is(err, errCaller):
		f.outcome = "caller left"
		return true
	case err != nil && errors.Is(context.Cause(ctx), errMoved):
		f.tried[c.server.ID], f.prepaid = true, true
		event.StreamMoved.Log(g.log, nil, log.Fields{"request": f.call.ID, "server": c.server.ID, "last": st.last})
		return false
	case err != nil:
		g.learn(ctx, f, c, nil, err)
		return false
	}
	g.succeeded(c.server)
	f.status, f.outcome = ans.Status, outcomeAnswered
	return true
}

// streamFailure handles an answer of an engine that is no stream.
func (g *Gateway) streamFailure(ctx context.Context, st *streaming, c choice, ans *Response) bool {
	body, err := io.ReadAll(io.LimitReader(ans.Body, answerLimit))
	if err != nil {
		g.learn(ctx, st.flight, c, nil, err)
		return false
	}
	if st.begun || (ans.Status >= http.StatusInternalServerError && st.mayRepeat()) {
		st.tried[c.server.ID] = true
		return false
	}
	g.pass(st.flight, ans, body)
	return true
}

// forget takes back what was believed of an engine that did not read a prompt.
func (g *Gateway) forget(f *flight, c choice) {
	for _, p := range f.call.Prompt.SharedParts() {
		g.parts.RemovePart(c.server.ID, c.salt, p.ID)
	}
}

// errCaller means that the caller has left.
var errCaller = errors.New("caller left")

// copy passes the whole events of an answer on. It skips those that the caller
// has from an earlier attempt.
func (st *streaming) copy(ans *Response, heard func()) error {
	events := bufio.NewReaderSize(ans.Body, eventBuffer)
	for {
		raw, id, err := readEvent(events)
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(raw)) == 0 {
			if !st.begun {
				return st.begin(ans)
			}
			return nil
		}
		if err != nil {
			return err
		}
		heard()
		if id != "" && !after(id, st.last) {
			continue
		}
		if err := st.begin(ans); err != nil {
			return err
		}
		if err := st.sink.Write(raw); err != nil {
			return errCaller
		}
		if id != "" {
			st.last = id
		}
	}
}

func (st *streaming) begin(ans *Response) error {
	if st.begun {
		return nil
	}
	st.begun = true
	length := ans.ContentLength
	if st.route.Resumable {
		// A resumed answer need not have the announced length.
		length = -1
	}
	if err := st.sink.WriteHeader(ans.Status, ans.Header, length); err != nil {
		return errCaller
	}
	return nil
}

// readEvent reads up to the empty line that ends an event. At the end of the
// stream it returns io.EOF with what was left.
func readEvent(r *bufio.Reader) (raw []byte, id string, err error) {
	for {
		line, err := r.ReadBytes('\n')
		raw = append(raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(raw)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return raw, id, err
		}
		if len(raw) > eventLimit {
			return raw, id, errors.New("event is too long")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return raw, id, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// after reports whether an event follows another one. Ids are numbers; others
// count as following.
func after(id, last string) bool {
	if last == "" {
		return true
	}
	a, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	b, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	return a > b
}

// silence ends an attempt of a stream that may be resumed elsewhere when its
// engine sends nothing. A nil silence does nothing.
type silence struct {
	timer *time.Timer
	pause time.Duration
}

func (g *Gateway) watch(f *flight, cancel context.CancelCauseFunc) *silence {
	if !f.mayRepeat() || f.runs+1 >= f.route.MaxAttempts {
		return nil
	}
	return &silence{
		pause: max(leastSilence, eventSilence*f.route.EventGapGoal),
		timer: time.AfterFunc(max(leastSilence, firstSilence*f.route.LatencyGoal), func() { cancel(errSilent) }),
	}
}

func (s *silence) heard() {
	if s != nil && s.timer.Stop() {
		s.timer.Reset(s.pause)
	}
}

func (s *silence) stop() {
	if s != nil {
		s.timer.Stop()
	}
}
