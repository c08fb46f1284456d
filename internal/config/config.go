package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of Config.Apply.
var (
	ErrNotNextGeneration = errors.New("config: change is not the next one")
	ErrDigestMismatch    = errors.New("config: change is not of this history")
)

// Defaults for what a document leaves out.
const (
	DefaultDeadline        = 60 * time.Second
	DefaultDispatchTimeout = 2 * time.Second
	DefaultMaxProofAge     = 30 * time.Second
)

// Config is one generation in force. It is immutable.
type Config struct {
	generation uint64
	digest     string

	zones    Section[Zone]
	models   Section[Model]
	engines  Section[Engine]
	services Section[Service]
	teams    Section[Team]
	keys     Section[Key]
	routes   Section[Route]
	retired  Section[RetiredVM]
	policy   Policy

	// The indexes below are derived from the sections above.
	digests map[string]Key
	byModel map[string]Route
	byPath  []Route
	serving map[string][]Engine
	// minting holds the zones of each region, and of all under "".
	minting map[string][]Zone
}

// Empty returns generation zero, which serves nothing.
func Empty() *Config { return &Config{} }

// Generation returns the number of the generation.
func (c *Config) Generation() uint64 { return c.generation }

// Digest returns the chained digest of all changes up to this generation.
func (c *Config) Digest() string { return c.digest }

// Zones returns the availability zones.
func (c *Config) Zones() Section[Zone] { return c.zones }

// Models returns the models.
func (c *Config) Models() Section[Model] { return c.models }

// Engines returns the engines.
func (c *Config) Engines() Section[Engine] { return c.engines }

// Services returns the services.
func (c *Config) Services() Section[Service] { return c.services }

// Teams returns the teams.
func (c *Config) Teams() Section[Team] { return c.teams }

// Keys returns the keys in force.
func (c *Config) Keys() Section[Key] { return c.keys }

// RetiredVMs returns the VMs declared gone.
func (c *Config) RetiredVMs() Section[RetiredVM] { return c.retired }

// EnginesByModel returns the engines of a model in the order of their names.
func (c *Config) EnginesByModel(model string) []Engine { return c.serving[model] }

// QuotaZones returns the zones that a team's rate and burst are divided over, in
// the order of their names.
func (c *Config) QuotaZones(t Team) []Zone { return c.minting[t.Region] }

// ZoneShare returns a zone's part of a team's rate and burst; the parts of all
// zones sum to 1.
func (c *Config) ZoneShare(t Team, zone string) float64 {
	sum, own := 0.0, 0.0
	for _, z := range c.minting[t.Region] {
		sum += z.Weight
		if z.Name == zone {
			own = z.Weight
		}
	}
	if sum == 0 {
		return 0
	}
	return own / sum
}

// MaxProofAge returns how long keyed requests are served with no fresh proof.
func (c *Config) MaxProofAge() time.Duration {
	if c.policy.MaxProofAge == 0 {
		return DefaultMaxProofAge
	}
	return time.Duration(c.policy.MaxProofAge)
}

// QueueOrder returns which of a team's waiting requests goes first.
func (c *Config) QueueOrder() QueueOrder {
	if c.policy.QueueOrder == "" {
		return QueueOrderEarliest
	}
	return c.policy.QueueOrder
}

// KeyByDigest returns the key whose secret has the given digest in hex.
func (c *Config) KeyByDigest(digest string) (Key, bool) {
	k, ok := c.digests[digest]
	return k, ok
}

// ModelRoute returns the route to a model, for a name with or without an
// adapter, and the model itself.
func (c *Config) ModelRoute(name string) (Route, Model, bool) {
	base, adapter, named := strings.Cut(name, "/")
	route, ok := c.byModel[base]
	if !ok {
		return Route{}, Model{}, false
	}
	m, ok := c.models.Get(base)
	if !ok || (named && !contains(m.Adapters, adapter)) {
		return Route{}, Model{}, false
	}
	return route, m, true
}

// PathRoute returns the service route for a path.
func (c *Config) PathRoute(path string) (Route, bool) {
	for _, r := range c.byPath {
		if matches(r.Path, path) {
			return r, true
		}
	}
	return Route{}, false
}

func matches(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}

// EffectiveDeadline returns the bound on a whole call.
func (r Route) EffectiveDeadline() time.Duration {
	if r.Deadline == 0 {
		return DefaultDeadline
	}
	return time.Duration(r.Deadline)
}

// EffectiveDispatchTimeout returns the bound on the time before dispatch.
func (r Route) EffectiveDispatchTimeout() time.Duration {
	if r.DispatchTimeout == 0 {
		return min(DefaultDispatchTimeout, r.EffectiveDeadline())
	}
	return time.Duration(r.DispatchTimeout)
}

// Document returns the generation in document form, sorted by name.
func (c *Config) Document() Document {
	doc := Document{
		Zones:      c.zones.Sorted(),
		Models:     c.models.Sorted(),
		Engines:    c.engines.Sorted(),
		Services:   c.services.Sorted(),
		Teams:      c.teams.Sorted(),
		Keys:       c.keys.Sorted(),
		Routes:     c.routes.Sorted(),
		RetiredVMs: c.retired.Sorted(),
	}
	if c.policy != (Policy{}) {
		policy := c.policy
		doc.Policy = &policy
	}
	return doc
}

// Snapshot returns the generation in the form the object store keeps.
func (c *Config) Snapshot() Snapshot {
	return Snapshot{Generation: c.generation, Digest: c.digest, Document: c.Document()}
}

// FromSnapshot builds a generation from its kept form.
func FromSnapshot(s Snapshot) *Config {
	c := Empty().with(Delta{Set: s.Document})
	c.generation = s.Generation
	c.digest = s.Digest
	return c
}

// Diff returns what leads from c to doc.
func (c *Config) Diff(doc Document) Delta {
	var d Delta
	d.Set.Zones, d.Drop.Zones = diff(c.zones, doc.Zones)
	d.Set.Models, d.Drop.Models = diff(c.models, doc.Models)
	d.Set.Engines, d.Drop.Engines = diff(c.engines, doc.Engines)
	d.Set.Services, d.Drop.Services = diff(c.services, doc.Services)
	d.Set.Teams, d.Drop.Teams = diff(c.teams, doc.Teams)
	d.Set.Keys, d.Drop.Keys = diff(c.keys, doc.Keys)
	d.Set.Routes, d.Drop.Routes = diff(c.routes, doc.Routes)
	d.Set.RetiredVMs, d.Drop.RetiredVMs = diff(c.retired, doc.RetiredVMs)
	policy := Policy{}
	if doc.Policy != nil {
		policy = *doc.Policy
	}
	if policy != c.policy {
		d.Set.Policy = &policy
	}
	return d
}

// Apply returns the generation after a change. It returns ErrNotNext or
// ErrChain, wrapped, when the change does not follow c.
func (c *Config) Apply(ch Change) (*Config, error) {
	if ch.Generation != c.generation+1 {
		return nil, fmt.Errorf("%w: at %d, offered %d", ErrNotNextGeneration, c.generation, ch.Generation)
	}
	if chain(c.digest, ch.Delta) != ch.Digest {
		return nil, fmt.Errorf("%w: generation %d", ErrDigestMismatch, ch.Generation)
	}
	var d Delta
	if err := json.Unmarshal(ch.Delta, &d); err != nil {
		return nil, fmt.Errorf("config: decode change %d: %w", ch.Generation, err)
	}
	next := c.with(d)
	next.generation = ch.Generation
	next.digest = ch.Digest
	return next, nil
}

func (c *Config) with(d Delta) *Config {
	next := &Config{
		zones:    c.zones.with(d.Set.Zones, d.Drop.Zones),
		models:   c.models.with(d.Set.Models, d.Drop.Models),
		engines:  c.engines.with(d.Set.Engines, d.Drop.Engines),
		services: c.services.with(d.Set.Services, d.Drop.Services),
		teams:    c.teams.with(d.Set.Teams, d.Drop.Teams),
		keys:     c.keys.with(d.Set.Keys, d.Drop.Keys),
		routes:   c.routes.with(d.Set.Routes, d.Drop.Routes),
		retired:  c.retired.with(d.Set.RetiredVMs, d.Drop.RetiredVMs),
		policy:   c.policy,
	}
	if d.Set.Policy != nil {
		next.policy = *d.Set.Policy
	}
	next.index(c, d)
	return next
}

// index derives the lookup tables, sharing those whose sections are as before.
func (c *Config) index(before *Config, d Delta) {
	c.digests = before.digests
	if len(d.Set.Keys)+len(d.Drop.Keys) > 0 || c.digests == nil {
		c.digests = make(map[string]Key, c.keys.Len())
		for _, k := range c.keys.items {
			c.digests[k.Digest] = k
		}
	}
	c.byModel = make(map[string]Route)
	for _, r := range c.routes.Sorted() {
		if r.Model != "" {
			c.byModel[r.Model] = r
			continue
		}
		c.byPath = append(c.byPath, r)
	}
	c.minting = make(map[string][]Zone)
	for _, z := range c.zones.Sorted() {
		c.minting[""] = append(c.minting[""], z)
		if z.Region != "" {
			c.minting[z.Region] = append(c.minting[z.Region], z)
		}
	}
	c.serving = make(map[string][]Engine)
	for _, e := range c.engines.Sorted() {
		c.serving[e.Model] = append(c.serving[e.Model], e)
	}
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}
