// Package node runs a program on the users' platform. It reads the settings file
// that the platform writes, and runs the program's plugins until a signal stops
// the process.
package node

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
	"github.com/uber-go/tally/v4"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/exposition"
	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/kernel"
	"github.com/hyssoproad/hyssoproad/platform"
)

// The exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitSettings = 3
)

const (
	// gcPercent is the heap growth between two garbage collections, in percent.
	// CPU time is scarcer than the first tens of MB of memory.
	gcPercent = 200
	// memoryLimitShare is the share of the VM's memory that is set as the soft
	// memory limit, above which the garbage collector runs more often. The process
	// is killed if it uses more than the VM's memory.
	memoryLimitShare = 0.6
)

// Program is one program of the system.
type Program struct {
	Name string
	// Check returns an error if the settings do not fit the program.
	Check func(platform.Node) error
	// Flags adds the program's own flags. It may be nil.
	Flags func(*flag.FlagSet)
	// Provide lists further constructors for the dependency injection container.
	Provide []any
}

// Main runs the program and returns its exit code.
func (p Program) Main(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", os.Getenv(platform.SettingsPathEnv), "the platform's settings file")
	check := flags.Bool("check", false, "check the settings file and exit")
	logLevel := flags.String("log-level", "info", "debug, info, warn or error")
	if p.Flags != nil {
		p.Flags(flags)
	}
	if err := ff.Parse(flags, args); err != nil {
		return ExitUsage
	}
	if *file == "" {
		fmt.Fprintf(stderr, "%s: neither -settings nor %s is set\n", p.Name, platform.SettingsPathEnv)
		return ExitUsage
	}
	node, err := p.load(*file)
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return ExitSettings
	}
	if *check {
		return ExitOK
	}
	return p.run(node, *file, common.NewLog(stdout, *logLevel))
}

func (p Program) load(file string) (platform.Node, error) {
	node, err := platform.LoadNode(file)
	if err != nil {
		return node, errors.Trace(err)
	}
	return node, errors.Trace(p.Check(node))
}

func (p Program) run(node platform.Node, file string, logger log.Logger) int {
	c := common.Common{Log: logger, Metrics: tally.NoopScope}
	debug.SetGCPercent(gcPercent)
	if node.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(node.MemoryBytes)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go p.watchSettings(hup, file, c)
	c.Info("msg", "starting", "program", p.Name, "vm", node.VM, "domain", node.Domain)
	err := kernel.Run(ctx, append([]any{
		func() platform.Node { return node },
		func() platform.Settings { return platform.Settings{Path: file} },
		func() *platform.Store {
			return platform.NewStore(node.StoreAddress, follow.AnswerTime(node.Bounds.Settled))
		},
		exposition.New,
		func(m exposition.Metrics) common.Common { return common.Common{Log: logger, Metrics: m.Scope} },
	}, p.Provide...)...)
	if err != nil {
		_ = level.Error(c.Log).Log("msg", "stopped", "err", errors.ErrorStack(err))
		return ExitFailed
	}
	c.Info("msg", "stopped")
	return ExitOK
}

// watchSettings checks the settings file at each SIGHUP until the process ends.
// Without it a SIGHUP would kill the process while it stops. A changed file takes
// effect at the next start, because addresses cannot change while the process
// runs; only the grace of a stop is read when the stop begins.
func (p Program) watchSettings(hup <-chan os.Signal, file string, c common.Common) {
	for range hup {
		if _, err := p.load(file); err != nil {
			c.Warn("msg", "invalid settings file; the current settings stay in use", "err", err)
			continue
		}
		c.Info("msg", "settings file checked; changes take effect at the next start")
	}
}
