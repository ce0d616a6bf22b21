// Command hyssoproad-bench runs the stand-ins, the load generator and the
// policy experiments.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/bench"
)

func main() {
	os.Exit(bench.Main(os.Args[1:], os.Stdout, os.Stderr))
}
