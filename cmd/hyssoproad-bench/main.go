// Command hyssoproad-bench runs the stand-ins for engines and the platform, the
// load generator and the scheduling policy experiments.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
