// Command hyssoproad-orderer gives orders to the engine on its VM of the users'
// platform, and grants entries the right to send requests there.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/node"
	"github.com/hyssoproad/hyssoproad/pkg/orderer"
)

func main() {
	os.Exit(node.Program{Name: "hyssoproad-orderer", Check: orderer.Check}.Main(os.Args[1:], os.Stdout, os.Stderr))
}
