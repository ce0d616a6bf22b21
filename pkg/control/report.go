package control

import (
	"context"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

func (t *tool) report() *ffcli.Command {
	return &ffcli.Command{
		Name: "report", ShortUsage: "report burn", ShortHelp: "report on service levels",
		Exec: func(context.Context, []string) error {
			return errors.NotImplementedf("report")
		},
	}
}
