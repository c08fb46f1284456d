package catalog

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated of a route's calls.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent calls may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce calls run at most once for each call of a caller.
	AtMostOnce
	// Stream calls are answered with a series of events, and run once unless
	// the route is resumable.
	Stream
)

// Route leads calls of one host below a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the whole call; Goal is when an answer is still on time;
	// Gap is the longest pause between events that is.
	Timeout      time.Duration
	LatencyGoal  time.Duration
	EventGapGoal time.Duration
	// Priority ranks routes, 0 first.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the backend servers that one call is sent to.
	MaxAttempts int
	// Public routes take calls without a key.
	Public bool
	// Resumable streams may go on at another engine.
	Resumable bool
}

// Repeatable reports whether a call may be sent again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is a service's part of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers of one kind.
type Service struct {
	Name string
	// MaxConnsPerServer bounds the connections to one backend server from all VMs.
	MaxConnsPerServer int
	// Engine is set where the servers run models.
	Engine *Engine
	// KVCacheStore is set where the service keeps cached parts of prompts for others.
	KVCacheStore *KVCacheStore
}

// Engine describes the engines of a service.
type Engine struct {
	Slots  int
	Models []string
	// CapacityTokens is the memory for cached and running tokens, TokenBytes the
	// size of one of them.
	CapacityTokens int
	BytesPerToken  float64
	// LinkMbps is the speed at which cached parts move between engines, in
	// megabits a second.
	LinkMbps float64
}

// KVCacheStore is a store of cached parts of prompts.
type KVCacheStore struct {
	Address        string
	Zone           string
	CapacityTokens int
}

// Team is a customer with keys and a rate.
type Team struct {
	Name     string
	Keys     []string
	Priority int
	// Isolated teams share no cached part with others.
	Isolated bool
	// Rate is in tokens a second, Burst in tokens; a zero Rate is no limit.
	Rate  float64
	Burst float64
	// DefaultCallTokens is the charge in tokens of a call that names no size.
	DefaultCallTokens int
}

type keyHash [sha256.Size]byte

// Catalog is one declaration. It does not change after New.
type Catalog struct {
	version  int64
	hosts    map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
	keys     map[keyHash]*Team
	// shelves are in the order of their addresses.
	shelves []*KVCacheStore
}

// New indexes a declaration.
func New(version int64, routes []*Route, services []*Service, teams []*Team) *Catalog {
	c := &Catalog{
		version:  version,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service),
		teams:    make(map[string]*Team),
		keys:     make(map[keyHash]*Team),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name] = s
		if s.KVCacheStore != nil {
			c.shelves = append(c.shelves, s.KVCacheStore)
		}
	}
	slices.SortFunc(c.shelves, func(a, b *KVCacheStore) int { return cmp.Compare(a.Address, b.Address) })
	for _, t := range teams {
		c.teams[t.Name] = t
		for _, k := range t.Keys {
			c.keys[sha256.Sum256([]byte(k))] = t
		}
	}
	return c
}

// Version returns the number of the declaration.
func (c *Catalog) Version() int64 { return c.version }

// Match returns the route of a host with the longest prefix of path.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether callers are told apart by keys at all.
func (c *Catalog) RequiresKeys() bool { return len(c.teams) > 0 }

// TeamByKey returns the team that holds a key, or nil.
func (c *Catalog) TeamByKey(key string) *Team { return c.keys[sha256.Sum256([]byte(key))] }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services by name.
func (c *Catalog) Services() map[string]*Service { return c.services }

// KVCacheStores returns the stores of cached parts, by address.
func (c *Catalog) KVCacheStores() []*KVCacheStore { return c.shelves }
