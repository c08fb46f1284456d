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

type closer interface {
	Address() string
	Close()
}

func standinCommand() *cli.Command {
	address := &cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on"}
	return command(&cli.Command{
		Name: "standin", Usage: "run a stand-in for a backend server or the platform",
		Description: "Stand-ins keep everything in memory; POST to /control/faults changes their fault switches.",
		Subcommands: []*cli.Command{
			{
				Name: "engine", Usage: "a model engine with a prefix cache",
				Flags: []cli.Flag{
					address,
					&cli.StringFlag{Name: "name", Value: "engine"},
					&cli.StringFlag{Name: "model", Value: "model"},
					&cli.StringFlag{Name: "version", Value: "v1"},
					&cli.IntFlag{Name: "slots", Value: 8},
					&cli.IntFlag{Name: "blocks", Value: 400},
					&cli.DurationFlag{Name: "prefill", Value: 50 * time.Microsecond, Usage: "`TIME` for one missing token"},
					&cli.DurationFlag{Name: "decode", Value: 5 * time.Millisecond, Usage: "`TIME` between tokens"},
					&cli.BoolFlag{Name: "fenced", Usage: "refuse orders with an old fencing number"},
				},
				Action: func(c *cli.Context) error {
					return serve(standin.NewEngine(c.String("address"), standin.EngineOptions{
						Name: c.String("name"), Model: c.String("model"), Version: c.String("version"),
						Slots: c.Int("slots"), CacheBlocks: c.Int("blocks"),
						PrefillPerToken: c.Duration("prefill"), DecodePerToken: c.Duration("decode"),
						WeightLoadTime: 500 * time.Millisecond, SupportsFencing: c.Bool("fenced"), Seed: uint64(time.Now().UnixNano()),
					}, nil))
				},
			},
			{
				Name: "service", Usage: "a plain service that counts the runs of each call", Flags: []cli.Flag{address},
				Action: func(c *cli.Context) error { return serve(standin.NewService(c.String("address"))) },
			},
			{
				Name: "platform", Usage: "table service, object store and VM list", Flags: []cli.Flag{address},
				Action: func(c *cli.Context) error { return serve(standin.NewPlatform(c.String("address"))) },
			},
		},
		Action: func(*cli.Context) error { return usage("standin takes engine, service or platform") },
	})
}

// serve runs a stand-in until a signal.
func serve[T closer](s T, err error) error {
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
