package control

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/caller"
	"github.com/hyssoproad/hyssoproad/pkg/objective"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func (t *tool) report() *ffcli.Command {
	fs := t.newFlagSet("report")
	entries := fs.String("entries", "", "base URLs of all entries' operators' listeners, separated by commas; the default is -entry alone")
	html := fs.String("html", "", "also write the report as a page to this file")
	return &ffcli.Command{
		Name: "report", ShortUsage: "report [-entries <urls>] [-html <file>] burn", ShortHelp: "report how fast error budgets burn", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 || args[0] != "burn" {
				return errors.NotValidf("report %q (known reports: burn)", strings.Join(args, " "))
			}
			r, err := t.burnReport(*entries)
			if err != nil {
				return errors.Trace(err)
			}
			if *html != "" {
				if err := writeHTMLFile(*html, r); err != nil {
					return errors.Trace(err)
				}
			}
			if t.format == "json" {
				return errors.Trace(json.NewEncoder(t.out).Encode(r))
			}
			return r.WriteText(t.out)
		},
	}
}

func (t *tool) burnReport(entries string) (objective.Report, error) {
	clients := []*Client{t.client}
	if entries != "" {
		clients = nil
		for _, base := range strings.Split(entries, ",") {
			clients = append(clients, NewClient(base, t.client.token))
		}
	}
	var stats []caller.RequestStatsExport
	for _, c := range clients {
		reply, err := c.RequestStats()
		if err != nil {
			return objective.Report{}, errors.Annotatef(err, "request statistics of %s", c.base)
		}
		stats = append(stats, *reply.RequestStats)
	}
	reply, err := t.client.Export()
	if err != nil {
		return objective.Report{}, errors.Trace(err)
	}
	return objective.Compute(servicesOf(reply.Changes), stats, time.Now()), nil
}

func servicesOf(changes []wire.Change) []wire.Service {
	var out []wire.Service
	for _, x := range changes {
		if x.Service != nil {
			out = append(out, *x.Service)
		}
	}
	return out
}

func writeHTMLFile(name string, r objective.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Trace(err)
	}
	if err := r.WriteHTML(file); err != nil {
		_ = file.Close()
		return errors.Trace(err)
	}
	return errors.Trace(file.Close())
}
