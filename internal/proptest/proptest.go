// Package proptest fixes the seed of property tests, so that every run gives
// the same verdict.
package proptest

import (
	"flag"
	"testing"
)

// seed is overridden by -rapid.seed on the command line.
const seed = "20261204"

// Main runs the tests of a package; call it from TestMain and exit with its
// result.
func Main(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f == nil || f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
