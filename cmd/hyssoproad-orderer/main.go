// Command hyssoproad-orderer runs beside an engine on a VM of the users'
// platform. It orders the engine to load adapters, and grants gateways the right
// to send requests to the engine.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/node"
	"github.com/hyssoproad/hyssoproad/pkg/orderer"
)

func main() {
	os.Exit(node.Program{Name: "hyssoproad-orderer", Check: orderer.Check}.Main(os.Args[1:], os.Stdout, os.Stderr))
}
