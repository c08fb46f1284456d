package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/standin"
	"github.com/urfave/cli/v2"
)

type standinServer interface {
	Address() string
	Close()
}

func standinCommand() *cli.Command {
	address := &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on"}
	return withUsageErrors(&cli.Command{
		Name: "standin", Usage: "run a simulated backend server or platform for testing",
		Description: "Simulated servers keep all state in memory. POST to /control/faults to inject faults.",
		Subcommands: []*cli.Command{
			{
				Name: "engine", Usage: "run a simulated model engine with a prefix cache",
				Flags: []cli.Flag{
					address,
					&cli.StringFlag{Name: "name", Value: "engine"},
					&cli.StringFlag{Name: "model", Value: "model"},
					&cli.StringFlag{Name: "version", Value: "v1"},
					&cli.IntFlag{Name: "slots", Value: 8},
					&cli.IntFlag{Name: "blocks", Value: 400},
					&cli.DurationFlag{Name: "prefill", Value: 50 * time.Microsecond, Usage: "`TIME` to prefill one token that is not cached"},
					&cli.DurationFlag{Name: "decode", Value: 5 * time.Millisecond, Usage: "`TIME` between tokens"},
					&cli.BoolFlag{Name: "fenced", Usage: "refuse orders with an outdated fencing token"},
				},
				Action: func(c *cli.Context) error {
					return runStandin(standin.NewEngine(c.String("address"), standin.EngineOptions{
						Name: c.String("name"), Model: c.String("model"), Version: c.String("version"),
						Slots: c.Int("slots"), CacheBlocks: c.Int("blocks"),
						PrefillPerToken: c.Duration("prefill"), DecodePerToken: c.Duration("decode"),
						WeightLoadTime: 500 * time.Millisecond, SupportsFencing: c.Bool("fenced"), Seed: uint64(time.Now().UnixNano()),
					}, nil))
				},
			},
			{
				Name: "service", Usage: "run a simulated service that counts the executions of each call", Flags: []cli.Flag{address},
				Action: func(c *cli.Context) error { return runStandin(standin.NewService(c.String("address"))) },
			},
			{
				Name: "platform", Usage: "run a simulated platform: table service, object store and VM list", Flags: []cli.Flag{address},
				Action: func(c *cli.Context) error { return runStandin(standin.NewPlatform(c.String("address"))) },
			},
		},
		Action: func(*cli.Context) error { return usageErrorf("standin requires engine, service or platform") },
	})
}

// runStandin prints the address of a simulated server and runs it until SIGTERM or SIGINT.
func runStandin[T standinServer](s T, err error) error {
	if err != nil {
		return err
	}
	fmt.Println(s.Address())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	s.Close()
	return nil
}
