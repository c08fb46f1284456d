// Package fixedseed runs property tests with a fixed seed, so that every run checks
// the same cases.
package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs the tests of a package and returns the exit code. It
// changes those flags of package rapid that have their default value: to a fixed seed,
// the given number of checks for each property, no fail files, and a short time limit
// for shrinking.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true", "rapid.shrinktime": "2s",
	} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	return m.Run()
}
