// Command hyssoproad-gateway serves callers on an entry VM of the users' platform.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/gateway"
	"github.com/hyssoproad/hyssoproad/pkg/node"
)

func main() {
	os.Exit(node.Program{Name: "hyssoproad-gateway", Check: gateway.Check}.Main(os.Args[1:], os.Stdout, os.Stderr))
}
