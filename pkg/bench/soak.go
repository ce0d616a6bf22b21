package bench

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/soak"
)

// soak is the part of scripts/soak.sh that is not a process of the system.
func (t *tool) soak() *ffcli.Command {
	fs := t.flags("soak")
	var s soak.Settings
	fs.StringVar(&s.Dir, "dir", "build/soak", "folder for settings files and process ids")
	fs.Uint64Var(&s.Seed, "seed", 1, "seed of the faults and the load")
	fs.DurationVar(&s.Length, "time", time.Minute, "time with faults")
	fs.BoolVar(&s.Planned, "planned", false, "planned work only, during which nothing may be cut")
	fs.IntVar(&s.Gateways, "gateways", 3, "entries")
	fs.IntVar(&s.Engines, "engines", 4, "engines, each with a process beside it")
	fs.IntVar(&s.Plains, "plains", 3, "targets of the plain service")
	fs.IntVar(&s.Clients, "clients", 24, "callers")
	fs.IntVar(&s.Network, "network", 77, "second number of the loopback addresses")
	return &ffcli.Command{
		Name: "soak", ShortHelp: "strike faults at real processes on stand-ins and check the promises", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			result, err := soak.Run(ctx, s, common.NewLog(t.err, "info"))
			if err != nil {
				return errors.Trace(err)
			}
			if err := result.Write(t.out); err != nil {
				return errors.Trace(err)
			}
			if n := len(result.Violations); n > 0 {
				return errors.Errorf("seed %d: %d violations", s.Seed, n)
			}
			return nil
		},
	}
}
