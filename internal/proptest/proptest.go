// Package proptest sets a fixed seed for property tests, so that every run gives the same
// result.
package proptest

import (
	"flag"
	"testing"
)

// seed is the default of -rapid.seed.
const seed = "20261204"

// Main runs the tests of a package with the fixed seed, unless the command line sets
// another one. TestMain must exit with its result.
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
