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

// ClusterOptions describe a Cluster.
type ClusterOptions struct {
	// Deployment returns the declared deployment without keys, with the addresses
	// that it is given.
	Deployment func(profiles.AddressFunc) *declare.Deployment
	// Routers is the number of routers, assigned to the zones in turn.
	Routers int
	// Placement is the name of the routers' placement policy.
	Placement string
	// EngineOptions apply to every engine, except for the name, model, version, slots
	// and fencing, which the deployment declares, and the seed.
	EngineOptions standin.EngineOptions
	Log           log.Interface
	Seed          uint64
}

// Cluster is a running deployment whose platform and backend servers are stand-ins.
type Cluster struct {
	options   ClusterOptions
	tlsConfig *tls.Config
	document  config.Document
	keys      map[string]string

	Platform    *standin.Platform
	Client      *platform.Client
	Engines     map[string]*standin.Engine
	Services    map[string]*standin.Service
	WeightStore *standin.WeightStore
	Routers     []*router.Router
}

// loopbackAddress lets the system choose a free port.
const loopbackAddress = "127.0.0.1:0"

// StartCluster starts a deployment and waits until its configuration is in force.
func StartCluster(ctx context.Context, options ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		options:     options,
		keys:        make(map[string]string),
		Engines:     make(map[string]*standin.Engine),
		Services:    make(map[string]*standin.Service),
		WeightStore: &standin.WeightStore{},
	}
	for _, step := range []func(context.Context) error{c.issueCertificates, c.startBackends, c.commitConfig, c.startRouters} {
		if err := step(ctx); err != nil {
			c.Close()
			return nil, fmt.Errorf("trial: start cluster: %w", err)
		}
	}
	return c, nil
}

func (c *Cluster) issueCertificates(context.Context) error {
	authority, err := peer.NewAuthority()
	if err != nil {
		return err
	}
	pair, err := authority.Issue()
	if err != nil {
		return err
	}
	c.tlsConfig, err = peer.NewTLS(pair, authority.Cert())
	return err
}

// startBackends starts the stand-ins of the platform, the engines and the services.
func (c *Cluster) startBackends(context.Context) error {
	var err error
	if c.Platform, err = standin.NewPlatform(loopbackAddress); err != nil {
		return err
	}
	c.Client = platform.NewClient(c.Platform.Settings(), nil)
	draft := c.options.Deployment(profiles.SequentialAddresses(1)).Document()
	versions := make(map[string]string)
	for _, m := range draft.Models {
		versions[m.Name] = m.Version
	}
	for _, e := range draft.Engines {
		options := c.options.EngineOptions
		options.Name, options.Model, options.Slots = e.Name, e.Model, e.Slots
		options.Version, options.SupportsFencing, options.Seed = versions[e.Model], e.SupportsFencing, c.options.Seed
		if c.Engines[e.Name], err = standin.NewEngine(loopbackAddress, options, c.WeightStore); err != nil {
			return err
		}
		c.Platform.PutVM(platform.VM{Name: e.Name, Zone: e.Zone, Role: platform.RoleBackend, State: platform.StateLive})
	}
	for _, s := range draft.Services {
		for _, server := range s.Servers {
			if c.Services[server.Name], err = standin.NewService(loopbackAddress); err != nil {
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

// commitConfig issues a key to every team and commits the configuration.
func (c *Cluster) commitConfig(ctx context.Context) error {
	d := c.options.Deployment(c.address)
	for _, t := range d.Document().Teams {
		secret, digest, err := operator.NewSecret()
		if err != nil {
			return err
		}
		c.keys[t.Name] = secret
		d.Key(t.Name, t.Name, digest)
	}
	c.document = d.Document()
	_, err := operator.Commit(ctx, c.Client, operator.ReplaceConfig(c.document, 0))
	return err
}

func (c *Cluster) startRouters(ctx context.Context) error {
	zones := c.document.Zones
	for i := range c.options.Routers {
		r, err := c.StartRouter(fmt.Sprintf("vm-%d", i+1), zones[i%len(zones)].Name)
		if err != nil {
			return err
		}
		c.Routers = append(c.Routers, r)
	}
	return c.WaitReady(ctx)
}

// StartRouter starts an additional router and adds its VM to the platform's list.
func (c *Cluster) StartRouter(vm, zone string) (*router.Router, error) {
	r, err := router.New(router.Settings{
		VM: vm, Zone: zone, EntryAddress: loopbackAddress, PeerAddress: loopbackAddress, StatusAddress: loopbackAddress,
		Platform: c.Platform.Settings(), PlacementPolicy: c.options.Placement,
		DrainDelay: config.Duration(200 * time.Millisecond),
	}, c.tlsConfig, c.options.Log)
	if err != nil {
		return nil, fmt.Errorf("trial: start router %s: %w", vm, err)
	}
	c.Platform.PutVM(platform.VM{
		Name: vm, Zone: zone, Role: platform.RoleRouter, State: platform.StateLive,
		PeerAddress: r.PeerAddress(), StatusAddress: r.StatusAddress(),
	})
	return r, nil
}

const readyPollInterval = 20 * time.Millisecond

// WaitReady waits until every router is ready and every slot is held.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for !c.ready() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("trial: cluster not ready: %w", ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (c *Cluster) ready() bool {
	var all []router.Status
	for _, r := range c.Routers {
		all = append(all, r.Status())
	}
	return AllReady(all)
}

// AllReady reports whether all routers with the given statuses are ready and hold
// every slot of their zones between them.
func AllReady(statuses []router.Status) bool {
	held := make(map[string]int)
	for _, s := range statuses {
		if !s.Ready {
			return false
		}
		held[s.Zone] += s.HeldSlots
	}
	for _, n := range held {
		if n < team.SlotCount {
			return false
		}
	}
	return true
}

// Document returns the configuration that was committed at the start.
func (c *Cluster) Document() config.Document { return c.document }

// Key returns the API key of a team.
func (c *Cluster) Key(team string) string { return c.keys[team] }

// Close stops all routers and stand-ins without draining them.
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
