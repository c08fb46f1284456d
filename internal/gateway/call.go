package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/parts"
)

// Call is one request of a caller.
type Call struct {
	ID     string
	Method string
	// RequestURI is the path and query as they came; Path is the path alone.
	RequestURI string
	Path       string
	Host       string
	// Header is what is passed on to backend servers.
	Header http.Header
	Body   []byte
	// Key is what the caller identified itself with; empty where it did not.
	Key string
	// Timeout is how long the caller waits; zero where it does not say.
	Timeout time.Duration
	// Prompt is empty for calls of plain services; Sized is set where the
	// caller gave its size.
	Prompt      parts.Prompt
	TokensKnown bool
	// LastEventID is the last event that the caller has, for streams that go on.
	LastEventID string
}

// Attempt is one sending of a call to a backend server.
type Attempt struct {
	Call   *Call
	Server backend.Server
	// TimeLeft is what remains of the call's time.
	TimeLeft time.Duration
	// Team is the name of the caller's team, or empty.
	Team string
	// Model calls are bound to a version and a salt of the cache.
	Version   int64
	CacheSalt string
	// FetchFrom is an address to take cached parts from, Save one to leave them at.
	FetchFrom string
	SaveTo    string
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// LastEventID is the last event that the caller has been sent.
	LastEventID string
	// MaxConnIdle bounds the idle time of a connection that may be used; zero is any.
	MaxConnIdle time.Duration
}

// Response is a backend server's answer. Its body must be closed.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's size in bytes, or -1.
	ContentLength int64
	// NotRun is set where the server states that the call did not and will not run.
	NotRun bool
	// WrongServer is set where another server answered than was addressed.
	WrongServer bool
	// Version is the version of the model that the server runs, or 0.
	Version int64
	Body    io.ReadCloser
}

// ServerClient sends calls to backend servers. An error that is not
// upstream.ErrUnsent means that the call may have run.
type ServerClient interface {
	Send(ctx context.Context, a *Attempt) (*Response, error)
}

// ResponseWriter takes the answer to a caller. An error means that the caller has left.
type ResponseWriter interface {
	// Refuse ends the call with an answer of the router's own.
	Refuse(r Refusal) error
	// WriteHeader sends status and headers of a backend server's answer; the length
	// is -1 where it is not known.
	WriteHeader(status int, header http.Header, length int64) error
	// Write sends a piece of the body at once.
	Write(p []byte) error
	// Abort closes the connection, so that the answer shows as incomplete.
	Abort()
}

// Refusal is an answer of the router's own.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller may come back; zero is not said.
	RetryAfter time.Duration
}

// Reason says why the router answers by itself.
type Reason string

// Reasons of refusals. Those up to ReasonUnavailable state that the call did not run
// and will not; ReasonBackendFailed and ReasonTimedOut state nothing.
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
