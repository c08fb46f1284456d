package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/declare"
	"github.com/marjoramrock/marjoramrock/examples/profiles"
	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/urfave/cli/v2"
)

func demoCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name: "demo", Usage: "run a small deployment in this process and send requests to it",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "stop after `TIME`; if not set, run until SIGINT or SIGTERM"},
		},
		Action: demo,
	})
}

// demoDeployment declares two zones with two engines each, and one service.
func demoDeployment(address profiles.AddressFunc) *declare.Deployment {
	d := declare.New().Zone("zone-a", 0.5).Zone("zone-b", 0.5)
	d.Model("atlas", "v1").Limit(256)
	for i, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-b"} {
		name := fmt.Sprintf("engine-%d", i+1)
		d.Engine(name, zone, "atlas", address(name)).Fenced()
	}
	d.Service("registry").Server("registry-1", "zone-a", address("registry-1"))
	d.Team("observers").Rate(500_000).Burst(2_000_000)
	d.Team("reviewers").Rate(200_000).Burst(800_000)
	d.ModelRoute("captions", "atlas").Wait(5 * time.Second)
	d.ServiceRoute("submissions", "/submissions", "registry").Once()
	return d
}

func demo(c *cli.Context) error {
	ctx, stop := signal.NotifyContext(c.Context, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if d := c.Duration("for"); d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	cluster, err := trial.StartCluster(ctx, trial.ClusterOptions{
		Deployment: demoDeployment,
		Routers:    4,
		EngineOptions: standin.EngineOptions{
			CacheBlocks: 200, PrefillPerToken: 20 * time.Microsecond, DecodePerToken: 4 * time.Millisecond, WeightLoadTime: 500 * time.Millisecond,
		},
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	printEndpoints(cluster)
	traffic := &demoTraffic{cluster: cluster, firstTokenMicros: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	traffic.run(ctx)
	traffic.printResults()
	return nil
}

func printEndpoints(c *trial.Cluster) {
	fmt.Println("Two availability zones, four routers, four engines, one service and a simulated platform, all on loopback.")
	fmt.Println("Example request:")
	fmt.Printf("\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"+
		"    -d '{\"model\":\"atlas\",\"stream\":true,\"max_tokens\":16,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n\n",
		c.Routers[0].EntryAddress(), c.Key("observers"))
	for _, r := range c.Routers {
		fmt.Printf("  router %s in %s: entry %s, status %s\n", r.Status().VM, r.Status().Zone, r.EntryAddress(), r.StatusAddress())
	}
	fmt.Println()
}

// demoTraffic sends requests to a cluster and records the results.
type demoTraffic struct {
	cluster *trial.Cluster

	mu               sync.Mutex // guards the fields below
	servedCount      int
	refusedCount     int
	failedCount      int
	promptTokens     int
	cachedTokens     int
	firstTokenMicros *hdrhistogram.Histogram
}

// Parameters of the demo's requests: concurrent callers, distinct prompt
// sections that requests share, and generated tokens per request.
const (
	demoCallerCount  = 6
	demoSectionCount = 6
	demoMaxTokens    = 12
)

func (d *demoTraffic) run(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range demoCallerCount {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(i)))
			for ctx.Err() == nil {
				d.sendRequest(ctx, random)
			}
		})
	}
	callers.Wait()
}

func (d *demoTraffic) sendRequest(ctx context.Context, random *rand.Rand) {
	section := random.IntN(demoSectionCount)
	parts := []string{
		strings.Repeat("You caption cloud photographs. ", 300),
		strings.Repeat(fmt.Sprintf("Atlas section %d. ", section), 600),
		fmt.Sprintf("Note %d", random.Uint64()),
	}
	team := []string{"observers", "reviewers"}[random.IntN(2)]
	router := d.cluster.Routers[random.IntN(len(d.cluster.Routers))]
	sentAt := time.Now()
	reply, err := trial.SendModelRequest(ctx, http.DefaultClient, router.EntryAddress(), d.cluster.Key(team),
		trial.ModelRequest{Model: "atlas", Messages: parts, MaxTokens: demoMaxTokens})
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err != nil:
		d.failedCount++
	case !reply.OK():
		d.refusedCount++
	default:
		d.servedCount++
		_ = d.firstTokenMicros.RecordValue(reply.FirstTextAt.Sub(sentAt).Microseconds())
		if reply.Usage != nil {
			d.promptTokens += reply.Usage.PromptTokens
			d.cachedTokens += reply.Usage.PromptDetails.CachedTokens
		}
	}
}

func (d *demoTraffic) printResults() {
	ms := func(q float64) float64 { return float64(d.firstTokenMicros.ValueAtQuantile(q)) / 1000 }
	fmt.Printf("%-24s %d\n", "requests served", d.servedCount)
	fmt.Printf("%-24s %d\n", "refused", d.refusedCount)
	fmt.Printf("%-24s %d\n", "failed", d.failedCount)
	fmt.Printf("%-24s %.1f %%\n", "prompt tokens cached", 100*float64(d.cachedTokens)/float64(max(1, d.promptTokens)))
	fmt.Printf("%-24s p50 %.1f ms, p99 %.1f ms\n", "time to first token", ms(50), ms(99))
}
