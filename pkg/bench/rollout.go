package bench

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/control"
)

const (
	rolloutPoll  = 5 * time.Millisecond
	rolloutLimit = 30 * time.Second
)

// rollout returns the subcommand that measures the time from a command until every
// process has applied the change, as the entries report it.
func (t *tool) rollout() *ffcli.Command {
	fs := t.flags("rollout")
	dir := fs.String("dir", "build/rollout", "the deployment's directory")
	changes := fs.Int("changes", 30, "number of changes to make")
	kill := fs.Bool("kill", false, "kill the first relay of the accepting entry after half of the changes")
	return &ffcli.Command{
		Name: "rollout", ShortHelp: "measure the time until changes are in force everywhere", FlagSet: fs,
		Exec: func(context.Context, []string) error { return t.measureRollout(*dir, *changes, *kill) },
	}
}

func (t *tool) measureRollout(dir string, changes int, kill bool) error {
	d, err := readDeployment(dir)
	if err != nil {
		return errors.Trace(err)
	}
	client := control.NewClient("http://"+d.entries[0].Operators.Listen, OperatorToken)
	times := hdrhistogram.New(0, histogramMaxUS, 3)
	for i := range changes {
		if kill && i == changes/2 {
			if err := killProcess(dir, "entry-02"); err != nil {
				return errors.Trace(err)
			}
		}
		took, processes, err := timeChange(client, i)
		if err != nil {
			return errors.Annotatef(err, "change %d", i)
		}
		_ = times.RecordValue(took.Microseconds())
		if i == 0 || i == changes-1 {
			fmt.Fprintf(t.out, "change %d: in force on %d processes after %s\n", i, processes, took.Round(time.Millisecond))
		}
	}
	fmt.Fprintf(t.out, "killed: %t; %d changes: p50 %d ms, max %d ms from the command to in force everywhere\n", kill, changes,
		times.ValueAtQuantile(50)/1000, times.Max()/1000)
	return nil
}

// timeChange makes one change and waits until all live processes confirm it. It
// also waits for a killed process until that is no longer live.
func timeChange(client *control.Client, i int) (time.Duration, int, error) {
	start := time.Now()
	text := fmt.Sprintf("set service drafting, deadline-ms %d", 20000+i)
	reply, err := client.Command(control.NewCommand(), 0, text)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	for time.Since(start) < rolloutLimit {
		answer, err := client.Query("show rollout")
		if err != nil {
			return 0, 0, errors.Trace(err)
		}
		behind := 0
		for _, row := range answer.Table.Rows {
			var revision uint64
			if _, err := fmt.Sscan(row[2], &revision); err != nil || revision < uint64(reply.Revision) {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start), len(answer.Table.Rows), nil
		}
		time.Sleep(rolloutPoll)
	}
	return 0, 0, errors.Timeoutf("configuration rollout")
}

// killProcess kills one process of a deployment that scripts/start.sh started.
func killProcess(dir, name string) error {
	file, err := os.Open(filepath.Join(dir, "pids"))
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var pid int
		var found string
		if _, err := fmt.Sscan(scanner.Text(), &pid, &found); err != nil || !strings.HasPrefix(found, name) {
			continue
		}
		return errors.Trace(syscall.Kill(pid, syscall.SIGKILL))
	}
	return errors.NotFoundf("process %q", name)
}
