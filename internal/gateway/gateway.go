package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/buffer"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/feed"
	"github.com/marjoramrock/marjoramrock/internal/gossip"
	"github.com/marjoramrock/marjoramrock/internal/inbound"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/marjoramrock/marjoramrock/internal/pace"
	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/marjoramrock/marjoramrock/internal/quarantine"
	"github.com/marjoramrock/marjoramrock/internal/quota"
	"github.com/marjoramrock/marjoramrock/internal/rollout"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/marjoramrock/marjoramrock/internal/weights"
)

// Periods and timeouts of background work.
const (
	gossipPeriod    = 200 * time.Millisecond
	orderStepPeriod = 100 * time.Millisecond
	cleanupPeriod   = time.Second
	// declarationsLongPollWait is how long the store holds a poll for declarations
	// while nothing changes. The proof of the catalog gets up to that old.
	declarationsLongPollWait = 600 * time.Millisecond
	// declarationsTable and serversTable name the tables that VMs relay to each
	// other.
	declarationsTable = "declarations"
	serversTable      = "servers"
	// Options of the connections to the VM that polls the store for the zone. Most
	// of the time, one long poll per table is open, on a connection of its own.
	peerDialTimeout    = 300 * time.Millisecond
	peerIdleTimeout    = time.Minute
	maxIdlePeerConns   = 4
	peerTCPUserTimeout = time.Second
	// orderLeaseTTL is how long each renewal of the lease for engine orders is valid.
	orderLeaseTTL = 2 * time.Second
	// orderLeaseMargin covers the time that an order takes to reach its engine.
	orderLeaseMargin = 700 * time.Millisecond
	// extraHandoverDelay is added to Bounds.OrderHandover, also for the time that an
	// order takes to reach its engine.
	extraHandoverDelay = 300 * time.Millisecond
	// joinTimeout bounds an attempt to register the VM at startup.
	joinTimeout = 2 * time.Second
)

// Store is the part of the platform's store that the gateway uses.
type Store interface {
	lease.Store
	// Join records the address at which a VM receives messages of other VMs; VMs
	// returns the records.
	Join(ctx context.Context, vm, address string) error
	VMs(ctx context.Context) (map[string]string, error)
	Leave(ctx context.Context, vm string) error
	// ReportRollout tells the platform the state of a rollout.
	ReportRollout(ctx context.Context, service string, state rollout.State, to string) error
}

// Adapter translates between the gateway and the platform.
type Adapter interface {
	ServerClient
	KVCacheStoreClient
	weights.EngineClient
	// Declarations and ServerList read the rows of the operators' declarations and
	// of the backend servers; DecodeDeclaration and DecodeServer decode their values.
	Declarations() feed.Source
	ServerList() feed.Source
	DecodeDeclaration(key string, value []byte) (Declaration, error)
	DecodeServer(key string, value []byte) (backend.Server, error)
	Store() Store
	// CloseExpired closes the idle connections that will not be used again.
	CloseExpired()
}

// Declaration is the content of a row of the operators' table. The fields that the
// row does not declare are empty.
type Declaration struct {
	Catalog *catalog.Catalog
	Model   string
	Version int64
	// Rollout lacks its revision, which is the version of the row.
	Rollout *rollout.Order
}

// Gateway is one running gateway process.
type Gateway struct {
	settings     Settings
	log          log.Interface
	clock        *timer.SystemClock
	adapter      Adapter
	serverClient ServerClient
	metrics      *gatewayMetrics

	catalog *catalog.Tracker
	table   *backend.Table
	pace    *pace.Tracker
	parts   *parts.Directory
	quota   *quota.Estimator
	retries *quota.RetryBudget
	node    *gossip.Node
	relay   *gossip.Relay
	peers   *upstream.Pool
	// declarations and serverList follow the store's tables, directly or through the
	// VM that polls the store for this zone.
	declarations *feed.Follower
	serverList   *feed.Follower
	// invalidServers holds the IDs of the rows of the server list that cannot be decoded.
	// Only the follower of the list uses it.
	invalidServers map[string]bool
	orderLease     *lease.Lease
	orderer        *weights.Updater
	history        *weights.History
	announcer      *announcer
	outbox         outbox
	// quarantine tracks the parts of prompts that crash engines.
	quarantine        *quarantine.Tracker
	quarantineUpdates quarantineUpdates
	quarantineRecord  quarantineRecord
	restores          restores
	serverMemory      serverMemory
	probes            *engineProbes
	beginningCalls    beginningCalls
	// reviewPending is set while a review of the evidence is due.
	reviewPending atomic.Bool
	rollouts      *rollouts
	rolloutOwner  *rolloutOwner
	// gossipRound counts the calls of sendUpdates.
	gossipRound int
	zoneUsage   zoneUsage
	// confirmations tracks which charges of the zone's VMs other zones have heard.
	confirmations *quota.Confirmations
	epoch         uint64
	// confirmationsLate is set while charges of this VM are not confirmed. Only cleanUp
	// uses it.
	confirmationsLate bool
	kvStores          kvStores
	// promptThroughput measures the prompt tokens that this VM adds to the caches of
	// engines.
	promptThroughput parts.ThroughputMeter
	movableStreams   movableStreams
	// queues holds the calls that wait for an engine or a retry.
	queues  *callQueues
	buffers *buffer.Budget
	// headMemory and publicBuffers are shares of buffers: for heads of requests, and for
	// bodies of requests without a key.
	headMemory    *buffer.Budget
	publicBuffers *buffer.Budget
	limitLog      event.Sampler
	// refused remembers calls that servers refused: they may write such a refusal again.
	refused *refusedCalls
	// invalidRetryAfterLog limits the log lines on invalid values of Retry-After.
	invalidRetryAfterLog logLimiter

	draining atomic.Bool
	// servesUntil is when calls that still run are aborted, as a time since boot, or 0.
	servesUntil   atomic.Int64
	inFlight      atomic.Int64
	cancel        context.CancelFunc
	background    sync.WaitGroup
	subscriptions []timer.Subscription
	// cancelOrders cancels the orders that subscriptions give.
	cancelOrders context.CancelFunc
}

// New starts the background work of a gateway. The adapter passes calls to Serve.
func New(s Settings, a Adapter, logger log.Interface) (*Gateway, error) {
	s.Limits = s.Limits.WithDefaults(s.MemoryLimitMB, inbound.UsableDescriptors())
	g := &Gateway{
		settings: s, log: logger.WithField("vm", s.VM), clock: timer.NewSystemClock(), adapter: a, serverClient: a,
		metrics: newGatewayMetrics(), catalog: catalog.NewTracker(), table: backend.NewTable(), parts: newDirectory(s.MemoryLimitMB),
		quota: quota.NewEstimator(s.FirstStart), buffers: newBufferBudget(s.MemoryLimitMB), quarantine: quarantine.NewTracker(),
		refused: newRefusedCalls(), invalidServers: make(map[string]bool), rollouts: newRollouts(s),
	}
	g.headMemory = g.buffers.NewShare(int64(s.Limits.HeadShare / bufferShare * float64(g.buffers.Limit())))
	g.publicBuffers = g.buffers.NewShare(int64(s.Limits.PublicShare * float64(g.buffers.Limit())))
	g.announcer = &announcer{g: g}
	g.probes = newEngineProbes(g)
	g.queues = newCallQueues(g.clock)
	g.retries = quota.NewRetryBudget(s.Bounds.RetryRatio*retryBudgetShare, time.Duration(s.Bounds.RetryWindow), func() float64 {
		return s.Bounds.RetryAllowance * retryBudgetShare / float64(g.node.MemberCount()+1)
	})
	var err error
	g.epoch = uint64(time.Now().UnixNano())
	g.confirmations = quota.NewConfirmations(s.VM, g.epoch)
	g.node, err = gossip.NewNode(gossip.Options{
		VM: s.VM, Zone: s.Zone, Address: s.PeerAddress, Epoch: g.epoch, Now: timer.SinceBoot,
		OnMessage: g.handleMessage, OnInvalid: func(from string, err error) {
			g.recordRejectedMessage(from, err)
		},
		MaxMembers: s.Limits.VMs, OnMemberLimit: func(vm string) {
			g.recordLimit(event.PeerLimitReached, "vms", log.Fields{"peer": vm})
		},
	})
	if err != nil {
		g.clock.Close()
		return nil, fmt.Errorf("gateway: %w", err)
	}
	g.pace = pace.NewTracker(s.VM, g.logPace)
	g.peers = upstream.NewPool(upstream.Options{DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout, MaxIdlePerAddress: maxIdlePeerConns, TCPUserTimeout: peerTCPUserTimeout})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.initFollowers(ctx)
	g.relay, err = gossip.NewRelay(s.PeerAddress, map[string]gossip.Table{declarationsTable: g.declarations, serversTable: g.serverList}, gossip.RelayOptions{
		Limits: g.listenerLimits("peer", s.Limits.PeerConns), Responses: g.buffers.NewShare(int64(relayShare * float64(g.buffers.Limit()))),
		OnFull: func(from string) {
			g.recordLimit(event.PeerLimitReached, "relay_out_of_memory", log.Fields{"from": from})
		},
	})
	if err != nil {
		cancel()
		g.node.Close()
		g.clock.Close()
		return nil, fmt.Errorf("gateway: %w", err)
	}
	for _, seed := range s.Seeds {
		g.node.AddSeed(seed)
	}
	holder := s.VM + "/" + s.PeerAddress
	g.orderLease = lease.New(a.Store(), "orders", holder, lease.Timing{
		TTL: orderLeaseTTL, ExpiryMargin: orderLeaseMargin, HandoverDelay: time.Duration(s.Bounds.OrderHandover) + extraHandoverDelay,
	}, timer.SinceBoot)
	g.rolloutOwner = newRolloutOwner(g)
	g.history = weights.NewHistory(a.Store(), g.catalog, timer.SinceBoot)
	g.orderer = weights.New(weights.Options{
		Holder: holder, Catalog: g.catalog, Table: g.table, Engines: a, Lease: g.orderLease, History: g.history, Announcer: g.announcer,
		Now: timer.SinceBoot, Log: g.log,
	})
	g.startBackground(ctx)
	event.Started.Log(g.log, nil, log.Fields{"zone": s.Zone, "entry": s.ClientAddress, "peer": s.PeerAddress, "first": s.FirstStart})
	return g, nil
}

// retryBudgetShare is the share of the fleet's retry budget that is used: the
// windows in which VMs count retries do not coincide with those in which the
// bound is checked.
const retryBudgetShare = 0.8

// serverPollTimes returns how long a poll for the list of servers is held while
// nothing changes, and the delay between two polls. A poll that is never answered
// must time out while a leaving server may still get new calls.
func serverPollTimes(leave time.Duration) (wait, delay time.Duration) { return leave / 2, leave / 10 }

// initFollowers creates the followers of the store's tables.
func (g *Gateway) initFollowers(ctx context.Context) {
	setGeneration := func(generation int64) { g.setStoreGeneration(ctx, generation) }
	relay := func(table string) func() feed.Source {
		return func() feed.Source {
			address, other := g.node.Leader()
			if !other {
				return nil
			}
			return gossip.RemoteTable{Pool: g.peers, Address: address, Table: table}
		}
	}
	g.declarations = feed.New(feed.Options{
		Name: declarationsTable, Source: g.adapter.Declarations(), Relay: relay(declarationsTable), LongPollWait: declarationsLongPollWait,
		Now: timer.SinceBoot, Log: g.log, OnRow: g.applyDeclaration, OnLapsed: func(key string, _ time.Duration) { g.withdrawRollout(key) },
		OnLost: g.loseDeclaration, OnGeneration: setGeneration, OnConfirmed: g.confirmDeclarations,
		// Polls for declarations are the shorter ones, and detect an outage first.
		OnStoreError: func() { g.serverList.StopServing() },
	})
	longPollWait, pollDelay := serverPollTimes(time.Duration(g.settings.Bounds.ServerDrain))
	g.serverList = feed.New(feed.Options{
		Name: serversTable, Source: g.adapter.ServerList(), Relay: relay(serversTable), LongPollWait: longPollWait, StorePollDelay: pollDelay,
		Now: timer.SinceBoot, Log: g.log, OnRow: g.applyServer, OnLapsed: g.markServerMissing,
		OnGeneration: setGeneration, OnConfirmed: func(time.Duration) {
			g.rollouts.completeList(g.now())
			g.releaseServers()
		},
	})
}

// stepOrders runs a step of the orderer on a VM that reads from the store. The
// other VMs of the zone would only compete for the lease in vain.
func (g *Gateway) stepOrders(ctx context.Context) {
	if g.declarations.ReadsFromStore() {
		g.orderer.Step(ctx)
	}
}

func (g *Gateway) startBackground(ctx context.Context) {
	g.background.Go(func() { g.declarations.Run(ctx) })
	g.background.Go(func() { g.serverList.Run(ctx) })
	g.background.Go(func() { g.join(ctx) })
	var orders context.Context
	orders, g.cancelOrders = context.WithCancel(ctx)
	g.subscriptions = append(g.subscriptions,
		g.clock.Every(gossipPeriod, func() { g.sendUpdates(); g.sendQuarantineUpdates(); g.saveQuarantines(ctx) }),
		g.clock.Every(orderStepPeriod, func() { g.stepOrders(orders) }),
		g.clock.Every(cleanupPeriod, func() { g.cleanUp(ctx) }),
	)
	if g.rollouts.enabled {
		g.subscriptions = append(g.subscriptions,
			// Not in one call: a slow store delays the other one.
			g.clock.Every(rolloutStepPeriod, func() { g.rollouts.step(g.now()) }),
			g.clock.Every(rolloutStepPeriod, func() { g.stepRollouts(orders) }),
		)
	}
}

func (g *Gateway) now() time.Duration { return timer.SinceBoot() }

// applyDeclaration applies a row of the operators' declarations.
func (g *Gateway) applyDeclaration(r feed.Row) {
	if r.Removed {
		g.restores.setCatalog(r.Key, 0)
		g.withdrawRollout(r.Key)
		return
	}
	d, err := g.adapter.DecodeDeclaration(r.Key, r.Value)
	if errors.Is(err, ErrInvalidRollout) {
		event.RolloutInvalid.Log(g.log, err, log.Fields{"row": r.Key, "version": r.Version})
		return
	}
	if err != nil {
		event.ConfigInvalid.Log(g.log, err, log.Fields{"row": r.Key, "version": r.Version})
		if r.Restored {
			g.restores.setCatalog(r.Key, 0)
		}
		return
	}
	if d.Catalog != nil {
		g.restores.setCatalog(r.Key, d.Catalog.Version())
	}
	if d.Catalog != nil && g.catalog.Put(d.Catalog) {
		event.ConfigApplied.Log(g.log, nil, log.Fields{"generation": d.Catalog.Version(), "row": r.Version})
	}
	if d.Model != "" && g.catalog.SetTargetVersion(d.Model, d.Version, g.now()) {
		event.VersionDeclared.Log(g.log, nil, log.Fields{"model": d.Model, "version": d.Version})
	}
	if d.Rollout != nil {
		o := *d.Rollout
		o.Revision = orderRevision(r)
		g.orderRollout(r.Key, o)
	}
}

// applyServer applies a row of the list of backend servers. It logs a row that cannot be
// decoded once, although its writer may go on to change it.
func (g *Gateway) applyServer(r feed.Row) {
	g.serverMemory.drop(r.Key)
	if r.Removed {
		delete(g.invalidServers, r.Key)
		if s, ok := g.table.Get(r.Key, g.now()); ok {
			g.serverMemory.recordGone(s.ID, s.Born, g.now())
		}
		g.removeServer(r.Key)
		return
	}
	s, err := g.adapter.DecodeServer(r.Key, r.Value)
	if err != nil {
		if !g.invalidServers[r.Key] {
			event.ServerInvalid.Log(g.log, err, log.Fields{"server": r.Key, "version": r.Version})
		}
		g.invalidServers[r.Key] = true
		g.removeServer(r.Key)
		return
	}
	delete(g.invalidServers, r.Key)
	if r.Restored && !g.acceptRestored(r, &s) {
		return
	}
	if g.rollouts.observe(s.Service, s.Release, g.now()) {
		event.ReleaseHeldBack.Log(g.log, nil, log.Fields{"server": s.ID, "service": s.Service, "release": s.Release})
	}
	if g.table.Put(s) {
		g.table.SetListedAt(s.ID, g.now())
		g.parts.RemoveHolder(s.ID)
		event.ServerListed.Log(g.log, nil, log.Fields{
			"server": s.ID, "service": s.Service, "address": s.Address, "zone": s.Zone, "draining": s.Draining, "models": s.Models, "release": s.Release,
		})
	}
}

func (g *Gateway) removeServer(id string) {
	if g.table.Remove(id) {
		g.parts.RemoveHolder(id)
		event.ServerDelisted.Log(g.log, nil, log.Fields{"server": id})
	}
}

// markServerMissing keeps a server whose row has lapsed in use until a time, unless its
// row comes back.
func (g *Gateway) markServerMissing(id string, until time.Duration) {
	g.serverMemory.drop(id)
	delete(g.invalidServers, id)
	g.table.MarkMissing(id, until)
}

func (g *Gateway) cleanUp(ctx context.Context) {
	g.watchKVStores(ctx)
	g.peers.CloseExpired()
	g.adapter.CloseExpired()
	g.expireQuarantines()
	g.watchQuota()
	g.metrics.setGauge("servers_paced", int64(g.pace.Paced()))
	for _, s := range g.table.ExpireMissing(g.now()) {
		g.serverMemory.recordGone(s.ID, s.Born, g.now())
		g.parts.RemoveHolder(s.ID)
		event.ServerDelisted.Log(g.log, nil, log.Fields{"server": s.ID})
	}
}

// join registers the VM in the store and reads the addresses of the others. It
// retries until it succeeds or ctx is done.
func (g *Gateway) join(ctx context.Context) {
	for delay := joinTimeout / 8; ctx.Err() == nil; delay = min(2*delay, joinTimeout) {
		if err := g.tryJoin(ctx); err == nil {
			return
		}
		if !timer.Sleep(ctx, delay) {
			return
		}
	}
}

func (g *Gateway) tryJoin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := g.loadQuarantines(ctx); err != nil {
		event.QuarantineStoreFailed.Log(g.log, err, nil)
		return err
	}
	if err := g.history.Load(ctx); err != nil {
		event.VersionHistoryFailed.Log(g.log, err, log.Fields{"step": "load"})
		if !errors.Is(err, weights.ErrInvalidHistory) {
			return err
		}
	}
	if err := g.adapter.Store().Join(ctx, g.settings.VM, g.settings.PeerAddress); err != nil {
		event.VMListFailed.Log(g.log, err, log.Fields{"step": "join"})
		return err
	}
	vms, err := g.adapter.Store().VMs(ctx)
	if err != nil {
		event.VMListFailed.Log(g.log, err, log.Fields{"step": "list"})
		return err
	}
	for vm, address := range vms {
		g.node.AddMember(vm, address)
	}
	return nil
}

// Ready reports whether the gateway accepts new callers.
func (g *Gateway) Ready() bool {
	if g.draining.Load() || g.catalog.Current() == nil {
		return false
	}
	age, ok := g.catalog.ProofAge(g.now())
	return ok && age < g.maxProofAge() && g.rollouts.settled()
}

// ServerCount returns the number of known backend servers.
func (g *Gateway) ServerCount() int { return len(g.table.Statuses("", g.now())) }

// Draining reports whether Drain has been called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// ServeMetrics writes the metrics as lines of text.
func (g *Gateway) ServeMetrics(w http.ResponseWriter, _ *http.Request) { g.metrics.write(w) }

// Drain announces the shutdown: the gateway is no longer ready. It continues to
// serve calls and to send orders until Close.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	event.Draining.Log(g.log, nil, log.Fields{"calls": g.inFlight.Load()})
}

// ServeFor refuses from now on calls that may run for longer than the given time, after
// which the process ends, also those that wait.
func (g *Gateway) ServeFor(left time.Duration) {
	g.servesUntil.Store(int64(g.now() + left))
	g.queues.recheckAll()
}

// Close stops the background work, releases the lease for orders and removes the
// VM from the store.
func (g *Gateway) Close() {
	g.queues.close()
	for _, sub := range g.subscriptions {
		sub.Cancel()
	}
	// A call in progress might acquire the lease after its release, or start background
	// work after the wait for it.
	g.cancelOrders()
	for _, sub := range g.subscriptions {
		sub.Wait()
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout/4)
	defer cancel()
	if err := g.orderLease.Release(ctx); err != nil {
		event.OrderLeaseFailed.Log(g.log, err, nil)
	}
	if err := g.adapter.Store().Leave(ctx, g.settings.VM); err != nil {
		event.VMListFailed.Log(g.log, err, log.Fields{"step": "leave"})
	}
	g.announceLeaving()
	g.cancel()
	g.orderer.Wait()
	g.background.Wait()
	g.relay.Close()
	g.peers.Close()
	g.node.Close()
	g.clock.Close()
	event.Stopped.Log(g.log, nil, nil)
}
