package config

import (
	"errors"
	"fmt"
	"time"
)

// Duration is a time.Duration written as text, such as "1.5s".
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
	// Region groups zones whose engines serve each other's requests.
	Region string `json:"region,omitempty"`
	// Weight is the zone's part of every team's rate and burst. The
	// weights of all zones sum to 1.
	Weight float64 `json:"weight"`
}

// Model is a model that engines serve.
type Model struct {
	Name string `json:"name"`
	// Version names the weights that every engine of the model must run.
	Version string `json:"version"`
	// Adapters are the names callers may add after a slash: "model/adapter".
	Adapters []string `json:"adapters,omitempty"`
	// MinBytesPerToken is the least number of prompt bytes that make one token. It
	// must err low, so that charges err high.
	MinBytesPerToken float64 `json:"bytes"`
	// MaxAnswerTokens is the most tokens one answer may have.
	MaxAnswerTokens int `json:"limit"`
}

// Engine is a backend server that runs a model.
type Engine struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Model   string `json:"model"`
	// Slots is the number of requests the engine batches at once.
	Slots int `json:"slots"`
	// SupportsFencing says that the engine refuses orders with an old fencing number.
	SupportsFencing bool `json:"fenced,omitempty"`
}

// Service is a plain service that routes lead to.
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

// Team is a tenant with a rate and burst in tokens over the whole fleet.
type Team struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Region, if set, keeps the team's tokens in the zones of one region, so
	// that large requests there need not borrow from afar.
	Region string `json:"region,omitempty"`
}

// Key is an issued key. Only the digest of its secret is kept.
type Key struct {
	Name string `json:"name"`
	Team string `json:"team"`
	// Digest is the SHA-256 of the secret, in hex.
	Digest string `json:"digest"`
}

// MissingKeyAction says what a once-only route does with a call that carries no
// Idempotency-Key.
type MissingKeyAction string

// The values of Keyless.
const (
	MissingKeyRefuse MissingKeyAction = "refuse"
	MissingKeySend   MissingKeyAction = "send"
)

// Route leads callers to a model or to a service.
type Route struct {
	Name string `json:"name"`
	// Model is set on a model route, Service and Path on a service route.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Path is matched whole, or as a prefix when it ends in a slash.
	Path string `json:"path,omitempty"`
	// Public routes need no key.
	Public bool `json:"open,omitempty"`
	// AtMostOnce marks calls that are not idempotent and run at most once.
	AtMostOnce            bool             `json:"once,omitempty"`
	MissingIdempotencyKey MissingKeyAction `json:"keyless,omitempty"`
	// Deadline bounds a call, Wait the part of it spent before dispatch.
	Deadline        Duration `json:"deadline,omitempty"`
	DispatchTimeout Duration `json:"wait,omitempty"`
}

// RetiredVM declares that a VM is gone for good, so that its slots may be
// taken over even if the platform's list still shows it.
type RetiredVM struct {
	Name string `json:"name"`
}

// Policy holds the deployment's few tunable decisions.
type Policy struct {
	// MaxProofAge is how long keyed requests are served with no fresh proof of
	// the configuration.
	MaxProofAge Duration `json:"stale,omitempty"`
	// QueueOrder is which of a team's requests goes first when the team is short
	// of tokens.
	QueueOrder QueueOrder `json:"first,omitempty"`
}

// QueueOrder says which of several waiting requests goes first.
type QueueOrder string

// The values of First. The empty value stands for FirstEarliest.
const (
	// QueueOrderEarliest refuses the fewest requests.
	QueueOrderEarliest QueueOrder = "earliest"
	// QueueOrderLatest lets those that are served wait least.
	QueueOrderLatest QueueOrder = "latest"
)

// ErrQueueOrder means that a text is no value of First.
var ErrQueueOrder = errors.New("config: give earliest or latest")

// ParseQueueOrder reads a value of First, possibly the empty one.
func ParseQueueOrder(text string) (QueueOrder, error) {
	switch f := QueueOrder(text); f {
	case "", QueueOrderEarliest, QueueOrderLatest:
		return f, nil
	default:
		return "", fmt.Errorf("%w, not %q", ErrQueueOrder, text)
	}
}

// Item is an item of a section, unique by its key.
type Item interface{ Key() string }

// Key implements Named.
func (z Zone) Key() string { return z.Name }

// Key implements Named.
func (m Model) Key() string { return m.Name }

// Key implements Named.
func (e Engine) Key() string { return e.Name }

// Key implements Named.
func (s Service) Key() string { return s.Name }

// Key implements Named.
func (t Team) Key() string { return t.Name }

// Key implements Named.
func (k Key) Key() string { return k.Name }

// Key implements Named.
func (r Route) Key() string { return r.Name }

// Key implements Named.
func (r RetiredVM) Key() string { return r.Name }

// Key implements Named. There is one policy.
func (p Policy) Key() string { return "policy" }
