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

// Load says what a load run does.
type Load struct {
	Profile Profile
	// Policy names the placement policy, or PolicyOracle.
	Policy  string
	Seed    uint64
	Length  time.Duration
	Routers int
	// Speed multiplies arrivals, rates and the engines' speed.
	Speed float64
	// Press multiplies arrivals and rates, but not the engines' speed.
	Press float64
	// Skew multiplies how hot the hottest prefixes are.
	Skew float64
	// First overrides which of a team's waiting requests goes first.
	First config.QueueOrder
	// Blocks is the size of each engine's cache.
	Blocks   int
	Faults   []Fault
	Progress io.Writer
}

// PolicyOracle places by looking into the engines' caches directly.
const PolicyOracle = "oracle"

// Times of an engine at speed 1.
const (
	prefillTime = 100 * time.Microsecond
	decodeTime  = 10 * time.Millisecond
)

// run is one load run in progress.
type run struct {
	load    Load
	cluster *Cluster
	client  *http.Client
	began   time.Time
	wasted  *standin.Computed

	mu      sync.Mutex // guards the fields below
	entries []string
	tally   *tally
}

// Run starts a deployment, puts the load on it and reports.
func Run(ctx context.Context, l Load) (*Report, error) {
	computed := standin.NewComputed()
	cluster, err := Start(ctx, l.shape(computed))
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	r := &run{
		load: l, cluster: cluster, wasted: computed, tally: newTally(l, cluster.Document()),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	r.use(cluster.Routers)
	if err := r.drive(ctx); err != nil {
		return nil, err
	}
	return r.report(), nil
}

func (l Load) shape(computed *standin.Computed) Shape {
	placement := l.Policy
	if placement == PolicyOracle {
		placement = ""
	}
	return Shape{
		Deployment: func(a profiles.AddressFunc) *declare.Deployment {
			return l.order(faster(l.Profile.deployment(a), l.Speed*l.Press))
		},
		Routers:   l.Routers,
		Placement: placement,
		Engine: standin.EngineOptions{
			Blocks: l.Blocks, Computed: computed, Load: 500 * time.Millisecond,
			Prefill: time.Duration(float64(prefillTime) / l.Speed), Decode: time.Duration(float64(decodeTime) / l.Speed),
		},
		Log:  &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Seed: l.Seed,
	}
}

// order declares what First says.
func (l Load) order(d *declare.Deployment) *declare.Deployment {
	switch l.First {
	case config.QueueOrderEarliest:
		return d.EarliestFirst()
	case config.QueueOrderLatest:
		return d.LatestFirst()
	default:
		return d
	}
}

// faster multiplies every team's rate and burst.
func faster(d *declare.Deployment, speed float64) *declare.Deployment {
	teams := d.Document().Teams
	for i := range teams {
		teams[i].Rate *= speed
		teams[i].Burst *= speed
	}
	return d
}

// use sends callers to these routers from now on.
func (r *run) use(routers []*router.Router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = nil
	for _, one := range routers {
		r.entries = append(r.entries, one.EntryAddress())
		if r.load.Policy == PolicyOracle {
			one.UsePolicy(&oracle{engines: r.cluster.Engines})
		}
	}
}

// drive sends every arrival at its time, whether or not earlier ones have been
// answered, and waits for the last.
func (r *run) drive(ctx context.Context) error {
	var shifts []time.Duration
	for _, f := range r.load.Faults {
		if f.kind == FaultShift {
			shifts = append(shifts, f.at)
		}
	}
	plan := r.load.plan(shifts)
	audit(plan, r.cluster.Document())
	for name, n := range unavoidable(plan, r.cluster.Document()) {
		r.tally.teams[name].Unavoidable = n
	}
	ctx, cancel := context.WithTimeout(ctx, r.load.Length+time.Minute)
	defer cancel()
	r.began = time.Now()
	var callers sync.WaitGroup
	var troubles errgroup.Group
	for _, f := range r.load.Faults {
		troubles.Go(func() error {
			time.Sleep(time.Until(r.began.Add(f.at)))
			return r.bring(ctx, f)
		})
	}
	for i, a := range plan {
		time.Sleep(time.Until(r.began.Add(a.at)))
		r.progress(i, len(plan))
		callers.Go(func() { r.send(ctx, i, a) })
	}
	callers.Wait()
	if err := troubles.Wait(); err != nil {
		return fmt.Errorf("trial: fault: %w", err)
	}
	return nil
}

// progressEvery is how many arrivals pass between two progress lines.
const progressEvery = 200

func (r *run) progress(i, n int) {
	if r.load.Progress != nil && i%progressEvery == 0 {
		_, _ = fmt.Fprintf(r.load.Progress, "\r%s: %d of %d requests", r.load.Policy, i, n)
	}
}

// send makes one request and tallies it from its intended start.
func (r *run) send(ctx context.Context, serial int, a arrival) {
	intended := r.began.Add(a.at)
	r.mu.Lock()
	entry := r.entries[a.router%len(r.entries)]
	r.mu.Unlock()
	key := r.cluster.Key(a.class.team)
	var reply Reply
	var err error
	if a.class.path != "" {
		reply, err = Call(ctx, r.client, entry+a.class.path, key, fmt.Sprintf("load-%d-%d", r.load.Seed, serial))
	} else {
		reply, err = Do(ctx, r.client, entry, key, Ask{Model: a.class.model, Parts: a.parts(), Tokens: a.class.tokens})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.add(a, intended, reply, err)
}

// Call makes a once-only service call.
func Call(ctx context.Context, client *http.Client, target, key, idempotency string) (Reply, error) {
	var reply Reply
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, strings.NewReader("one"))
	if err != nil {
		return reply, fmt.Errorf("trial: request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", idempotency)
	resp, err := client.Do(req)
	if err != nil {
		return reply, fmt.Errorf("trial: call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply.Status = resp.StatusCode
	reply.First, reply.Ended = time.Now(), time.Now()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply, fmt.Errorf("trial: read: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return reply, reply.refused(raw)
	}
	reply.Done = true
	return reply, nil
}

// oracle is a placement policy that sees the engines' caches and queues.
type oracle struct{ engines map[string]*standin.Engine }

// oracleQueue is the price of a request ahead, in tokens of prefill.
const oracleQueue = 2000

// Order implements prefix.Policy.
func (o *oracle) Order(p prefix.Prompt, candidates []prefix.Candidate) []int {
	price := make([]int, len(candidates))
	order := make([]int, len(candidates))
	for i, c := range candidates {
		e := o.engines[c.Name]
		order[i] = i
		ahead, backlog := e.Pressure()
		price[i] = (len(p.Chain())-e.Holds(p))*prefix.BlockTokens + backlog
		if over := ahead + 1 - c.Slots; over > 0 {
			price[i] += over * oracleQueue
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return price[a] - price[b] })
	return order
}

func sortArrivals(list []arrival) {
	slices.SortStableFunc(list, func(a, b arrival) int { return int(a.at - b.at) })
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
