// Command hyssoproadctl is the operators' tool: queries, commands,
// declarations and reports.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/control"
)

func main() {
	os.Exit(control.Main(os.Args[1:], os.Stdout, os.Stderr))
}
