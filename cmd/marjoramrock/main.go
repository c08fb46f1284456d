// Command marjoramrock routes language-model traffic with long shared prompts
// to engines on VMs of one's own.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v2"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// usageError is a call whose words are off.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

func main() {
	err := newApp().Run(os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "marjoramrock:", err)
	var wrong *usageError
	if errors.As(err, &wrong) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func newApp() *cli.App {
	return &cli.App{
		Name:  "marjoramrock",
		Usage: "route language-model traffic with long shared prompts",
		Description: "One binary: `router`, or `gateway` on the users' platform, runs on every entry VM;\n" +
			"check, diff, apply, keys, status, dump and explain are for operators; demo, load and\n" +
			"standin are for trials.\n" +
			"Exit codes: 0 fine, 1 failed, 2 wrong usage.",
		HideHelpCommand: true,
		Commands: []*cli.Command{
			routerCommand(), gatewayCommand(), certsCommand(), checkCommand(), diffCommand(), applyCommand(),
			keysCommand(), statusCommand(), dumpCommand(), explainCommand(), loadCommand(), demoCommand(), standinCommand(),
		},
		OnUsageError: wrongUsage,
		ExitErrHandler: func(*cli.Context, error) {
		},
		Action: func(c *cli.Context) error {
			if c.Args().Present() {
				return usage("no command %q; see marjoramrock --help", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
	}
}

func wrongUsage(_ *cli.Context, err error, _ bool) error { return &usageError{err: err} }

// command fills in what all commands share.
func command(c *cli.Command) *cli.Command {
	c.OnUsageError = wrongUsage
	for _, sub := range c.Subcommands {
		command(sub)
	}
	return c
}

// oneFile returns the single file that a command is about.
func oneFile(c *cli.Context) (string, error) {
	if c.NArg() != 1 {
		return "", usage("%s takes one FILE", c.Command.FullName())
	}
	return c.Args().First(), nil
}
