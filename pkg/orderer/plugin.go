package orderer

import (
	"context"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/platform"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name:    "orderer",
		Provide: []any{New},
		Start: func(o *Orderer, life *kernel.Lifecycle) {
			ctx, cancel := context.WithCancel(context.Background())
			life.Append(kernel.Hook{
				Name: "engine", Start: func(context.Context) error { go o.Run(ctx); return nil },
				Stop: func(context.Context) error { cancel(); return nil },
			})
			life.Append(kernel.Hook{Name: "entries", Start: o.Start, Stop: o.Stop})
		},
	})
}

// Check returns a NotValid error if no engine address is configured.
func Check(n platform.Node) error {
	if n.EngineAddress == "" {
		return errors.NotValidf("app: empty address")
	}
	return nil
}
