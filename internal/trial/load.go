package trial

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/examples/profiles"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/prefix"
	"github.com/marjoramrock/marjoramrock/internal/router"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"golang.org/x/sync/errgroup"
)

// RunOptions describe a load run.
type RunOptions struct {
	Profile Profile
	// Policy is the name of a placement policy, or PolicyOracle.
	Policy   string
	Seed     uint64
	Duration time.Duration
	Routers  int
	// SpeedFactor multiplies arrivals, rates, bursts and the speed of the engines.
	SpeedFactor float64
	// TrafficFactor multiplies arrivals, rates and bursts, but not the speed of the
	// engines.
	TrafficFactor float64
	// SkewFactor multiplies the power-law exponent with which sections are requested.
	SkewFactor float64
	// QueueOrder, if set, overrides the order in which a team's waiting requests are
	// admitted.
	QueueOrder config.QueueOrder
	// CacheBlocks is the capacity of each engine's cache, in blocks.
	CacheBlocks int
	Faults      []Fault
	Progress    io.Writer
}

// PolicyOracle names a policy that reads the engines' caches and queues directly.
// It shows what placement with perfect knowledge achieves.
const PolicyOracle = "oracle"

// Times for one token on an engine at a SpeedFactor of 1.
const (
	prefillPerToken = 100 * time.Microsecond
	decodePerToken  = 10 * time.Millisecond
)

// run is the state of a load run.
type run struct {
	options   RunOptions
	cluster   *Cluster
	client    *http.Client
	startedAt time.Time
	computed  *standin.ComputedBlocks

	mu      sync.Mutex // guards the fields below
	entries []string
	tally   *tally
}

// Run starts a deployment, generates load on it, and reports the measurements.
func Run(ctx context.Context, l RunOptions) (*Report, error) {
	computed := standin.NewComputedBlocks()
	cluster, err := StartCluster(ctx, l.clusterOptions(computed))
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := &run{
		options: l, cluster: cluster, computed: computed, tally: newTally(l, cluster.Document()),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	r.setRouters(cluster.Routers)
	if err := r.sendAll(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

func (l RunOptions) clusterOptions(computed *standin.ComputedBlocks) ClusterOptions {
	placement := l.Policy
	if placement == PolicyOracle {
		placement = ""
	}
	return ClusterOptions{
		Deployment: func(a profiles.AddressFunc) *declare.Deployment {
			return l.applyQueueOrder(scaleRates(l.Profile.deployment(a), l.SpeedFactor*l.TrafficFactor))
		},
		Routers:   l.Routers,
		Placement: placement,
		EngineOptions: standin.EngineOptions{
			CacheBlocks: l.CacheBlocks, ComputedBlocks: computed, WeightLoadTime: 500 * time.Millisecond,
			PrefillPerToken: time.Duration(float64(prefillPerToken) / l.SpeedFactor), DecodePerToken: time.Duration(float64(decodePerToken) / l.SpeedFactor),
		},
		Log:  &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Seed: l.Seed,
	}
}

// applyQueueOrder declares the queue order that the options set.
func (l RunOptions) applyQueueOrder(d *declare.Deployment) *declare.Deployment {
	switch l.QueueOrder {
	case config.QueueOrderEarliest:
		return d.EarliestFirst()
	case config.QueueOrderLatest:
		return d.LatestFirst()
	default:
		return d
	}
}

// scaleRates multiplies the rate and burst of every team.
func scaleRates(d *declare.Deployment, factor float64) *declare.Deployment {
	teams := d.Document().Teams
	for i := range teams {
		teams[i].Rate *= factor
		teams[i].Burst *= factor
	}
	return d
}

// setRouters sends all further requests to the given routers.
func (r *run) setRouters(routers []*router.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = nil
	for _, one := range routers {
		r.entries = append(r.entries, one.EntryAddress())
		if r.options.Policy == PolicyOracle {
			one.SetPlacementPolicy(&oracle{engines: r.cluster.Engines})
		}
	}
}

// sendAll sends every request of the plan at its planned time, whether or not earlier
// ones have been answered, and waits for the last answer.
func (r *run) sendAll(ctx context.Context) error {
	var shifts []time.Duration
	for _, f := range r.options.Faults {
		if f.kind == FaultHotSetShift {
			shifts = append(shifts, f.at)
		}
	}
	plan := r.options.plan(shifts)
	markWithinRate(plan, r.cluster.Document())
	for name, n := range unavoidableRefusals(plan, r.cluster.Document()) {
		r.tally.teams[name].Unavoidable = n
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Duration+time.Minute)
	defer cancel()
	r.startedAt = time.Now()
	var callers sync.WaitGroup
	var faults errgroup.Group
	for _, f := range r.options.Faults {
		faults.Go(func() error {
			time.Sleep(time.Until(r.startedAt.Add(f.at)))
			return r.injectFault(ctx, f)
		})
	}
	for i, a := range plan {
		time.Sleep(time.Until(r.startedAt.Add(a.at)))
		r.printProgress(i, len(plan))
		callers.Go(func() { r.send(ctx, i, a) })
	}
	callers.Wait()
	if err := faults.Wait(); err != nil {
		return fmt.Errorf("trial: inject fault: %w", err)
	}
	return nil
}

const arrivalsPerProgressLine = 200

func (r *run) printProgress(i, n int) {
	if r.options.Progress != nil && i%arrivalsPerProgressLine == 0 {
		_, _ = fmt.Fprintf(r.options.Progress, "\r%s: %d of %d requests", r.options.Policy, i, n)
	}
}

// send makes one request and records its outcome. Latency counts from the planned
// time, so that a late start of the request is not hidden.
func (r *run) send(ctx context.Context, serial int, a arrival) {
	intended := r.startedAt.Add(a.at)
	r.mu.Lock()
	entry := r.entries[a.routerIndex%len(r.entries)]
	r.mu.Unlock()
	key := r.cluster.Key(a.class.team)
	var reply Reply
	var err error
	if a.class.path != "" {
		reply, err = CallService(ctx, r.client, entry+a.class.path, key, fmt.Sprintf("load-%d-%d", r.options.Seed, serial))
	} else {
		reply, err = SendModelRequest(ctx, r.client, entry, key, ModelRequest{Model: a.class.model, Messages: a.messages(), MaxTokens: a.class.maxTokens})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.add(a, intended, reply, err)
}

// CallService makes a service call with an idempotency key.
func CallService(ctx context.Context, client *http.Client, target, key, idempotency string) (Reply, error) {
	var reply Reply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, strings.NewReader("one"))
	if err != nil {
		return reply, fmt.Errorf("trial: create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", idempotency)
	resp, err := client.Do(req)
	if err != nil {
		return reply, fmt.Errorf("trial: send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply.Status = resp.StatusCode
	reply.FirstTextAt, reply.EndedAt = time.Now(), time.Now()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply, fmt.Errorf("trial: read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return reply, reply.readError(raw)
	}
	reply.Done = true
	return reply, nil
}

// oracle is the placement policy named by PolicyOracle.
type oracle struct{ engines map[string]*standin.Engine }

// oracleQueueCostTokens is the cost of each request in an engine's queue, as a number
// of prompt tokens to prefill.
const oracleQueueCostTokens = 2000

// Order implements prefix.Policy. The cost of an engine is the tokens to prefill,
// those of earlier requests included, plus a cost for every request in its queue.
func (o *oracle) Order(p prefix.Prompt, candidates []prefix.Candidate) []int {
	cost := make([]int, len(candidates))
	order := make([]int, len(candidates))
	for i, c := range candidates {
		e := o.engines[c.Name]
		order[i] = i
		ahead, backlog := e.Backlog()
		cost[i] = (len(p.Chain())-e.CachedPrefixBlocks(p))*prefix.BlockTokens + backlog
		if over := ahead + 1 - c.Slots; over > 0 {
			cost[i] += over * oracleQueueCostTokens
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cost[a] - cost[b] })
	return order
}

func sortArrivals(list []arrival) {
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
