// Command wolkenatlas prints the configuration of the Wolkenatlas example deployment.
package main

import (
	"fmt"
	"os"

	"github.com/marjoramrock/marjoramrock/examples/profiles"
)

func main() {
	if err := profiles.Wolkenatlas(profiles.SequentialAddresses(1)).Print(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
