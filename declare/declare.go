package declare

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/tailscale/hujson"
)

// Defaults of what a declaration leaves out.
const (
	defaultBytes = 3
	defaultLimit = 1024
	defaultSlots = 8
)

// Deployment is a configuration being declared. Create one with New.
type Deployment struct {
	comment string
	doc     config.Document
}

// New returns an empty deployment.
func New() *Deployment { return &Deployment{} }

// Comment sets the comment that opens the printed configuration.
func (d *Deployment) Comment(text string) *Deployment {
	d.comment = text
	return d
}

// Zone declares an availability zone with its part of every team's rate and
// burst. The weights of all zones must sum to 1.
func (d *Deployment) Zone(name string, weight float64) *Deployment {
	return d.RegionZone(name, "", weight)
}

// RegionZone declares an availability zone of a region. Engines of one region
// serve each other's requests.
func (d *Deployment) RegionZone(name, region string, weight float64) *Deployment {
	d.doc.Zones = append(d.doc.Zones, config.Zone{Name: name, Region: region, Weight: weight})
	return d
}

// Model is a model being declared.
type Model struct {
	d *Deployment
	i int
}

// Model declares a model and the version of its weights.
func (d *Deployment) Model(name, version string) Model {
	d.doc.Models = append(d.doc.Models, config.Model{
		Name: name, Version: version, MinBytesPerToken: defaultBytes, MaxAnswerTokens: defaultLimit,
	})
	return Model{d: d, i: len(d.doc.Models) - 1}
}

// MinBytesPerToken sets the least number of prompt bytes that make one token.
func (m Model) MinBytesPerToken(n float64) Model {
	m.d.doc.Models[m.i].MinBytesPerToken = n
	return m
}

// MaxAnswerTokens sets the most tokens one answer may have.
func (m Model) MaxAnswerTokens(tokens int) Model {
	m.d.doc.Models[m.i].MaxAnswerTokens = tokens
	return m
}

// Adapters names the model's adapters.
func (m Model) Adapters(names ...string) Model {
	m.d.doc.Models[m.i].Adapters = names
	return m
}

// Engine is an engine being declared.
type Engine struct {
	d *Deployment
	i int
}

// Engine declares an engine of a model at an address in a zone.
func (d *Deployment) Engine(name, zone, model, address string) Engine {
	d.doc.Engines = append(d.doc.Engines, config.Engine{
		Name: name, Zone: zone, Model: model, Address: address, Slots: defaultSlots,
	})
	return Engine{d: d, i: len(d.doc.Engines) - 1}
}

// Slots sets how many requests the engine batches at once.
func (e Engine) Slots(n int) Engine {
	e.d.doc.Engines[e.i].Slots = n
	return e
}

// SupportsFencing says that the engine refuses orders with an old fencing number.
func (e Engine) SupportsFencing() Engine {
	e.d.doc.Engines[e.i].SupportsFencing = true
	return e
}

// Service is a plain service being declared.
type Service struct {
	d *Deployment
	i int
}

// Service declares a plain service.
func (d *Deployment) Service(name string) Service {
	d.doc.Services = append(d.doc.Services, config.Service{Name: name})
	return Service{d: d, i: len(d.doc.Services) - 1}
}

// Server adds a backend server of the service.
func (s Service) Server(name, zone, address string) Service {
	service := &s.d.doc.Services[s.i]
	service.Servers = append(service.Servers, config.Server{Name: name, Zone: zone, Address: address})
	return s
}

// Team is a team being declared.
type Team struct {
	d *Deployment
	i int
}

// Team declares a team.
func (d *Deployment) Team(name string) Team {
	d.doc.Teams = append(d.doc.Teams, config.Team{Name: name})
	return Team{d: d, i: len(d.doc.Teams) - 1}
}

// Rate sets the team's rate over the whole fleet, in tokens a second.
func (t Team) Rate(tokens float64) Team {
	t.d.doc.Teams[t.i].Rate = tokens
	return t
}

// Burst sets the team's burst over the whole fleet, in tokens.
func (t Team) Burst(tokens float64) Team {
	t.d.doc.Teams[t.i].Burst = tokens
	return t
}

// Region keeps the team's tokens in the zones of one region.
func (t Team) Region(name string) Team {
	t.d.doc.Teams[t.i].Region = name
	return t
}

// Key declares a key of a team by the SHA-256 digest of its secret, in hex.
func (d *Deployment) Key(name, team, digest string) *Deployment {
	d.doc.Keys = append(d.doc.Keys, config.Key{Name: name, Team: team, Digest: digest})
	return d
}

// Route is a route being declared.
type Route struct {
	d *Deployment
	i int
}

// ModelRoute declares the route to a model.
func (d *Deployment) ModelRoute(name, model string) Route {
	return d.route(config.Route{Name: name, Model: model})
}

// ServiceRoute declares a route to a service; a path that ends in a slash
// takes everything below it.
func (d *Deployment) ServiceRoute(name, path, service string) Route {
	return d.route(config.Route{Name: name, Path: path, Service: service})
}

func (d *Deployment) route(r config.Route) Route {
	d.doc.Routes = append(d.doc.Routes, r)
	return Route{d: d, i: len(d.doc.Routes) - 1}
}

// Public lets callers in without a key.
func (r Route) Public() Route {
	r.d.doc.Routes[r.i].Public = true
	return r
}

// AtMostOnce marks calls that are not idempotent: each runs at most once, named by
// its Idempotency-Key.
func (r Route) AtMostOnce() Route {
	r.d.doc.Routes[r.i].AtMostOnce = true
	return r
}

// AllowMissingIdempotencyKey lets calls without an Idempotency-Key through, sent at most once.
func (r Route) AllowMissingIdempotencyKey() Route {
	r.d.doc.Routes[r.i].MissingIdempotencyKey = config.MissingKeySend
	return r
}

// Deadline bounds a whole call.
func (r Route) Deadline(t time.Duration) Route {
	r.d.doc.Routes[r.i].Deadline = config.Duration(t)
	return r
}

// DispatchTimeout bounds the part of a call before its dispatch.
func (r Route) DispatchTimeout(t time.Duration) Route {
	r.d.doc.Routes[r.i].DispatchTimeout = config.Duration(t)
	return r
}

// RetireVM declares that a VM is gone for good.
func (d *Deployment) RetireVM(vm string) *Deployment {
	d.doc.RetiredVMs = append(d.doc.RetiredVMs, config.RetiredVM{Name: vm})
	return d
}

// MaxProofAge sets how long keyed requests are served with no fresh proof that the
// configuration is the newest.
func (d *Deployment) MaxProofAge(t time.Duration) *Deployment {
	d.policy().MaxProofAge = config.Duration(t)
	return d
}

// LatestFirst lets the latest of a team's requests go first when the team is
// short of tokens, instead of the earliest: those that are served wait less,
// and more are refused.
func (d *Deployment) LatestFirst() *Deployment {
	d.policy().QueueOrder = config.QueueOrderLatest
	return d
}

// EarliestFirst lets the earliest of a team's requests go first when the team
// is short of tokens, which refuses the fewest. It is the default.
func (d *Deployment) EarliestFirst() *Deployment {
	d.policy().QueueOrder = config.QueueOrderEarliest
	return d
}

func (d *Deployment) policy() *config.Policy {
	if d.doc.Policy == nil {
		d.doc.Policy = &config.Policy{}
	}
	return d.doc.Policy
}

// Document returns the declared configuration.
func (d *Deployment) Document() config.Document { return d.doc }

// Check returns every problem of the declaration, or nil.
func (d *Deployment) Check() error {
	if problems := config.Check(d.doc); len(problems) > 0 {
		return fmt.Errorf("declare: %w", problems)
	}
	return nil
}

// Print checks the declaration and writes it as JSON with comments.
func (d *Deployment) Print(w io.Writer) error {
	if err := d.Check(); err != nil {
		return err
	}
	raw, err := json.Marshal(d.doc)
	if err != nil {
		return fmt.Errorf("declare: encode: %w", err)
	}
	formatted, err := hujson.Format(raw)
	if err != nil {
		return fmt.Errorf("declare: format: %w", err)
	}
	if d.comment != "" {
		formatted = append([]byte("// "+d.comment+"\n"), formatted...)
	}
	if _, err := w.Write(formatted); err != nil {
		return fmt.Errorf("declare: print: %w", err)
	}
	return nil
}
