package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/parts"
)

// Call is a request of a caller.
type Call struct {
	ID     string
	Method string
	// RequestURI is the path and query as received; Path is the path alone.
	RequestURI string
	Path       string
	Host       string
	// Header holds the headers that are forwarded to backend servers.
	Header http.Header
	Body   []byte
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is how long the caller waits, or zero if it does not say.
	Timeout time.Duration
	// Prompt is empty for calls to plain services. TokensKnown is set if the caller
	// stated the prompt's numbers of tokens.
	Prompt      parts.Prompt
	TokensKnown bool
	// LastEventID is the last event that the caller has of a stream that it resumes.
	LastEventID string
}

// Attempt is one transmission of a call to a backend server.
type Attempt struct {
	Call   *Call
	Server backend.Server
	// TimeLeft is the time until the call times out.
	TimeLeft time.Duration
	// Team is the name of the caller's team, or empty.
	Team string
	// Version and CacheSalt bind a model call to a version of the weights and to a
	// prefix cache.
	Version   int64
	CacheSalt string
	// FetchFrom is the address to fetch cached parts from, SaveTo the one to save
	// them to.
	FetchFrom string
	SaveTo    string
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the last event that has been passed on to the caller.
	LastEventID string
	// MaxConnIdle bounds how long a reused connection may have been idle; zero means
	// no bound.
	MaxConnIdle time.Duration
	// NewConn is set if the server may have had an attempt with this call's ID before,
	// whose response may arrive a second time on a connection in use.
	NewConn bool
	// Permit must be called right before the attempt is written, which it then allows or
	// not.
	Permit func() bool
}

// Response is the response of a backend server. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the size of the body in bytes, or -1 if it is not known.
	ContentLength int64
	// EndsWithConn is set if the body has neither a length nor chunks and ends with its
	// connection.
	EndsWithConn bool
	// NotRun is set if the server states that the call did not and will not run.
	NotRun bool
	// ReadAsNotRun is set if callers would read NotRun from the status, though the server
	// does not state it.
	ReadAsNotRun bool
	// WrongServer is set if another server than the addressed one responded.
	WrongServer bool
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// RetryAfter is how long the server asks for no requests, at most MaxRetryAfter; zero
	// if it does not.
	RetryAfter time.Duration
	// InvalidRetryAfter is the start of what the server sent instead of a valid time.
	InvalidRetryAfter string
	// Version is the version of the model that the server runs, or 0.
	Version int64
	Body    io.ReadCloser
	// events reads the body of a stream whose first event has been awaited, or is nil.
	events *eventReader
	// whole holds a body that has been read by awaitWhole, or is nil.
	whole *buffer.Buffer
}

// close closes the body, and releases what has been read of it.
func (r *Response) close() {
	_ = r.Body.Close()
	if r.events != nil {
		r.events.release()
	}
	if r.whole != nil {
		r.whole.Release()
	}
}

// awaitWhole reads the body to its end and keeps it for takeWhole.
func (r *Response) awaitWhole(budget *buffer.Budget) error {
	b := buffer.New(budget, maxResponseBytes)
	if err := b.ReadAll(r.Body); err != nil {
		b.Release()
		return err
	}
	r.whole = b
	return nil
}

// takeWhole returns the whole body, which the caller must release.
func (r *Response) takeWhole(budget *buffer.Budget) (*buffer.Buffer, error) {
	if r.whole == nil {
		if err := r.awaitWhole(budget); err != nil {
			return nil, err
		}
	}
	b := r.whole
	r.whole = nil
	return b, nil
}

// awaitEvent reads a stream up to the first event that follows the one with the last ID. It
// returns an error if the stream ends before, unless the end shows that it is complete.
func (r *Response) awaitEvent(lastID string, budget *buffer.Budget) error {
	r.events = newEventReader(r.Body, budget)
	err := r.events.peek(lastID)
	if errors.Is(err, io.EOF) {
		return r.checkEmptyEnd(lastID)
	}
	return err
}

// checkEmptyEnd returns an error if a stream that has ended without an event after the one
// with the last ID may be incomplete: without a length or chunks, its end and the failure of
// its server look the same.
func (r *Response) checkEmptyEnd(lastID string) error {
	switch {
	case !r.EndsWithConn:
		return nil
	case lastID == "":
		return io.ErrUnexpectedEOF
	}
	return errNoNewEvent
}

// ServerClient sends calls to backend servers. After an error other than
// upstream.ErrUnsent, the call may have run.
type ServerClient interface {
	Send(ctx context.Context, a *Attempt) (*Response, error)
}

// ResponseWriter writes the response to a caller. An error means that the caller
// has left.
type ResponseWriter interface {
	// Refuse responds with a refusal of the gateway itself.
	Refuse(r Refusal) error
	// WriteHeader sends the status and headers of a backend server's response. The
	// length is -1 if it is not known.
	WriteHeader(status int, header http.Header, length int64) error
	// Write sends a piece of the body without buffering it.
	Write(p []byte) error
	// Abort closes the connection, so that the caller sees an incomplete response.
	Abort()
}

// Refusal is a response of the gateway itself.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller may retry; zero leaves it open.
	RetryAfter time.Duration
}

// Reason says why the gateway refuses a call.
type Reason string

// Reasons for refusals. Those up to ReasonUnavailable state that the call did not
// run and will not run; ReasonBackendFailed and ReasonTimedOut leave that open.
const (
	ReasonMalformed     Reason = "malformed"
	ReasonTooLarge      Reason = "too large"
	ReasonNoRoute       Reason = "no such route"
	ReasonUnknownKey    Reason = "unknown key"
	ReasonOverRate      Reason = "over the team's rate"
	ReasonUnavailable   Reason = "unavailable"
	ReasonBackendFailed Reason = "backend failed"
	ReasonTimedOut      Reason = "timed out"
)
