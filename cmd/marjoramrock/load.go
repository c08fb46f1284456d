package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/trial"
	"github.com/urfave/cli/v2"
)

func loadCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name: "load", Usage: "run a workload against a deployment on loopback and report the results",
		Description: "The seed determines the arrival times. Each request is sent on schedule even if earlier\n" +
			"ones are still open; latency is measured from the scheduled time. With --compare the\n" +
			"policies run one after the other on the same schedule, after which the command exits.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "wolkenatlas", Usage: "`NAME`: wolkenatlas or gumless"},
			&cli.StringFlag{Name: "compare", Value: "cost", Usage: "policies `A,B`: roundrobin, least, rendezvous, level, spread, cost, oracle"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "run each policy for `TIME`"},
			&cli.IntFlag{Name: "routers", Value: 6},
			&cli.Float64Flag{Name: "speed", Value: 5, Usage: "`FACTOR` applied to the arrival rate, the teams' rates and the speed of the engines"},
			&cli.IntFlag{Name: "blocks", Value: 120, Usage: "prefix cache size of each engine, in blocks"},
			&cli.Float64Flag{Name: "press", Value: 1, Usage: "`FACTOR` applied to the arrival rate and the teams' rates only"},
			&cli.Float64Flag{Name: "skew", Value: 1, Usage: "`FACTOR` applied to the popularity of the most popular prefixes"},
			&cli.StringFlag{Name: "first", Usage: "`ORDER` in which a team's queued requests are served: earliest or latest first; by default that of the profile"},
			&cli.StringSliceFlag{Name: "fault", Usage: "`KIND@TIME`: engine, shift, hang, vm, herd or platform; repeatable"},
			&cli.StringFlag{Name: "json", Usage: "also write the reports to `FILE`"},
		},
		Action: runLoad,
	})
}

func runLoad(c *cli.Context) error {
	profile, err := trial.ProfileByName(c.String("profile"))
	if err != nil {
		return &usageError{err: err}
	}
	base := trial.RunOptions{
		Profile: profile, Seed: c.Uint64("seed"), Duration: c.Duration("for"),
		Routers: c.Int("routers"), SpeedFactor: c.Float64("speed"), CacheBlocks: c.Int("blocks"), SkewFactor: c.Float64("skew"), TrafficFactor: c.Float64("press"), Progress: os.Stderr,
	}
	if base.QueueOrder, err = config.ParseQueueOrder(c.String("first")); err != nil {
		return &usageError{err: err}
	}
	for _, text := range c.StringSlice("fault") {
		f, err := trial.ParseFault(text)
		if err != nil {
			return &usageError{err: err}
		}
		base.Faults = append(base.Faults, f)
	}
	var reports []*trial.Report
	for _, policy := range strings.Split(c.String("compare"), ",") {
		load := base
		load.Policy = policy
		report, err := trial.Run(c.Context, load)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	fmt.Fprintln(os.Stderr)
	trial.Print(os.Stdout, reports)
	return writeReports(c.String("json"), reports)
}

func writeReports(file string, reports []*trial.Report) error {
	if file == "" {
		return nil
	}
	raw, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return fmt.Errorf("load: encode reports: %w", err)
	}
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}
