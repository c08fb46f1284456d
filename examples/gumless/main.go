// Command gumless prints the configuration of the Gumless example deployment.
package main

import (
	"fmt"
	"os"

	"github.com/marjoramrock/marjoramrock/examples/profiles"
)

func main() {
	if err := profiles.Gumless(profiles.SequentialAddresses(2)).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
