// Package seeder gives property tests the same cases on every run.
//
//	func TestMain(m *testing.M) { seeder.Main(m) }
//
// The flag -rapid.seed takes precedence over the fixed seed.
package seeder

import (
	"flag"
	"os"
)

// defaultSeed is the seed of every property test.
const defaultSeed = "20261203"

// Runner is a *testing.M.
type Runner interface{ Run() int }

// Main runs the tests of a package with the default seed and exits.
func Main(m Runner) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	os.Exit(m.Run())
}
