package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/marjoramrock/marjoramrock/internal/operator"
	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/urfave/cli/v2"
)

var errNotInForce = errors.New("the generation is not in force on every router yet; see marjoramrock status")

func platformFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "platform", Required: true, EnvVars: []string{"MARJORAMROCK_PLATFORM"},
		Usage: "`FILE` with the addresses of the platform's services",
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: 15 * time.Second, Usage: "`TIME` limit for the whole command"}
}

// platformClient returns a client configured by the --platform file.
func platformClient(c *cli.Context) (*platform.Client, error) {
	file := c.String("platform")
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("platform settings: %w", err)
	}
	var s platform.Settings
	if err := config.ReadSettings(file, raw, &s); err != nil {
		return nil, err
	}
	return platform.NewClient(s, nil), nil
}

// withPlatform calls f with a platform client and a context that ends after the
// command's timeout.
func withPlatform(c *cli.Context, f func(context.Context, *platform.Client) error) error {
	client, err := platformClient(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer cancel()
	return f(ctx, client)
}

// readDocument reads and validates a configuration file.
func readDocument(file string) (config.Document, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return config.Document{}, fmt.Errorf("configuration: %w", err)
	}
	doc, problems := config.Read(file, raw)
	if len(problems) > 0 {
		return doc, problems
	}
	return doc, nil
}

func checkCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name: "check", Usage: "validate a configuration file and report every problem", ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			if _, err := documentArg(c); err != nil {
				return err
			}
			fmt.Println(c.Args().First() + ": ok")
			return nil
		},
	})
}

func diffCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name: "diff", Usage: "show what apply would change", ArgsUsage: "FILE",
		Flags: []cli.Flag{platformFlag(), timeoutFlag()},
		Action: func(c *cli.Context) error {
			doc, err := documentArg(c)
			if err != nil {
				return err
			}
			return withPlatform(c, func(ctx context.Context, client *platform.Client) error { return diff(ctx, client, doc) })
		},
	})
}

// documentArg reads and validates the configuration file named by the command's
// only argument.
func documentArg(c *cli.Context) (config.Document, error) {
	file, err := fileArg(c)
	if err != nil {
		return config.Document{}, err
	}
	return readDocument(file)
}

func diff(ctx context.Context, client *platform.Client, doc config.Document) error {
	before, _, _, err := operator.ReadConfig(ctx, client)
	if err != nil {
		return err
	}
	delta, err := operator.ReplaceConfig(doc, 0)(before)
	if err != nil {
		return err
	}
	fmt.Printf("against generation %d\n", before.Generation())
	for _, line := range operator.DescribeDelta(delta) {
		fmt.Println(line)
	}
	return nil
}

func applyCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name: "apply", Usage: "commit a configuration file as the next generation", ArgsUsage: "FILE",
		Description: "Commits with compare-and-set: if another operator commits first, nothing is changed and\n" +
			"the other operator's changes are shown. Issued keys are kept unless the file has keys.",
		Flags: []cli.Flag{
			platformFlag(), timeoutFlag(),
			&cli.Uint64Flag{Name: "on", Usage: "fail unless generation `N` is the latest"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the generation is in force on every router, and list the routers"},
		},
		Action: apply,
	})
}

func apply(c *cli.Context) error {
	doc, err := documentArg(c)
	if err != nil {
		return err
	}
	return withPlatform(c, func(ctx context.Context, client *platform.Client) error {
		after, err := operator.Commit(ctx, client, operator.ReplaceConfig(doc, c.Uint64("on")))
		if err != nil {
			return err
		}
		fmt.Printf("generation %d\n", after.Generation())
		return awaitIfRequested(ctx, c, client, after.Generation())
	})
}

// awaitIfRequested calls awaitGeneration if the command has the flag --wait.
func awaitIfRequested(ctx context.Context, c *cli.Context, client platform.VMLister, generation uint64) error {
	if !c.Bool("wait") {
		return nil
	}
	return awaitGeneration(ctx, client, generation)
}

// awaitGeneration waits until a generation is in force on all routers or ctx ends,
// prints their status, and returns errNotInForce if ctx ended first.
func awaitGeneration(ctx context.Context, client platform.VMLister, generation uint64) error {
	reports, complete := operator.AwaitGeneration(ctx, client, generation)
	printReports(reports)
	if !complete {
		return errNotInForce
	}
	return nil
}

func printReports(reports []operator.StatusReport) {
	fmt.Printf("%-16s %-16s %10s %6s %9s %8s %6s\n", "VM", "ZONE", "GENERATION", "READY", "PROOF", "INFLIGHT", "SLOTS")
	for _, r := range reports {
		if r.Err != nil {
			fmt.Printf("%-16s %-16s unreachable: %v\n", r.VM.Name, r.VM.Zone, r.Err)
			continue
		}
		s := r.Status
		fmt.Printf("%-16s %-16s %10d %6t %7dms %8d %6d\n", s.VM, s.Zone, s.Generation, s.Ready, s.ProofAgeMillis, s.InFlight, s.HeldSlots)
	}
}

func keysCommand() *cli.Command {
	wait := &cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every router"}
	return withUsageErrors(&cli.Command{
		Name: "keys", Usage: "issue and withdraw API keys",
		Subcommands: []*cli.Command{
			{
				Name: "issue", Usage: "issue a key and print its secret, which is not shown again", ArgsUsage: "TEAM",
				Flags: []cli.Flag{
					platformFlag(), timeoutFlag(), wait,
					&cli.StringFlag{Name: "name", Usage: "`NAME` of the key; generated if empty"},
				},
				Action: issueKey,
			},
			{
				Name: "withdraw", Usage: "revoke a key, also for requests in progress", ArgsUsage: "NAME",
				Flags:  []cli.Flag{platformFlag(), timeoutFlag(), wait},
				Action: withdrawKey,
			},
		},
		Action: func(*cli.Context) error { return usageErrorf("keys requires issue or withdraw") },
	})
}

func issueKey(c *cli.Context) error {
	if c.NArg() != 1 {
		return usageErrorf("keys issue requires exactly one TEAM")
	}
	team, name := c.Args().First(), c.String("name")
	if name == "" {
		name = team + "-" + platform.NewToken()[:8]
	}
	return withPlatform(c, func(ctx context.Context, client *platform.Client) error {
		secret, after, err := operator.IssueKey(ctx, client, name, team)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "key %s, generation %d; the secret is not shown again:\n", name, after.Generation())
		fmt.Println(secret)
		return awaitIfRequested(ctx, c, client, after.Generation())
	})
}

func withdrawKey(c *cli.Context) error {
	if c.NArg() != 1 {
		return usageErrorf("keys withdraw requires exactly one NAME")
	}
	return withPlatform(c, func(ctx context.Context, client *platform.Client) error {
		after, err := operator.RevokeKey(ctx, client, c.Args().First())
		if err != nil {
			return err
		}
		fmt.Printf("generation %d\n", after.Generation())
		return awaitIfRequested(ctx, c, client, after.Generation())
	})
}

func statusCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name: "status", Usage: "show the status of every router and the generation in force on it",
		Flags: []cli.Flag{platformFlag(), timeoutFlag()},
		Action: func(c *cli.Context) error {
			return withPlatform(c, func(ctx context.Context, client *platform.Client) error {
				reports, err := operator.FetchStatuses(ctx, client)
				if err != nil {
					return err
				}
				printReports(reports)
				return nil
			})
		},
	})
}

func dumpCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name: "dump", Usage: "print a router's internal state as JSON", ArgsUsage: "ADDRESS",
		Description: "ADDRESS is the router's status address, as given in the platform's list of VMs.",
		Action: func(c *cli.Context) error {
			if c.NArg() != 1 {
				return usageErrorf("dump requires exactly one ADDRESS")
			}
			var state json.RawMessage
			if err := operator.GetJSON(c.Args().First(), "/dump", &state); err != nil {
				return err
			}
			pretty, err := json.MarshalIndent(state, "", "  ")
			if err != nil {
				return fmt.Errorf("dump: %w", err)
			}
			fmt.Println(string(pretty))
			return nil
		},
	})
}
