package main

import (
	"fmt"
	"io"
	"os"

	"github.com/marjoramrock/marjoramrock/internal/explain"
	"github.com/urfave/cli/v2"
)

func explainCommand() *cli.Command {
	return withUsageErrors(&cli.Command{
		Name:      "explain",
		Usage:     "print the path of one request through the fleet from the routers' logs",
		ArgsUsage: "REQUEST [FILE ...]",
		Description: "Reads log lines from the files, or from standard input if none is given. Prints the\n" +
			"log entries of the request with id REQUEST, marked by >, and the entries around it of\n" +
			"the servers and VMs that handled it. Exits with 1 if no log line names the request.",
		Action: explainRequest,
	})
}

func explainRequest(c *cli.Context) error {
	if c.NArg() < 1 {
		return usageErrorf("explain requires the id of a REQUEST")
	}
	var lines []explain.LogLine
	add := func(r io.Reader) error {
		more, err := explain.ReadLog(r)
		lines = append(lines, more...)
		return err
	}
	if c.NArg() == 1 {
		if err := add(os.Stdin); err != nil {
			return err
		}
	}
	for _, name := range c.Args().Slice()[1:] {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("explain: %w", err)
		}
		err = add(f)
		_ = f.Close()
		if err != nil {
			return fmt.Errorf("explain: %s: %w", name, err)
		}
	}
	found, err := explain.WriteTimeline(os.Stdout, lines, c.Args().First())
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("explain: no log line names request %s", c.Args().First())
	}
	return nil
}
