package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"
)

// Duration is a time.Duration written as text, such as "1.5s". Settings may also hold it
// as a number with its unit, such as {"ms": 1500}.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("config: duration: %w", err)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler. It leaves d as it is if the value has no
// number.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	if string(raw) == "null" {
		return nil
	}
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return d.UnmarshalText([]byte(text))
	}
	var number struct {
		Milliseconds *float64 `json:"ms"`
		Seconds      *float64 `json:"s"`
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&number); err != nil {
		return fmt.Errorf("config: duration: %w", err)
	}
	var nanoseconds float64
	switch {
	case number.Milliseconds != nil && number.Seconds != nil:
		return errors.New("config: duration: more than one unit")
	case number.Milliseconds != nil:
		nanoseconds = *number.Milliseconds * float64(time.Millisecond)
	case number.Seconds != nil:
		nanoseconds = *number.Seconds * float64(time.Second)
	default:
		return nil
	}
	if math.Abs(nanoseconds) >= math.MaxInt64 {
		return errors.New("config: duration: out of range")
	}
	*d = Duration(nanoseconds)
	return nil
}

// Document is the declared configuration as an operator writes it.
type Document struct {
	Zones      []Zone      `json:"zones,omitempty"`
	Models     []Model     `json:"models,omitempty"`
	Engines    []Engine    `json:"engines,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Teams      []Team      `json:"teams,omitempty"`
	Keys       []Key       `json:"keys,omitempty"`
	Routes     []Route     `json:"routes,omitempty"`
	RetiredVMs []RetiredVM `json:"retired,omitempty"`
	Policy     *Policy     `json:"policy,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name"`
	// Region names a group of zones whose engines serve each other's requests.
	Region string `json:"region,omitempty"`
	// Weight is the zone's share of every team's rate and burst. The
	// weights of all zones sum to 1.
	Weight float64 `json:"weight"`
}

// Model is a model that engines serve.
type Model struct {
	Name string `json:"name"`
	// Version is the version of the weights that every engine of the model
	// must run.
	Version string `json:"version"`
	// Adapters lists the adapters that callers may name after a slash, as in
	// "model/adapter".
	Adapters []string `json:"adapters,omitempty"`
	// MinBytesPerToken is the minimum number of prompt bytes per token, from
	// which the tokens of a prompt are estimated. It must err low, so that
	// teams are charged too much rather than too little.
	MinBytesPerToken float64 `json:"bytes"`
	// MaxAnswerTokens is the maximum number of tokens of an answer.
	MaxAnswerTokens int `json:"limit"`
}

// Engine is a backend server that runs a model.
type Engine struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Model   string `json:"model"`
	// Slots is the maximum number of requests in the engine's batch.
	Slots int `json:"slots"`
	// SupportsFencing means that the engine rejects orders with an outdated
	// fencing token.
	SupportsFencing bool `json:"fenced,omitempty"`
}

// Service is a group of backend servers that run no model.
type Service struct {
	Name    string   `json:"name"`
	Servers []Server `json:"servers"`
}

// Server is one backend server of a Service.
type Server struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Team is a tenant with a rate and burst, in tokens, across all VMs.
type Team struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Region, if set, divides the team's tokens between the zones of one region
	// only, so that large requests there need not borrow from other regions.
	Region string `json:"region,omitempty"`
}

// Key is an issued key. Only the digest of its secret is stored.
type Key struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// Digest is the SHA-256 of the secret, in hex.
	Digest string `json:"digest"`
}

// MissingKeyAction is what an at-most-once route does with a call that has no
// Idempotency-Key header.
type MissingKeyAction string

// The values of MissingKeyAction.
const (
	MissingKeyRefuse MissingKeyAction = "refuse"
	MissingKeySend   MissingKeyAction = "send"
)

// Route sends calls to a model or to a service.
type Route struct {
	Name string `json:"name"`
	// Model is set on a model route, Service and Path on a service route.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Path matches exactly, or as a prefix if it ends in a slash.
	Path string `json:"path,omitempty"`
	// Public routes accept calls without a key.
	Public bool `json:"open,omitempty"`
	// AtMostOnce marks calls that are not idempotent and must run at most once.
	AtMostOnce            bool             `json:"once,omitempty"`
	MissingIdempotencyKey MissingKeyAction `json:"keyless,omitempty"`
	// Deadline bounds a whole call, DispatchTimeout the part of it before dispatch.
	Deadline        Duration `json:"deadline,omitempty"`
	DispatchTimeout Duration `json:"wait,omitempty"`
}

// RetiredVM declares that a VM is gone for good, so that other VMs may take over
// its slots even if the platform still lists it.
type RetiredVM struct {
	Name string `json:"name"`
}

// Policy holds settings for the whole deployment.
type Policy struct {
	// MaxProofAge bounds the age of the proof that the configuration is
	// current. Requests with a key are refused if the proof is older.
	MaxProofAge Duration `json:"stale,omitempty"`
	// QueueOrder is the order in which a team's requests are admitted when
	// the team is short of tokens.
	QueueOrder QueueOrder `json:"first,omitempty"`
}

// QueueOrder is the order in which waiting requests are admitted.
type QueueOrder string

// The values of QueueOrder. The empty value means QueueOrderEarliest.
const (
	// QueueOrderEarliest refuses the fewest requests.
	QueueOrderEarliest QueueOrder = "earliest"
	// QueueOrderLatest gives the shortest wait to the requests that are served.
	QueueOrderLatest QueueOrder = "latest"
)

// ErrQueueOrder means that a string is not a valid QueueOrder.
var ErrQueueOrder = errors.New("config: unknown queue order")

// ParseQueueOrder parses a QueueOrder. The empty string is valid.
func ParseQueueOrder(text string) (QueueOrder, error) {
	switch f := QueueOrder(text); f {
	case "", QueueOrderEarliest, QueueOrderLatest:
		return f, nil
	default:
		return "", fmt.Errorf("%w %q: want earliest or latest", ErrQueueOrder, text)
	}
}

// Item is an element of a Section, with a key that is unique in it.
type Item interface{ Key() string }

// Key implements Item.
func (z Zone) Key() string { return z.Name }

// Key implements Item.
func (m Model) Key() string { return m.Name }

// Key implements Item.
func (e Engine) Key() string { return e.Name }

// Key implements Item.
func (s Service) Key() string { return s.Name }

// Key implements Item.
func (t Team) Key() string { return t.Name }

// Key implements Item.
func (k Key) Key() string { return k.Name }

// Key implements Item.
func (r Route) Key() string { return r.Name }

// Key implements Item.
func (r RetiredVM) Key() string { return r.Name }

// Key implements Item. It is constant, as a document has only one policy.
func (p Policy) Key() string { return "policy" }
