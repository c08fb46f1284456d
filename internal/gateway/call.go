package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/backend"
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
