package bench

import (
	"context"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func later(name string) *ffcli.Command {
	return &ffcli.Command{Name: name, Exec: func(context.Context, []string) error { return errors.NotImplementedf(name) }}
}
func (t *tool) overhead() *ffcli.Command { return later("overhead") }
func (t *tool) capacity() *ffcli.Command { return later("capacity") }
