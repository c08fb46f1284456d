package declare

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/tailscale/hujson"
)

// Defaults for what a declaration omits.
const (
	defaultMinBytesPerToken = 3
	defaultMaxAnswerTokens  = 1024
	defaultSlots            = 8
)

// Deployment builds the configuration of a deployment. Create one with New.
type Deployment struct {
	comment string
	doc     config.Document
}

// New returns an empty deployment.
func New() *Deployment { return &Deployment{} }

// Comment sets the comment at the top of the printed configuration.
func (d *Deployment) Comment(text string) *Deployment {
	d.comment = text
	return d
}

// Zone declares an availability zone. The weight is the zone's share of every team's
// rate and burst. The weights of all zones must sum to 1.
func (d *Deployment) Zone(name string, weight float64) *Deployment {
	return d.RegionZone(name, "", weight)
}

// RegionZone declares an availability zone in a region. Engines in one region serve
// each other's requests.
func (d *Deployment) RegionZone(name, region string, weight float64) *Deployment {
	d.doc.Zones = append(d.doc.Zones, config.Zone{Name: name, Region: region, Weight: weight})
	return d
}

// Model sets the properties of a declared model.
type Model struct {
	deployment *Deployment
	index      int
}

// Model declares a model and the version of its weights that all engines must run.
func (d *Deployment) Model(name, version string) Model {
	d.doc.Models = append(d.doc.Models, config.Model{
		Name: name, Version: version, MinBytesPerToken: defaultMinBytesPerToken, MaxAnswerTokens: defaultMaxAnswerTokens,
	})
	return Model{deployment: d, index: len(d.doc.Models) - 1}
}

// Bytes sets the minimum number of prompt bytes per token, from which the
// tokens of a prompt are estimated. The default is 3.
func (m Model) Bytes(n float64) Model {
	m.deployment.doc.Models[m.index].MinBytesPerToken = n
	return m
}

// Limit sets the maximum number of tokens of an answer. The default is
// 1024.
func (m Model) Limit(tokens int) Model {
	m.deployment.doc.Models[m.index].MaxAnswerTokens = tokens
	return m
}

// Adapters sets the names of the model's adapters.
func (m Model) Adapters(names ...string) Model {
	m.deployment.doc.Models[m.index].Adapters = names
	return m
}

// Engine sets the properties of a declared engine.
type Engine struct {
	deployment *Deployment
	index      int
}

// Engine declares an engine of a model at an address in a zone.
func (d *Deployment) Engine(name, zone, model, address string) Engine {
	d.doc.Engines = append(d.doc.Engines, config.Engine{
		Name: name, Zone: zone, Model: model, Address: address, Slots: defaultSlots,
	})
	return Engine{deployment: d, index: len(d.doc.Engines) - 1}
}

// Slots sets the maximum number of requests in the engine's batch. The default is 8.
func (e Engine) Slots(n int) Engine {
	e.deployment.doc.Engines[e.index].Slots = n
	return e
}

// Fenced declares that the engine rejects orders with an outdated fencing
// token.
func (e Engine) Fenced() Engine {
	e.deployment.doc.Engines[e.index].SupportsFencing = true
	return e
}

// Service sets the properties of a declared service.
type Service struct {
	deployment *Deployment
	index      int
}

// Service declares a service, a group of backend servers that run no model.
func (d *Deployment) Service(name string) Service {
	d.doc.Services = append(d.doc.Services, config.Service{Name: name})
	return Service{deployment: d, index: len(d.doc.Services) - 1}
}

// Server adds a backend server of the service.
func (s Service) Server(name, zone, address string) Service {
	service := &s.deployment.doc.Services[s.index]
	service.Servers = append(service.Servers, config.Server{Name: name, Zone: zone, Address: address})
	return s
}

// Team sets the properties of a declared team.
type Team struct {
	deployment *Deployment
	index      int
}

// Team declares a team.
func (d *Deployment) Team(name string) Team {
	d.doc.Teams = append(d.doc.Teams, config.Team{Name: name})
	return Team{deployment: d, index: len(d.doc.Teams) - 1}
}

// Rate sets the team's rate across all VMs, in tokens per second.
func (t Team) Rate(tokens float64) Team {
	t.deployment.doc.Teams[t.index].Rate = tokens
	return t
}

// Burst sets the team's burst across all VMs, in tokens.
func (t Team) Burst(tokens float64) Team {
	t.deployment.doc.Teams[t.index].Burst = tokens
	return t
}

// Region divides the team's tokens between the zones of one region only.
func (t Team) Region(name string) Team {
	t.deployment.doc.Teams[t.index].Region = name
	return t
}

// Key declares a key of a team by the SHA-256 digest of its secret, in hex.
func (d *Deployment) Key(name, team, digest string) *Deployment {
	d.doc.Keys = append(d.doc.Keys, config.Key{Name: name, Team: team, Digest: digest})
	return d
}

// Route sets the properties of a declared route.
type Route struct {
	deployment *Deployment
	index      int
}

// ModelRoute declares the route to a model.
func (d *Deployment) ModelRoute(name, model string) Route {
	return d.route(config.Route{Name: name, Model: model})
}

// ServiceRoute declares a route to a service. The path matches exactly, or as a
// prefix if it ends in a slash.
func (d *Deployment) ServiceRoute(name, path, service string) Route {
	return d.route(config.Route{Name: name, Path: path, Service: service})
}

func (d *Deployment) route(r config.Route) Route {
	d.doc.Routes = append(d.doc.Routes, r)
	return Route{deployment: d, index: len(d.doc.Routes) - 1}
}

// Open accepts calls without a key.
func (r Route) Open() Route {
	r.deployment.doc.Routes[r.index].Public = true
	return r
}

// Once declares that calls are not idempotent. Each runs at most once, identified
// by its Idempotency-Key header.
func (r Route) Once() Route {
	r.deployment.doc.Routes[r.index].AtMostOnce = true
	return r
}

// Keyless accepts calls to an at-most-once route that have no
// Idempotency-Key header. They are sent at most once.
func (r Route) Keyless() Route {
	r.deployment.doc.Routes[r.index].MissingIdempotencyKey = config.MissingKeySend
	return r
}

// Deadline bounds a whole call.
func (r Route) Deadline(t time.Duration) Route {
	r.deployment.doc.Routes[r.index].Deadline = config.Duration(t)
	return r
}

// Wait bounds the time until a call is dispatched to a backend server.
func (r Route) Wait(t time.Duration) Route {
	r.deployment.doc.Routes[r.index].DispatchTimeout = config.Duration(t)
	return r
}

// Retire declares that a VM is gone for good, so that other VMs may take over its
// slots even if the platform still lists it.
func (d *Deployment) Retire(vm string) *Deployment {
	d.doc.RetiredVMs = append(d.doc.RetiredVMs, config.RetiredVM{Name: vm})
	return d
}

// Stale bounds the age of the proof that the configuration is current. Requests
// with a key are refused if the proof is older.
func (d *Deployment) Stale(t time.Duration) *Deployment {
	d.policy().MaxProofAge = config.Duration(t)
	return d
}

// LatestFirst admits the latest of a team's waiting requests first when the team is
// short of tokens. Compared to EarliestFirst, the requests that are served wait less,
// but more are refused.
func (d *Deployment) LatestFirst() *Deployment {
	d.policy().QueueOrder = config.QueueOrderLatest
	return d
}

// EarliestFirst admits the earliest of a team's waiting requests first when the team
// is short of tokens, which refuses the fewest requests. It is the default.
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

// Document returns the declared configuration. It is not checked.
func (d *Deployment) Document() config.Document { return d.doc }

// Check returns an error that lists all problems of the declaration, or nil.
func (d *Deployment) Check() error {
	if problems := config.Check(d.doc); len(problems) > 0 {
		return fmt.Errorf("declare: %w", problems)
	}
	return nil
}

// Print checks the declaration and writes it to w as JSON with comments.
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
