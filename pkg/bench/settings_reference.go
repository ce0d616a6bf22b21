package bench

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/settings"
)

func (t *tool) settingsReference() *ffcli.Command {
	fs := t.flags("settings-reference")
	source := fs.String("source", "pkg/settings", "directory of the settings' source")
	return &ffcli.Command{
		Name: "settings-reference", ShortHelp: "print the reference of all settings", FlagSet: fs,
		Exec: func(context.Context, []string) error { return settings.WriteReference(t.out, *source) },
	}
}
