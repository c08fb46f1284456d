// Command marjoramrock routes language-model requests with long shared prompts
// to self-hosted engines on VMs.
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

// usageError reports invalid command-line flags, arguments or settings.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

func usageErrorf(format string, args ...any) error {
	return &usageError{err: fmt.Errorf(format, args...)}
}

func main() {
	err := newApp().Run(os.Args)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "marjoramrock:", err)
	var usageErr *usageError
	if errors.As(err, &usageErr) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailed)
}

func newApp() *cli.App {
	return &cli.App{
		Name:  "marjoramrock",
		Usage: "route language-model requests with long shared prompts",
		Description: "Every entry VM runs `router`, or `gateway` on the users' platform. Operators use\n" +
			"check, diff, apply, keys, status, dump and explain. Use demo, load and standin for\n" +
			"testing.\n" +
			"Exit codes: 0 success, 1 failure, 2 usage error.",
		HideHelpCommand: true,
		Commands: []*cli.Command{
			routerCommand(), gatewayCommand(), certsCommand(), checkCommand(), diffCommand(), applyCommand(),
			keysCommand(), statusCommand(), dumpCommand(), explainCommand(), loadCommand(), demoCommand(), standinCommand(),
		},
		OnUsageError: onUsageError,
		ExitErrHandler: func(*cli.Context, error) {
		},
		Action: func(c *cli.Context) error {
			if c.Args().Present() {
				return usageErrorf("unknown command %q; see marjoramrock --help", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
	}
}

func onUsageError(_ *cli.Context, err error, _ bool) error { return &usageError{err: err} }

// withUsageErrors makes a command and its subcommands report usage errors as
// usageError.
func withUsageErrors(c *cli.Command) *cli.Command {
	c.OnUsageError = onUsageError
	for _, sub := range c.Subcommands {
		withUsageErrors(sub)
	}
	return c
}

// fileArg returns the command's only argument, a file name.
func fileArg(c *cli.Context) (string, error) {
	if c.NArg() != 1 {
		return "", usageErrorf("%s requires exactly one FILE", c.Command.FullName())
	}
	return c.Args().First(), nil
}
