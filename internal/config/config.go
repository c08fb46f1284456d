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
	ErrNotNextGeneration = errors.New("config: change is not for the next generation")
	ErrDigestMismatch    = errors.New("config: change digest does not match this history")
)

// Defaults for values that a document omits.
const (
	DefaultDeadline        = 60 * time.Second
	DefaultDispatchTimeout = 2 * time.Second
	DefaultMaxProofAge     = 30 * time.Second
)

// Config is one generation of the configuration, indexed for lookup. It is
// immutable.
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
	keysByDigest   map[string]Key
	routesByModel  map[string]Route
	pathRoutes     []Route
	enginesByModel map[string][]Engine
	// quotaZones holds the zones of each region, and all zones under "".
	quotaZones map[string][]Zone
}

// Empty returns generation zero, which has no routes.
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

// Keys returns the issued keys.
func (c *Config) Keys() Section[Key] { return c.keys }

// RetiredVMs returns the VMs that are declared gone for good.
func (c *Config) RetiredVMs() Section[RetiredVM] { return c.retired }

// EnginesByModel returns the engines that serve a model, sorted by name.
func (c *Config) EnginesByModel(model string) []Engine { return c.enginesByModel[model] }

// QuotaZones returns the zones that a team's rate and burst are divided between,
// sorted by name.
func (c *Config) QuotaZones(t Team) []Zone { return c.quotaZones[t.Region] }

// ZoneShare returns a zone's share of a team's rate and burst. The shares of all
// zones sum to 1.
func (c *Config) ZoneShare(t Team, zone string) float64 {
	sum, own := 0.0, 0.0
	for _, z := range c.quotaZones[t.Region] {
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

// MaxProofAge returns how old the proof that the configuration is current may be
// for requests with a key to be served.
func (c *Config) MaxProofAge() time.Duration {
	if c.policy.MaxProofAge == 0 {
		return DefaultMaxProofAge
	}
	return time.Duration(c.policy.MaxProofAge)
}

// QueueOrder returns the order in which a team's waiting requests are admitted.
func (c *Config) QueueOrder() QueueOrder {
	if c.policy.QueueOrder == "" {
		return QueueOrderEarliest
	}
	return c.policy.QueueOrder
}

// KeyByDigest returns the key whose secret has the given digest in hex.
func (c *Config) KeyByDigest(digest string) (Key, bool) {
	k, ok := c.keysByDigest[digest]
	return k, ok
}

// ModelRoute returns the route to a model and the model itself. The name may be
// followed by a slash and an adapter.
func (c *Config) ModelRoute(name string) (Route, Model, bool) {
	base, adapter, named := strings.Cut(name, "/")
	route, ok := c.routesByModel[base]
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
	for _, r := range c.pathRoutes {
		if matchesPath(r.Path, path) {
			return r, true
		}
	}
	return Route{}, false
}

func matchesPath(pattern, path string) bool {
	if strings.HasSuffix(pattern, "/") {
		return strings.HasPrefix(path, pattern)
	}
	return pattern == path
}

// EffectiveDeadline returns the time limit for a whole call, which defaults to
// DefaultDeadline.
func (r Route) EffectiveDeadline() time.Duration {
	if r.Deadline == 0 {
		return DefaultDeadline
	}
	return time.Duration(r.Deadline)
}

// EffectiveDispatchTimeout returns the time limit for dispatching a call, which
// defaults to DefaultDispatchTimeout or, if shorter, the deadline.
func (r Route) EffectiveDispatchTimeout() time.Duration {
	if r.DispatchTimeout == 0 {
		return min(DefaultDispatchTimeout, r.EffectiveDeadline())
	}
	return time.Duration(r.DispatchTimeout)
}

// Document returns the generation as a document, with each section sorted by name.
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

// Snapshot returns the generation in the form stored in the object store.
func (c *Config) Snapshot() Snapshot {
	return Snapshot{Generation: c.generation, Digest: c.digest, Document: c.Document()}
}

// FromSnapshot builds a generation from a stored snapshot.
func FromSnapshot(s Snapshot) *Config {
	c := Empty().with(Delta{Set: s.Document})
	c.generation = s.Generation
	c.digest = s.Digest
	return c
}

// Diff returns the delta that changes c into doc.
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

// Apply returns the generation that results from a change. It returns
// ErrNotNextGeneration or ErrDigestMismatch, wrapped, if the change does not
// follow c.
func (c *Config) Apply(ch Change) (*Config, error) {
	if ch.Generation != c.generation+1 {
		return nil, fmt.Errorf("%w: current generation %d, got %d", ErrNotNextGeneration, c.generation, ch.Generation)
	}
	if chainDigest(c.digest, ch.Delta) != ch.Digest {
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

// index builds the lookup tables. It reuses the table of keys if no key changed.
func (c *Config) index(before *Config, d Delta) {
	c.keysByDigest = before.keysByDigest
	if len(d.Set.Keys)+len(d.Drop.Keys) > 0 || c.keysByDigest == nil {
		c.keysByDigest = make(map[string]Key, c.keys.Len())
		for _, k := range c.keys.items {
			c.keysByDigest[k.Digest] = k
		}
	}
	c.routesByModel = make(map[string]Route)
	for _, r := range c.routes.Sorted() {
		if r.Model != "" {
			c.routesByModel[r.Model] = r
			continue
		}
		c.pathRoutes = append(c.pathRoutes, r)
	}
	c.quotaZones = make(map[string][]Zone)
	for _, z := range c.zones.Sorted() {
		c.quotaZones[""] = append(c.quotaZones[""], z)
		if z.Region != "" {
			c.quotaZones[z.Region] = append(c.quotaZones[z.Region], z)
		}
	}
	c.enginesByModel = make(map[string][]Engine)
	for _, e := range c.engines.Sorted() {
		c.enginesByModel[e.Model] = append(c.enginesByModel[e.Model], e)
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
