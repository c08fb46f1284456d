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

var errNotInForce = errors.New("the generation is not in force everywhere yet; see marjoramrock status")

func platformFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "platform", Required: true, EnvVars: []string{"MARJORAMROCK_PLATFORM"},
		Usage: "`FILE` that says where the platform's services are",
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: 15 * time.Second, Usage: "`TIME` for the whole command"}
}

// services returns the platform's services of the --platform file.
func services(c *cli.Context) (*platform.Client, error) {
	file := c.String("platform")
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	var s platform.Settings
	if err := config.ReadSettings(file, raw, &s); err != nil {
		return nil, err
	}
	return platform.NewClient(s, nil), nil
}

// onPlatform runs part of a command with the platform's services, within the
// command's time.
func onPlatform(c *cli.Context, f func(context.Context, *platform.Client) error) error {
	client, err := services(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Context, c.Duration("timeout"))
	defer cancel()
	return f(ctx, client)
}

// readDocument reads and checks a configuration file.
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
	return command(&cli.Command{
		Name: "check", Usage: "report every problem of a configuration file", ArgsUsage: "FILE",
		Action: func(c *cli.Context) error {
			if _, err := documentOf(c); err != nil {
				return err
			}
			fmt.Println(c.Args().First() + ": fine")
			return nil
		},
	})
}

func diffCommand() *cli.Command {
	return command(&cli.Command{
		Name: "diff", Usage: "show what apply would change", ArgsUsage: "FILE",
		Flags: []cli.Flag{platformFlag(), timeoutFlag()},
		Action: func(c *cli.Context) error {
			doc, err := documentOf(c)
			if err != nil {
				return err
			}
			return onPlatform(c, func(ctx context.Context, client *platform.Client) error { return diff(ctx, client, doc) })
		},
	})
}

// documentOf reads and checks the file that a command is about.
func documentOf(c *cli.Context) (config.Document, error) {
	file, err := oneFile(c)
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
	return command(&cli.Command{
		Name: "apply", Usage: "commit a configuration file as the next generation", ArgsUsage: "FILE",
		Description: "Commits by compare and set: if another operator was first nothing is changed and\n" +
			"what the other changed is shown. Issued keys stay as they are unless the file has keys.",
		Flags: []cli.Flag{
			platformFlag(), timeoutFlag(),
			&cli.Uint64Flag{Name: "on", Usage: "refuse unless generation `N` is the newest"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until it is in force on every router, and list them"},
		},
		Action: apply,
	})
}

func apply(c *cli.Context) error {
	doc, err := documentOf(c)
	if err != nil {
		return err
	}
	return onPlatform(c, func(ctx context.Context, client *platform.Client) error {
		after, err := operator.Commit(ctx, client, operator.ReplaceConfig(doc, c.Uint64("on")))
		if err != nil {
			return err
		}
		fmt.Printf("generation %d\n", after.Generation())
		return awaitIfAsked(ctx, c, client, after.Generation())
	})
}

// awaitIfAsked waits for a generation where the command has --wait.
func awaitIfAsked(ctx context.Context, c *cli.Context, client platform.VMLister, generation uint64) error {
	if !c.Bool("wait") {
		return nil
	}
	return await(ctx, client, generation)
}

// await lists the routers once a generation is in force on all of them.
func await(ctx context.Context, client platform.VMLister, generation uint64) error {
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
			fmt.Printf("%-16s %-16s not reached: %v\n", r.VM.Name, r.VM.Zone, r.Err)
			continue
		}
		s := r.Status
		fmt.Printf("%-16s %-16s %10d %6t %7dms %8d %6d\n", s.VM, s.Zone, s.Generation, s.Ready, s.ProofAgeMillis, s.InFlight, s.HeldSlots)
	}
}

func keysCommand() *cli.Command {
	wait := &cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every router"}
	return command(&cli.Command{
		Name: "keys", Usage: "issue and withdraw callers' keys",
		Subcommands: []*cli.Command{
			{
				Name: "issue", Usage: "issue a key and print its secret, this once", ArgsUsage: "TEAM",
				Flags: []cli.Flag{
					platformFlag(), timeoutFlag(), wait,
					&cli.StringFlag{Name: "name", Usage: "the key's `NAME`; made up if empty"},
				},
				Action: issueKey,
			},
			{
				Name: "withdraw", Usage: "end a key, also for connected callers", ArgsUsage: "NAME",
				Flags:  []cli.Flag{platformFlag(), timeoutFlag(), wait},
				Action: withdrawKey,
			},
		},
		Action: func(*cli.Context) error { return usage("keys takes issue or withdraw") },
	})
}

func issueKey(c *cli.Context) error {
	if c.NArg() != 1 {
		return usage("keys issue takes one TEAM")
	}
	team, name := c.Args().First(), c.String("name")
	if name == "" {
		name = team + "-" + platform.NewToken()[:8]
	}
	return onPlatform(c, func(ctx context.Context, client *platform.Client) error {
		secret, after, err := operator.IssueKey(ctx, client, name, team)
		if err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "key %s, generation %d; the secret is shown this once:\n", name, after.Generation())
		fmt.Println(secret)
		return awaitIfAsked(ctx, c, client, after.Generation())
	})
}

func withdrawKey(c *cli.Context) error {
	if c.NArg() != 1 {
		return usage("keys withdraw takes one NAME")
	}
	return onPlatform(c, func(ctx context.Context, client *platform.Client) error {
		after, err := operator.RevokeKey(ctx, client, c.Args().First())
		if err != nil {
			return err
		}
		fmt.Printf("generation %d\n", after.Generation())
		return awaitIfAsked(ctx, c, client, after.Generation())
	})
}

func statusCommand() *cli.Command {
	return command(&cli.Command{
		Name: "status", Usage: "show every router and the generation in force on it",
		Flags: []cli.Flag{platformFlag(), timeoutFlag()},
		Action: func(c *cli.Context) error {
			return onPlatform(c, func(ctx context.Context, client *platform.Client) error {
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
	return command(&cli.Command{
		Name: "dump", Usage: "print the state of a router's tables", ArgsUsage: "ADDRESS",
		Description: "ADDRESS is the router's status address, as status and the platform's list show it.",
		Action: func(c *cli.Context) error {
			if c.NArg() != 1 {
				return usage("dump takes one ADDRESS")
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
