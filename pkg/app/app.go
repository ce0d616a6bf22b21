// Package app runs a daemon. It reads flags, environment variables and settings,
// and runs the program's plugins until a signal stops the process.
package app

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/exposition"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/pkg/monitor"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
)

// The exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// gcPercent is the heap growth between two garbage collections, in percent.
const gcPercent = 40

// Daemon is a long-running program.
type Daemon struct {
	Name string
	// Settings points to the default settings, which the settings file
	// overrides.
	Settings any
	// Process returns the part of Settings that all daemons share.
	Process func() settings.Process
	// Provide lists the constructors of the settings that are specific to the
	// program.
	Provide []any
}

// Main runs the daemon and returns its exit code.
func (d Daemon) Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet(d.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "settings file: JSON with comments (required)")
	check := flags.Bool("check", false, "check the settings file and exit")
	version := flags.Bool("version", false, "print the version and exit")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("HYSSOPROAD")); err != nil {
		return ExitUsage
	}
	if *version {
		fmt.Fprintln(stderr, monitor.Version())
		return ExitOK
	}
	if *file == "" {
		fmt.Fprintf(stderr, "%s: -settings is required\n", d.Name)
		return ExitUsage
	}
	if err := settings.Load(*file, d.Settings); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	if *check {
		return ExitOK
	}
	return d.run(stderr)
}

func (d Daemon) run(stderr io.Writer) int {
	// Memory is scarcer on the VMs than CPU time.
	debug.SetGCPercent(gcPercent)
	p := d.Process()
	logger := common.NewLog(stderr, p.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go logHangups(hup, logger)
	provide := append([]any{
		func() settings.Process { return p },
		func() *objects.Client { return objects.NewClient(p.Platform) },
		func(m exposition.Metrics) common.Common { return common.Common{Log: logger, Metrics: m.Scope} },
	}, d.Provide...)
	_ = level.Info(logger).Log("msg", "starting", "program", d.Name, "vm", p.VM, "version", monitor.Version())
	if err := kernel.Run(ctx, provide...); err != nil {
		_ = level.Error(logger).Log("msg", "stopped", "err", errors.ErrorStack(err))
		return ExitFailed
	}
	_ = level.Info(logger).Log("msg", "stopped")
	return ExitOK
}

// logHangups logs each SIGHUP until the process ends. Without it a SIGHUP would kill the
// process with all its requests.
func logHangups(hup <-chan os.Signal, logger log.Logger) {
	for range hup {
		_ = level.Info(logger).Log("msg", "SIGHUP ignored; changes of the settings take effect at the next start")
	}
}
