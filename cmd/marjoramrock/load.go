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
	return command(&cli.Command{
		Name: "load", Usage: "put a workload on a deployment on loopback and report the measures",
		Description: "Arrivals are planned from the seed and sent on time whether or not earlier ones were\n" +
			"answered; latency counts from the planned instant. With --compare the policies run in\n" +
			"turn on the same plan. The run ends by itself.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "wolkenatlas", Usage: "`NAME`: wolkenatlas or gumless"},
			&cli.StringFlag{Name: "compare", Value: "cost", Usage: "policies `A,B`: roundrobin, least, rendezvous, level, spread, cost, oracle"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "`TIME` that each policy runs"},
			&cli.IntFlag{Name: "routers", Value: 6},
			&cli.Float64Flag{Name: "speed", Value: 5, Usage: "`FACTOR` on arrivals, rates and the engines"},
			&cli.IntFlag{Name: "blocks", Value: 120, Usage: "cached blocks of each engine"},
			&cli.Float64Flag{Name: "press", Value: 1, Usage: "`FACTOR` on arrivals and rates alone"},
			&cli.Float64Flag{Name: "skew", Value: 1, Usage: "`FACTOR` on how hot the hottest prefixes are"},
			&cli.StringFlag{Name: "first", Usage: "which of a team's waiting requests goes first, `ORDER`: earliest or latest; the profile's own if not given"},
			&cli.StringSliceFlag{Name: "fault", Usage: "`KIND@TIME`: engine, shift, hang, vm, herd or platform; may be given again"},
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
		one := base
		one.Policy = policy
		report, err := trial.Run(c.Context, one)
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
		return fmt.Errorf("load: encode: %w", err)
	}
	if err := os.WriteFile(file, raw, 0o644); err != nil {
		return fmt.Errorf("load: %w", err)
	}
	return nil
}
