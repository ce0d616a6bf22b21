// Package testseed fixes the random seed of property tests, so that every run of a
// package draws the same values.
package testseed

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed is the seed of the rapid checks. The flag -rapid.seed overrides it.
const rapidSeed = "1"

// Main is the body of a package's TestMain. It sets the seed, runs the tests and
// exits. It panics if the package does not use rapid.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
