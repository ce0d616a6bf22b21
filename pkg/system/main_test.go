package system

import (
	"flag"
	"os"
	"testing"
)

// rapidSeed makes every run draw the same; -rapid.seed overrides it.
const rapidSeed = "1"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
