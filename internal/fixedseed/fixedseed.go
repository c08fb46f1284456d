// Package fixedseed makes property tests check the same cases on every run.
package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

// Run runs a package's tests with a fixed seed and a number of checks for each
// property, unless flags say otherwise. It returns the exit code.
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
