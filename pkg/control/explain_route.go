package control

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// explainRoute returns the command that tells where the entry would send a request.
func (t *tool) explainRoute() *ffcli.Command {
	fs := t.newFlagSet("route")
	asJSON := fs.Bool("json", false, "print all that the entry knows as JSON")
	return &ffcli.Command{
		Name: "route", ShortUsage: "explain route <adapter>[@<version>] [-json]", ShortHelp: "tell where the entry would send a request for an adapter now, and why", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errors.WithType(errors.NewNotValid(nil, "adapter is missing"), errBadQuestion)
			}
			if err := fs.Parse(args[1:]); err != nil { // flags after the name
				return errors.WithType(err, errBadQuestion)
			}
			if fs.NArg() > 0 {
				return errors.WithType(errors.NotValidf("argument %q", fs.Arg(0)), errBadQuestion)
			}
			return t.routeAnswer(args[0], *asJSON)
		},
	}
}

func (t *tool) routeAnswer(adapter string, asJSON bool) error {
	reply, err := t.client.Query("explain route " + adapter)
	if err != nil {
		return errors.Trace(err)
	}
	switch {
	case reply.Explanation == nil, t.format == "json" && !asJSON: // nil: an entry of an earlier release
		return t.print(reply)
	case asJSON:
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(reply.Explanation))
	}
	return errors.Trace(reply.Explanation.WriteText(t.out))
}
