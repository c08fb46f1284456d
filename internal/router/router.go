package router

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/engine"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/inbound"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/receipt"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"
)

// Parameters of the retry budget: the retries allowed per request, and the
// number of unused retries that accumulate.
const (
	retryRatio      = 0.1
	maxSavedRetries = 20
)

// clock is a timer.Clock that can also check for a pause of the process on
// demand.
type clock interface {
	timer.Clock
	CheckGap()
	Close()
}

// Router is one router process.
type Router struct {
	settings Settings
	log      log.Interface
	clock    clock
	faults   *faultSwitch
	platform platform.Services
	node     *peer.Node
	metrics  *routerMetrics

	configTracker *config.Tracker
	view          *fleet.View
	slots         *fleet.Slots
	ledger        *team.Ledger
	collector     *team.Collector
	reports       *reporter
	engines       *engine.Table
	clients       *clients
	probes        singleflight.Group
	claims        *receipt.Claims
	policy        atomic.Pointer[policyHolder]
	retryBudget   *team.RetryBudget
	queues        *queues
	tokenQueue    *team.TokenQueue
	streams       *streams
	orderer       *orderer
	unreachable   *unreachableTargets
	callerMemory  *callerMemory
	follower      *configFollower

	entryServer   *fasthttp.Server
	statusServer  *fasthttp.Server
	entryAddress  string
	statusAddress string
	listeners     sync.WaitGroup

	draining atomic.Bool
	inFlight atomic.Int64
	// servesUntil is when a stop ends the requests that are left, as a timer.Instant;
	// zero while requests are served for as long as they take.
	servesUntil atomic.Int64
	// resumedAt is when the last pause of the process ended. Requests wait for
	// proof of the configuration that is newer.
	resumedAt     atomic.Int64
	subscriptions []timer.Subscription
	// slotChecks counts the calls of checkSlots.
	slotChecks    int
	slotRowsStale atomic.Bool
}

// New starts a router. It runs until Shutdown or Close is called.
func New(s Settings, tlsConfig *tls.Config, logger log.Interface) (*Router, error) {
	s.Limits = s.Limits.withDefaults(inbound.UsableDescriptors())
	r := &Router{
		callerMemory:  newCallerMemory(s.Limits),
		settings:      s,
		log:           logger.WithField("vm", s.VM),
		clock:         timer.NewSystemClock(),
		faults:        &faultSwitch{},
		metrics:       newRouterMetrics(),
		configTracker: config.NewTracker(),
		view:          fleet.NewView(),
		slots:         fleet.NewSlots(s.VM, time.Duration(s.AbsenceTimeout)),
		ledger:        &team.Ledger{},
		retryBudget:   team.NewRetryBudget(retryRatio, maxSavedRetries),
		streams:       newStreams(),
		clients:       newClients(s.Credentials),
		unreachable:   newUnreachableTargets(),
	}
	r.platform = platform.NewClient(s.Platform, r.faults.checkPlatform)
	r.claims = receipt.NewClaims(r.platform)
	r.engines = engine.NewTable(r.clock)
	r.queues = newQueues()
	r.tokenQueue = team.NewTokenQueue(maxTeamWaiting)
	r.reports = newReporter(r)
	r.collector = team.NewCollector(s.VM+"/"+platform.NewToken(), r.clock, lender{r})
	r.orderer = newOrderer(r)
	r.follower = newConfigFollower(r)
	policy, err := newPlacementPolicy(s.PlacementPolicy)
	if err != nil {
		return nil, err
	}
	r.SetPlacementPolicy(policy)
	if err := r.listen(tlsConfig); err != nil {
		r.clock.Close()
		return nil, err
	}
	r.subscribe()
	event.Started.Log(r.log, nil, log.Fields{"zone": s.Zone, "entry": r.entryAddress, "peer": r.node.Address(), "status": r.statusAddress})
	return r, nil
}

func (r *Router) listen(tlsConfig *tls.Config) error {
	var err error
	r.node, err = peer.NewNode(peer.Options{
		Address: r.settings.PeerAddress,
		TLS:     tlsConfig,
		Handler: r.handlePeer,
		Filter:  r.checkPeerLink,
		OnInvalid: func(address string, err error) {
			event.PeerMessageRejected.Log(r.log, err, log.Fields{"from": address})
		},
	})
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	r.statusServer, r.statusAddress, err = r.serve(r.settings.StatusAddress, r.handleStatus, maxStatusBodyBytes, r.settings.Limits.StatusConns)
	if err != nil {
		r.node.Close()
		return err
	}
	r.entryServer, r.entryAddress, err = r.serve(r.settings.EntryAddress, r.handleEntry, maxRequestBytes, r.settings.Limits.Conns)
	if err != nil {
		r.node.Close()
		_ = r.statusServer.Shutdown()
		return err
	}
	return nil
}

// serve starts an HTTP server with a timeout for each write rather than for the
// whole response, so that long streams are not cut off but stuck callers are.
func (r *Router) serve(address string, handler fasthttp.RequestHandler, maxBodyBytes, maxConns int) (*fasthttp.Server, string, error) {
	listener, err := inbound.ListenOn("tcp", address, r.listenerLimits(address, maxConns))
	if err != nil {
		return nil, "", fmt.Errorf("router: listen: %w", err)
	}
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if !inbound.BeginBody(ctx.Conn()) {
				ctx.SetConnectionClose()
				return
			}
			handler(ctx)
		},
		HeaderReceived: markOversizedBody,
		ConnState: func(c net.Conn, s fasthttp.ConnState) {
			if s == fasthttp.StateIdle {
				inbound.Track(c, http.StateIdle)
			}
		},
		Name:                  "marjoramrock",
		ReadTimeout:           callerReadTimeout,
		IdleTimeout:           callerIdleTimeout,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		NoDefaultServerHeader: true,
		// Handlers read bodies, once they know that they need them.
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		ReduceMemoryUsage:            true,
		CloseOnShutdown:              true,
		ErrorHandler:                 writeReadError,
		Logger:                       discardLogger{},
	}
	r.listeners.Go(func() {
		if err := server.Serve(listener); err != nil {
			event.ListenerFailed.Log(r.log, err, log.Fields{"address": address})
		}
	})
	return server, listener.Addr().String(), nil
}

// Intervals of the background work.
const (
	headPollInterval = time.Second
	gossipInterval   = 500 * time.Millisecond
	vmListInterval   = time.Second
	// Slot rows are read every slotReadEvery checks, every unheldSlotReadEvery
	// checks while a slot of the zone may have no holder, and at the next check
	// after a peer's claim that differs from them.
	slotCheckInterval   = 250 * time.Millisecond
	unheldSlotReadEvery = 8
	slotReadEvery       = 40
	reportFlushInterval = 40 * time.Millisecond
	orderInterval       = 500 * time.Millisecond
)

func (r *Router) subscribe() {
	r.subscriptions = append(r.subscriptions,
		r.clock.OnGap(r.onPause),
		r.clock.Every(headPollInterval, r.follower.pollHead),
		r.clock.Every(gossipInterval, r.follower.gossip),
		r.clock.Every(vmListInterval, r.readVMList),
		r.clock.Every(slotCheckInterval, r.checkSlots),
		r.clock.Every(reportFlushInterval, r.reports.flush),
		r.clock.Every(orderInterval, r.orderer.run),
	)
	go func() {
		r.readVMList()
		r.readSlots()
	}()
	go r.follower.start()
}

// onPause makes new requests wait for proof of the configuration from after the
// pause.
func (r *Router) onPause(gap time.Duration) {
	r.resumedAt.Store(int64(r.clock.Now()))
	event.Paused.Log(r.log, nil, log.Fields{"gap": gap.String()})
	go r.follower.pollHead()
	go r.follower.gossipRound()
}

// EntryAddress returns the address that callers connect to.
func (r *Router) EntryAddress() string { return r.entryAddress }

// PeerAddress returns the address that other routers connect to.
func (r *Router) PeerAddress() string { return r.node.Address() }

// StatusAddress returns the address that operators connect to.
func (r *Router) StatusAddress() string { return r.statusAddress }

// Ready reports whether the router accepts new requests.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.configTracker.Current().Generation() > 0
}

// Shutdown stops the router gracefully: it reports not ready, releases its
// slots, keeps accepting requests for the drain delay, and waits until all
// requests have ended or ctx is done. After the drain delay it refuses requests
// that may take longer than until the deadline of ctx.
func (r *Router) Shutdown(ctx context.Context) error {
	r.draining.Store(true)
	event.Draining.Log(r.log, nil, nil)
	// The slots are released meanwhile: a slow store must not delay the end of the drain.
	var released sync.WaitGroup
	released.Go(func() {
		r.releaseSlots(ctx)
		r.follower.gossipRound()
	})
	defer released.Wait()
	drain := time.Duration(r.settings.DrainDelay)
	if drain == 0 {
		drain = DefaultDrainDelay
	}
	if err := sleep(ctx, drain); err != nil {
		return fmt.Errorf("router: drain: %w", err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.servesUntil.Store(int64(r.clock.Now().Add(time.Until(deadline))))
	}
	released.Wait()
	for r.inFlight.Load() > 0 {
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return fmt.Errorf("router: %d requests in progress: %w", r.inFlight.Load(), err)
		}
	}
	if err := r.entryServer.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("router: entry: %w", err)
	}
	r.reports.flush()
	r.Close()
	return nil
}

// Close stops the router immediately.
func (r *Router) Close() {
	for _, sub := range r.subscriptions {
		sub.Cancel()
	}
	r.clock.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = r.entryServer.ShutdownWithContext(ctx)
	_ = r.statusServer.ShutdownWithContext(ctx)
	r.node.Close()
	event.Stopped.Log(r.log, nil, nil)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
