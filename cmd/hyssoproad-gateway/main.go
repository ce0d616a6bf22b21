// Command hyssoproad-gateway serves callers on an entry VM of the users' platform.
package main

import (
	"os"

	"github.com/hyssoproad/hyssoproad/pkg/gateway"
	"github.com/hyssoproad/hyssoproad/pkg/node"
)

func main() {
	options := gateway.NewOptions()
	program := node.Program{
		Name: "hyssoproad-gateway", Check: gateway.Check, Flags: options.Register,
		Provide: []any{func() *gateway.Options { return options }},
	}
	os.Exit(program.Main(os.Args[1:], os.Stdout, os.Stderr))
}
