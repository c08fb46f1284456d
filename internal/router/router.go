package router

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/engine"
	"github.com/marjoramrock/marjoramrock/internal/event"
	"github.com/marjoramrock/marjoramrock/internal/fleet"
	"github.com/marjoramrock/marjoramrock/internal/peer"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/marjoramrock/marjoramrock/internal/receipt"
	"github.com/marjoramrock/marjoramrock/internal/team"
	"github.com/marjoramrock/marjoramrock/internal/timer"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/singleflight"
)

// Part of fresh traffic that may be retried, and how many retries are saved.
const (
	retryPart  = 0.1
	retryLimit = 20
)

// clock is a timer.Clock that can be asked to check for a pause now.
type clock interface {
	timer.Clock
	CheckGap()
	Close()
}

// Router is one running process of the system.
type Router struct {
	settings Settings
	log      log.Interface
	clock    clock
	faults   *faultSwitch
	platform platform.Services
	node     *peer.Node
	metrics  *meters

	configTracker *config.Tracker
	view          *fleet.View
	slots         *fleet.Slots
	ledger        *team.Ledger
	collect       *team.Collector
	reports       *reporter
	engines       *engine.Table
	clients       *clients
	probes        singleflight.Group
	claims        *receipt.Claims
	policy        atomic.Pointer[placement]
	budget        *team.RetryBudget
	queues        *queues
	turns         *team.TokenQueue
	streams       *streams
	orderer       *orderer
	unreach       *unreached
	follower      *follower

	entry        *fasthttp.Server
	status       *fasthttp.Server
	entryAddress string
	statusAddr   string
	listeners    sync.WaitGroup

	draining atomic.Bool
	inFlight atomic.Int64
	// resumedAt is the instant of the last pause's end; admission waits for
	// proof of the configuration that is newer.
	resumedAt atomic.Int64
	subs      []timer.Subscription
	// slotRound counts the timer's calls of lookAfterSlots.
	slotRound int
	slotDoubt atomic.Bool
}

// New starts a router. Shutdown or Close ends it.
func New(s Settings, secure *tls.Config, logger log.Interface) (*Router, error) {
	r := &Router{
		settings:      s,
		log:           logger.WithField("vm", s.VM),
		clock:         timer.NewSystemClock(),
		faults:        &faultSwitch{},
		metrics:       newMeters(),
		configTracker: config.NewTracker(),
		view:          fleet.NewView(),
		slots:         fleet.NewSlots(s.VM, time.Duration(s.Confirm)),
		ledger:        &team.Ledger{},
		budget:        team.NewRetryBudget(retryPart, retryLimit),
		streams:       newStreams(),
		clients:       newClients(s.Credentials),
		unreach:       newUnreached(),
	}
	r.platform = platform.NewClient(s.Platform, r.faults.platform)
	r.claims = receipt.NewClaims(r.platform)
	r.engines = engine.NewTable(r.clock)
	r.queues = newQueues()
	r.turns = team.NewTokenQueue(queueTeamWaiting)
	r.reports = newReporter(r)
	r.collect = team.NewCollector(s.VM+"/"+platform.NewToken(), r.clock, lender{r})
	r.orderer = newOrderer(r)
	r.follower = newFollower(r)
	policy, err := newPolicy(s.Placement)
	if err != nil {
		return nil, err
	}
	r.UsePolicy(policy)
	if err := r.listen(secure); err != nil {
		r.clock.Close()
		return nil, err
	}
	r.subscribe()
	event.Started.Log(r.log, nil, log.Fields{"zone": s.Zone, "entry": r.entryAddress, "peer": r.node.Address(), "status": r.statusAddr})
	return r, nil
}

func (r *Router) listen(secure *tls.Config) error {
	var err error
	r.node, err = peer.NewNode(peer.Options{
		Address: r.settings.Peer,
		TLS:     secure,
		Handler: r.handlePeer,
		Filter:  r.gatePeer,
		OnInvalid: func(address string, err error) {
			event.PeerMessageRejected.Log(r.log, err, log.Fields{"from": address})
		},
	})
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	r.status, r.statusAddr, err = r.serve(r.settings.Status, r.operate, 4<<20)
	if err != nil {
		r.node.Close()
		return err
	}
	r.entry, r.entryAddress, err = r.serve(r.settings.Entry, r.enter, maxRequestBytes)
	if err != nil {
		r.node.Close()
		_ = r.status.Shutdown()
		return err
	}
	return nil
}

// serve starts an HTTP server whose writes are paced one by one, so that a
// long stream is not cut and a stuck caller is.
func (r *Router) serve(address string, handler fasthttp.RequestHandler, limit int) (*fasthttp.Server, string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, "", fmt.Errorf("router: listen: %w", err)
	}
	server := &fasthttp.Server{
		Handler:               handler,
		Name:                  "marjoramrock",
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    limit,
		ReadBufferSize:        maxHeaderBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          badRequest,
		Logger:                quiet{},
	}
	r.listeners.Go(func() {
		if err := server.Serve(pacedListener{listener}); err != nil {
			event.ListenerFailed.Log(r.log, err, log.Fields{"address": address})
		}
	})
	return server, listener.Addr().String(), nil
}

// Periods of the router's own work.
const (
	headPeriod   = time.Second
	gossipPeriod = 500 * time.Millisecond
	listPeriod   = time.Second
	// Slot rows are read every slotRounds periods, every slotUnsettled while a
	// slot of the zone may need a holder, and in the next one after a peer's
	// word that differs from them.
	slotPeriod    = 250 * time.Millisecond
	slotUnsettled = 8
	slotRounds    = 40
	reportPeriod  = 40 * time.Millisecond
	orderPeriod   = 500 * time.Millisecond
)

func (r *Router) subscribe() {
	r.subs = append(r.subs,
		r.clock.OnGap(r.paused),
		r.clock.Every(headPeriod, r.follower.poll),
		r.clock.Every(gossipPeriod, r.follower.gossip),
		r.clock.Every(listPeriod, r.readList),
		r.clock.Every(slotPeriod, r.lookAfterSlots),
		r.clock.Every(reportPeriod, r.reports.flush),
		r.clock.Every(orderPeriod, r.orderer.run),
	)
	go func() {
		r.readList()
		r.readSlots()
	}()
	go r.follower.start()
}

// paused makes admission wait for fresh proof after a stop of the process.
func (r *Router) paused(gap time.Duration) {
	r.resumedAt.Store(int64(r.clock.Now()))
	event.Paused.Log(r.log, nil, log.Fields{"gap": gap.String()})
	go r.follower.poll()
	go r.follower.greet()
}

// EntryAddress returns the callers' address in use.
func (r *Router) EntryAddress() string { return r.entryAddress }

// PeerAddress returns the routers' address in use.
func (r *Router) PeerAddress() string { return r.node.Address() }

// StatusAddress returns the operators' address in use.
func (r *Router) StatusAddress() string { return r.statusAddr }

// Ready reports whether the router takes new work.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.configTracker.Current().Generation() > 0
}

// Shutdown ends the router gracefully: it stops being ready, accepts a little
// longer, gives its slots back, and waits until every request has ended or
// ctx does.
func (r *Router) Shutdown(ctx context.Context) error {
	r.draining.Store(true)
	event.Draining.Log(r.log, nil, nil)
	r.releaseSlots(ctx)
	r.follower.greet()
	drain := time.Duration(r.settings.Drain)
	if drain == 0 {
		drain = DefaultDrain
	}
	if err := sleep(ctx, drain); err != nil {
		return fmt.Errorf("router: drain: %w", err)
	}
	for r.inFlight.Load() > 0 {
		if err := sleep(ctx, 10*time.Millisecond); err != nil {
			return fmt.Errorf("router: %d requests in progress: %w", r.inFlight.Load(), err)
		}
	}
	if err := r.entry.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("router: entry: %w", err)
	}
	r.reports.flush()
	r.Close()
	return nil
}

// Close ends the router at once.
func (r *Router) Close() {
	for _, sub := range r.subs {
		sub.Cancel()
	}
	r.clock.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = r.entry.ShutdownWithContext(ctx)
	_ = r.status.ShutdownWithContext(ctx)
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
