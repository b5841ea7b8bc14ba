// Package draw runs a package's drawn tests with a fixed seed, so that they
// give the same verdict every time.
package draw

import (
	"flag"
	"os"
	"testing"

	// Defines the flags that Main sets.
	_ "pgregory.net/rapid"
)

// Checks is the number of draws of each drawn test, unless -rapid.checks says
// otherwise. Six tests with as many draws make 12,000 in one run.
const Checks = "2000"

// seed is the seed of the draws, unless -rapid.seed says otherwise.
const seed = "1"

// Main is for a package's TestMain.
func Main(m *testing.M) {
	flag.Parse()
	fix("rapid.seed", "0", seed)
	fix("rapid.checks", "100", Checks)
	os.Exit(m.Run())
}

// fix sets a flag that still has the library's default.
func fix(name, before, value string) {
	if f := flag.Lookup(name); f != nil && f.Value.String() == before {
		_ = f.Value.Set(value)
	}
}
