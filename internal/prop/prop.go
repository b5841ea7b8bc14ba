// Package prop runs the property-based tests of a package with a fixed seed, so
// that they give the same result every time.
package prop

import (
	"flag"
	"os"
	"testing"

	// Defines the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Checks is the number of random inputs that each property is checked with, unless
// the flag -rapid.checks is set. Six such tests make 12,000 checks in one run.
const Checks = "2000"

// seed is the seed of the random inputs, unless the flag -rapid.seed is set.
const seed = "1"

// Main sets the flags and runs the tests. It is to be called from TestMain and
// does not return.
func Main(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "0", seed)
	setDefault("rapid.checks", "100", Checks)
	os.Exit(m.Run())
}

// setDefault sets a flag that still has builtin, the default of the rapid package.
func setDefault(name, builtin, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == builtin {
		_ = f.Value.Set(value)
	}
}
