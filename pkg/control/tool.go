package control

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/declaration"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/operator"
)

// The exit codes of the tool.
const (
	ExitOK        = 0
	ExitFailed    = 1
	ExitUsage     = 2
	ExitConflict  = 4 // a concurrent command was accepted first
	ExitUnsettled = 5 // unknown whether the command was accepted
	ExitPending   = 6 // plan found changes to apply
)

// tool holds the flags and output streams of one invocation.
type tool struct {
	entry     string
	tokenFile string
	format    string
	watch     time.Duration
	command   string
	base      uint64
	dir       string
	prune     bool
	out       io.Writer
	errOut    io.Writer
	client    *Client
}

// Main runs the tool and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	t := &tool{out: stdout, errOut: stderr}
	root := t.root()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if err := t.newClient(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	err := root.Run(context.Background())
	if err != nil {
		fmt.Fprintln(stderr, err)
	}
	return exitCode(err)
}

var errPlanNotEmpty = errors.New("the plan is not empty")

// errBadQuestion is the kind of the error of a question to gateways with a mistake.
const errBadQuestion = errors.ConstError("bad question")

func exitCode(err error) int {
	var refused *RefusedError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitUsage
	case errors.Is(err, errPlanNotEmpty):
		return ExitPending
	case errors.As(err, &refused) && refused.Reply.Reason == "conflict":
		return ExitConflict
	case errors.As(err, &refused) && refused.Reply.Reason == unsettled:
		return ExitUnsettled
	case errors.As(err, &refused) && refused.Reply.Reason == "not-valid":
		return ExitUsage
	case errors.Is(err, errBadQuestion):
		return ExitUsage
	}
	return ExitFailed
}

func (t *tool) newClient() error {
	if t.tokenFile == "" {
		t.client = NewClient(t.entry, "")
		return nil
	}
	token, err := os.ReadFile(t.tokenFile)
	if err != nil {
		return errors.Annotate(err, "reading the token")
	}
	t.client = NewClient(t.entry, strings.TrimSpace(string(token)))
	return nil
}

func (t *tool) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.errOut)
	return fs
}

func (t *tool) root() *ffcli.Command {
	fs := t.newFlagSet("hyssoproadctl")
	fs.StringVar(&t.entry, "entry", "http://127.0.0.1:7200", "base URL of an entry's operators' listener")
	fs.StringVar(&t.tokenFile, "token-file", "", "file that holds the operator's token")
	fs.StringVar(&t.format, "format", "table", "table or json")
	return &ffcli.Command{
		Name: "hyssoproadctl", ShortUsage: "hyssoproadctl [flags] <subcommand>", FlagSet: fs,
		Options:     []ff.Option{ff.WithEnvVarPrefix("HYSSOPROAD")},
		Subcommands: []*ffcli.Command{t.show(), t.explain(), t.do(), t.validate(), t.plan(), t.apply(), t.export(), t.hashToken(), t.report(), t.accounts(), t.bans()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func (t *tool) show() *ffcli.Command {
	fs := t.newFlagSet("show")
	fs.DurationVar(&t.watch, "watch", 0, "repeat with this period")
	return &ffcli.Command{
		Name: "show", ShortUsage: "show [-watch 2s] <table> [where ...] [by <column>] [limit <n>]", ShortHelp: "run a query", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error { return t.query(ctx, "show", args) },
	}
}

func (t *tool) explain() *ffcli.Command {
	return &ffcli.Command{
		Name: "explain", ShortUsage: "explain route <adapter>[@<version>] [-json] | explain refusal <reason> | explain request <flags>", ShortHelp: "explain a routing decision or a refusal",
		Subcommands: []*ffcli.Command{t.explainRequest(), t.explainRoute()},
		Exec:        func(ctx context.Context, args []string) error { return t.query(ctx, "explain", args) },
	}
}

func (t *tool) query(ctx context.Context, verb string, args []string) error {
	text := verb + " " + strings.Join(args, " ")
	for {
		reply, err := t.client.Query(text)
		if err != nil {
			return errors.Trace(err)
		}
		if err := t.print(reply); err != nil || t.watch == 0 {
			return errors.Trace(err)
		}
		select {
		case <-time.After(t.watch):
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *tool) print(reply operator.Reply) error {
	if t.format == "json" {
		return errors.Trace(json.NewEncoder(t.out).Encode(reply))
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(reply.Table.Columns, "\t")))
	for _, row := range reply.Table.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Trace(w.Flush())
}

func (t *tool) do() *ffcli.Command {
	fs := t.newFlagSet("do")
	fs.StringVar(&t.command, "command-id", "", "id of the command; repeating a command under its id is harmless")
	fs.Uint64Var(&t.base, "base", 0, "revision that the command was decided on")
	return &ffcli.Command{
		Name: "do", ShortUsage: "do <command>", ShortHelp: "have a command accepted, such as: do drain target t-3", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			id := ident.Command(t.command)
			if id == "" {
				id = NewCommand()
			}
			reply, err := t.client.Command(id, ident.Revision(t.base), strings.Join(args, " "))
			if err != nil {
				return errors.Annotatef(err, "command %s", id)
			}
			fmt.Fprintf(t.out, "accepted at revision %d, command %s\n", reply.Revision, id)
			return nil
		},
	}
}

func (t *tool) directoryFlags(name string) *flag.FlagSet {
	fs := t.newFlagSet(name)
	fs.StringVar(&t.dir, "f", "", "directory of declarations")
	fs.BoolVar(&t.prune, "prune", false, "delete what is not declared")
	return fs
}

func (t *tool) validate() *ffcli.Command {
	return &ffcli.Command{
		Name: "validate", ShortUsage: "validate -f <dir>", ShortHelp: "check a directory of declarations", FlagSet: t.directoryFlags("validate"),
		Exec: func(context.Context, []string) error {
			changes, err := declaration.Read(t.dir)
			if err != nil {
				return errors.Trace(err)
			}
			fmt.Fprintf(t.out, "%d objects declared\n", len(changes))
			return nil
		},
	}
}

func (t *tool) planSteps() ([]declaration.Step, ident.Revision, error) {
	declared, err := declaration.Read(t.dir)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	reply, err := t.client.Export()
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	return declaration.Plan(declared, reply.Changes, t.prune), reply.Revision, nil
}

func (t *tool) plan() *ffcli.Command {
	return &ffcli.Command{
		Name: "plan", ShortUsage: "plan -f <dir>", ShortHelp: "show what apply would change", FlagSet: t.directoryFlags("plan"),
		Exec: func(context.Context, []string) error {
			steps, revision, err := t.planSteps()
			if err != nil {
				return errors.Trace(err)
			}
			for _, s := range steps {
				fmt.Fprintln(t.out, s.Text)
			}
			fmt.Fprintf(t.out, "%d changes to revision %d\n", len(steps), revision)
			if len(steps) > 0 {
				return errPlanNotEmpty
			}
			return nil
		},
	}
}

func (t *tool) apply() *ffcli.Command {
	return &ffcli.Command{
		Name: "apply", ShortUsage: "apply -f <dir>", ShortHelp: "bring the system to the declarations", FlagSet: t.directoryFlags("apply"),
		Exec: func(context.Context, []string) error {
			steps, revision, err := t.planSteps()
			if err != nil {
				return errors.Trace(err)
			}
			for _, batch := range declaration.Batches(steps) {
				reply, err := t.client.Apply(NewCommand(), revision, batch)
				if err != nil {
					return errors.Annotate(err, "apply is incomplete; run it again to continue")
				}
				revision = reply.Revision
			}
			fmt.Fprintf(t.out, "%d changes applied, revision %d\n", len(steps), revision)
			return nil
		},
	}
}

func (t *tool) export() *ffcli.Command {
	return &ffcli.Command{
		Name: "export", ShortUsage: "export -f <dir>", ShortHelp: "write the configuration in force as declarations", FlagSet: t.directoryFlags("export"),
		Exec: func(context.Context, []string) error {
			reply, err := t.client.Export()
			if err != nil {
				return errors.Trace(err)
			}
			if err := declaration.Write(t.dir, reply.Changes); err != nil {
				return errors.Trace(err)
			}
			fmt.Fprintf(t.out, "%d objects at revision %d\n", len(reply.Changes), reply.Revision)
			return nil
		},
	}
}
