// Package bench implements the development tool hyssoproad-bench. It serves stand-ins
// for the systems that hyssoproad works with, writes deployments on loopback,
// generates load and checks every response, and runs the policy experiments.
package bench

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// tool holds the output streams of one invocation.
type tool struct {
	out, err io.Writer
}

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{out: stdout, err: stderr}
	root := &ffcli.Command{
		Name: "hyssoproad-bench", ShortUsage: "hyssoproad-bench <subcommand>", FlagSet: t.flags("hyssoproad-bench"),
		Subcommands: []*ffcli.Command{t.deployment(), t.standIns(), t.load(), t.sample(), t.experiment(), t.overhead(), t.rollout(), t.capacity(), t.soak(), t.settingsReference()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return 2
	}
	fmt.Fprintln(stderr, err)
	return 1
}

func (t *tool) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.err)
	return fs
}
