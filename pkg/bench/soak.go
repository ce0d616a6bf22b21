package bench

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/soak"
)

// soak returns the subcommand that scripts/soak.sh runs beside the processes of the
// system: stand-ins, load, fault injection and checks.
func (t *tool) soak() *ffcli.Command {
	fs := t.flags("soak")
	var s soak.Settings
	fs.StringVar(&s.Dir, "dir", "build/soak", "directory for settings files and process ids")
	fs.Uint64Var(&s.Seed, "seed", 1, "random seed of the faults and the load")
	fs.DurationVar(&s.FaultTime, "time", time.Minute, "duration of fault injection")
	fs.StringVar((*string)(&s.Only), "only", "", "the one kind of fault to inject; all kinds if empty")
	fs.BoolVar(&s.Planned, "planned", false, "planned work only, during which no response may be cut off")
	fs.IntVar(&s.Gateways, "gateways", 3, "entries")
	fs.IntVar(&s.Engines, "engines", 4, "engines, each with a process beside it")
	fs.IntVar(&s.PlainTargets, "plains", 3, "targets of the plain service")
	fs.IntVar(&s.Clients, "clients", 24, "callers")
	fs.IntVar(&s.SlowClients, "slow-clients", 24, "further callers that read slowly; none with -planned")
	fs.IntVar(&s.SecondOctet, "network", 77, "second number of the loopback addresses")
	return &ffcli.Command{
		Name: "soak", ShortHelp: "inject faults into real processes with stand-ins and check the guarantees", FlagSet: fs,
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
