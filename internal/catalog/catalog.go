package catalog

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind says whether and how the calls of a route may be retried.
type RouteKind int

// Kinds of routes.
const (
	// Idempotent calls may run more than once.
	Idempotent RouteKind = iota
	// AtMostOnce calls run at most once for each call of a caller.
	AtMostOnce
	// Stream calls are answered with server-sent events. They run at most once
	// unless the route is resumable.
	Stream
)

// Route sends calls for one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the whole call. LatencyGoal and EventGapGoal are the service
	// level objectives for the time to the answer and the time between two events.
	Timeout      time.Duration
	LatencyGoal  time.Duration
	EventGapGoal time.Duration
	// Priority orders routes; 0 is the highest priority.
	Priority int
	Targets  []Target
	// MaxAttempts bounds how many backend servers one call is sent to.
	MaxAttempts int
	// Public routes accept calls without a team key.
	Public bool
	// Resumable streams may be continued on another engine.
	Resumable bool
}

// Repeatable reports whether a call may be retried after a backend server may
// have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is one of the services of a route, with its share of the calls.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of backend servers of one kind.
type Service struct {
	Name string
	// MaxConnsPerServer bounds the connections from all VMs to one backend server.
	MaxConnsPerServer int
	// Engine is set if the servers run models.
	Engine *Engine
	// KVCacheStore is set if the service stores KV cache entries for engines.
	KVCacheStore *KVCacheStore
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots  int
	Models []string
	// CapacityTokens is the size of the KV cache of one engine, shared by running
	// requests and cached prompt prefixes. BytesPerToken is the size of one token
	// in it.
	CapacityTokens int
	BytesPerToken  float64
	// LinkMbps is the bandwidth for KV cache transfers between engines, in
	// megabits per second.
	LinkMbps float64
}

// KVCacheStore is a server that stores KV cache entries of prompt prefixes.
type KVCacheStore struct {
	Address        string
	Zone           string
	CapacityTokens int
}

// Team is a tenant with its keys and rate limit.
type Team struct {
	Name     string
	Keys     []string
	Priority int
	// Isolated teams share no cached prompt prefixes with other teams.
	Isolated bool
	// Rate is in tokens per second, Burst in tokens; a zero Rate means no limit.
	Rate  float64
	Burst float64
	// DefaultCallTokens is charged for a call that does not state its size.
	DefaultCallTokens int
}

type keyHash [sha256.Size]byte

// Catalog is one version of the declared state, indexed for lookup. It is
// immutable after New.
type Catalog struct {
	version        int64
	routesByHost   map[string][]*Route
	services       map[string]*Service
	teams          map[string]*Team
	teamsByKeyHash map[keyHash]*Team
	// kvCacheStores is sorted by address.
	kvCacheStores []*KVCacheStore
	// sharedCacheGroup is the cache group of the teams that are not isolated.
	sharedCacheGroup string
}

// New returns a catalog of the given version.
func New(version int64, routes []*Route, services []*Service, teams []*Team) *Catalog {
	c := &Catalog{
		version:        version,
		routesByHost:   make(map[string][]*Route),
		services:       make(map[string]*Service),
		teams:          make(map[string]*Team),
		teamsByKeyHash: make(map[keyHash]*Team),
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		c.services[s.Name] = s
		if s.KVCacheStore != nil {
			c.kvCacheStores = append(c.kvCacheStores, s.KVCacheStore)
		}
	}
	slices.SortFunc(c.kvCacheStores, func(a, b *KVCacheStore) int { return cmp.Compare(a.Address, b.Address) })
	for _, t := range teams {
		c.teams[t.Name] = t
		for _, k := range t.Keys {
			c.teamsByKeyHash[sha256.Sum256([]byte(k))] = t
		}
	}
	c.sharedCacheGroup = sharedCacheGroup(teams)
	return c
}

// Prefixes of the names of cache groups, and the bytes of the hash in them.
const (
	teamCacheGroupPrefix   = "/"
	sharedCacheGroupPrefix = "+"
	cacheGroupHashBytes    = 8
)

// sharedCacheGroup returns the cache group of the teams that are not isolated. It depends
// on which teams are isolated: what a team cached before it became isolated is left behind
// in the former group.
func sharedCacheGroup(teams []*Team) string {
	var isolated []string
	for _, t := range teams {
		if t.Isolated {
			isolated = append(isolated, strconv.Quote(t.Name))
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	sum := sha256.Sum256([]byte(strings.Join(slices.Compact(isolated), "")))
	return sharedCacheGroupPrefix + hex.EncodeToString(sum[:cacheGroupHashBytes])
}

// CacheGroup returns the name of the group of teams that share cached prompt prefixes with
// a team. An empty team stands for calls of public routes. Teams that are not declared
// share with nobody.
func (c *Catalog) CacheGroup(team string) string {
	if team == "" {
		return c.sharedCacheGroup
	}
	if t := c.teams[team]; t != nil && !t.Isolated {
		return c.sharedCacheGroup
	}
	return teamCacheGroupPrefix + team
}

// Version returns the version number of the catalog.
func (c *Catalog) Version() int64 { return c.version }

// Match returns the route of host with the longest prefix that matches path,
// or nil.
func (c *Catalog) Match(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKeys reports whether callers are authenticated by team keys, which is
// the case if any team is declared.
func (c *Catalog) RequiresKeys() bool { return len(c.teams) > 0 }

// TeamByKey returns the team that owns a key, or nil.
func (c *Catalog) TeamByKey(key string) *Team { return c.teamsByKeyHash[sha256.Sum256([]byte(key))] }

// Service returns a service by name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services, keyed by name. Callers must not modify the map.
func (c *Catalog) Services() map[string]*Service { return c.services }

// KVCacheStores returns the KV cache stores, sorted by address.
func (c *Catalog) KVCacheStores() []*KVCacheStore { return c.kvCacheStores }
