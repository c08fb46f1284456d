package trial

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/examples/profiles"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/team"
)

// Shape says what a Cluster consists of.
type Shape struct {
	// Deployment declares everything but addresses and keys.
	Deployment func(profiles.AddressFunc) *declare.Deployment
	// Routers is the number of routers, dealt over the zones.
	Routers int
	// Placement names the routers' placement policy.
	Placement string
	// Engine shapes every engine; names, models and slots are declared.
	Engine standin.EngineOptions
	Log    log.Interface
	Seed   uint64
}

// Cluster is a running deployment.
type Cluster struct {
	shape    Shape
	secure   *tls.Config
	document config.Document
	keys     map[string]string

	Platform *standin.Platform
	Client   *platform.Client
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	Store    *standin.WeightStore
	Routers  []*router.Router
}

// loopback lets the system choose a port.
const loopback = "127.0.0.1:0"

// Start runs a deployment and waits until its configuration is in force.
func Start(ctx context.Context, shape Shape) (*Cluster, error) {
	c := &Cluster{
		shape:    shape,
		keys:     make(map[string]string),
		Engines:  make(map[string]*standin.Engine),
		Services: make(map[string]*standin.Service),
		Store:    &standin.WeightStore{},
	}
	for _, step := range []func(context.Context) error{c.certify, c.backends, c.declare, c.routers} {
		if err := step(ctx); err != nil {
			c.Close()
			return nil, fmt.Errorf("trial: start: %w", err)
		}
	}
	return c, nil
}

func (c *Cluster) certify(context.Context) error {
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	pair, err := authority.Issue()
	if err != nil {
		return err
	}
	c.secure, err = peer.NewTLS(pair, authority.Cert())
	return err
}

// backends starts the stand-ins and fixes their addresses.
func (c *Cluster) backends(context.Context) error {
	var err error
	if c.Platform, err = standin.NewPlatform(loopback); err != nil {
		return err
	}
	c.Client = platform.NewClient(c.Platform.Settings(), nil)
	draft := c.shape.Deployment(profiles.SequentialAddresses(1)).Document()
	versions := make(map[string]string)
	for _, m := range draft.Models {
		versions[m.Name] = m.Version
	}
	for _, e := range draft.Engines {
		options := c.shape.Engine
		options.Name, options.Model, options.Slots = e.Name, e.Model, e.Slots
		options.Version, options.Fenced, options.Seed = versions[e.Model], e.SupportsFencing, c.shape.Seed
		if c.Engines[e.Name], err = standin.NewEngine(loopback, options, c.Store); err != nil {
			return err
		}
		c.Platform.PutVM(platform.VM{Name: e.Name, Zone: e.Zone, Role: platform.RoleBackend, State: platform.StateLive})
	}
	for _, s := range draft.Services {
		for _, server := range s.Servers {
			if c.Services[server.Name], err = standin.NewService(loopback); err != nil {
				return err
			}
			c.Platform.PutVM(platform.VM{Name: server.Name, Zone: server.Zone, Role: platform.RoleBackend, State: platform.StateLive})
		}
	}
	return nil
}

func (c *Cluster) address(name string) string {
	if e, ok := c.Engines[name]; ok {
		return e.Address()
	}
	return c.Services[name].Address()
}

// declare issues a key to every team and commits the configuration.
func (c *Cluster) declare(ctx context.Context) error {
	d := c.shape.Deployment(c.address)
	for _, t := range d.Document().Teams {
		secret, digest, err := operator.NewSecret()
		if err != nil {
			return err
		}
		c.keys[t.Name] = secret
		d.Key(t.Name, t.Name, digest)
	}
	c.document = d.Document()
	_, err := operator.Commit(ctx, c.Client, operator.Replace(c.document, 0))
	return err
}

func (c *Cluster) routers(ctx context.Context) error {
	zones := c.document.Zones
	for i := range c.shape.Routers {
		r, err := c.StartRouter(fmt.Sprintf("vm-%d", i+1), zones[i%len(zones)].Name)
		if err != nil {
			return err
		}
		c.Routers = append(c.Routers, r)
	}
	return c.Settled(ctx)
}

// StartRouter starts one more router and lists its VM.
func (c *Cluster) StartRouter(vm, zone string) (*router.Router, error) {
	r, err := router.New(router.Settings{
		VM: vm, Zone: zone, Entry: loopback, Peer: loopback, Status: loopback,
		Platform: c.Platform.Settings(), Placement: c.shape.Placement,
		Drain: config.Duration(200 * time.Millisecond),
	}, c.secure, c.shape.Log)
	if err != nil {
		return nil, fmt.Errorf("trial: router %s: %w", vm, err)
	}
	c.Platform.PutVM(platform.VM{
		Name: vm, Zone: zone, Role: platform.RoleRouter, State: platform.StateLive,
		Address: r.PeerAddress(), Status: r.StatusAddress(),
	})
	return r, nil
}

// settlePoll is how often Settled looks.
const settlePoll = 20 * time.Millisecond

// Settled waits until every router is ready and every slot is held.
func (c *Cluster) Settled(ctx context.Context) error {
	for !c.settled() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("trial: not settled: %w", ctx.Err())
		case <-time.After(settlePoll):
		}
	}
	return nil
}

func (c *Cluster) settled() bool {
	var all []router.Status
	for _, r := range c.Routers {
		all = append(all, r.Status())
	}
	return Settled(all)
}

// Settled reports whether routers that say this are all ready, and hold every
// slot of their zones.
func Settled(all []router.Status) bool {
	held := make(map[string]int)
	for _, s := range all {
		if !s.Ready {
			return false
		}
		held[s.Zone] += s.Slots
	}
	for _, n := range held {
		if n < team.SlotCount {
			return false
		}
	}
	return true
}

// Document returns the declared configuration.
func (c *Cluster) Document() config.Document { return c.document }

// Key returns a team's key.
func (c *Cluster) Key(team string) string { return c.keys[team] }

// Close ends everything at once.
func (c *Cluster) Close() {
	for _, r := range c.Routers {
		r.Close()
	}
	for _, e := range c.Engines {
		if e != nil {
			e.Close()
		}
	}
	for _, s := range c.Services {
		if s != nil {
			s.Close()
		}
	}
	if c.Platform != nil {
		c.Platform.Close()
	}
}
