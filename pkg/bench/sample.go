package bench

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/standin"
)

const samplePrompt = "Mount a 12 kg mirror on a plaster wall"

// sample returns the subcommand that sends a few requests of each kind and prints
// the results.
func (t *tool) sample() *ffcli.Command {
	fs := t.flags("sample")
	dir := fs.String("dir", "build/local", "the deployment's directory")
	return &ffcli.Command{
		Name: "sample", ShortHelp: "send a few requests and print the responses", FlagSet: fs,
		Exec: func(context.Context, []string) error {
			d, err := readDeployment(*dir)
			if err != nil {
				return errors.Trace(err)
			}
			return t.sendSample(newClient(d.callerURLs, CallerToken))
		},
	}
}

func (t *tool) sendSample(c *client) error {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tANSWER\tADAPTER AND VERSION\tTARGET\tWAIT FOR LOAD\tTOOK")
	failures := 0
	printOutcome := func(name string, o outcome) {
		if o.verdict != verdictRight {
			failures++
		}
		fmt.Fprintf(w, "%s\t%s %s\t%s\t%s\t%s\t%s\n", name, o.verdict, o.reason, o.adapter, o.target, o.stall, o.took.Round(time.Millisecond))
	}
	for i := range 6 {
		in := completion{number: i, model: fmt.Sprintf("%s@%d", AdapterName(i/2), 1+i/4), prompt: samplePrompt, maxTokens: 8, stream: i%2 == 1}
		name := "draft"
		if in.stream {
			name = "draft, streamed"
		}
		printOutcome(name, c.complete(in))
	}
	key := standin.NewKey(time.Now())
	dispatchRequest := completion{model: string(DeskAdapter) + "@1", prompt: "Book a wiring check", maxTokens: 8, key: key}
	printOutcome("dispatch", c.complete(dispatchRequest))
	dispatchRequest.number = 1
	dispatchRequest.repeat = true
	printOutcome("dispatch, repeated", c.complete(dispatchRequest))
	key = standin.NewKey(time.Now())
	printOutcome("booking", c.call(0, string(booking), "/call/book", key, false))
	printOutcome("booking, repeated", c.call(1, string(booking), "/call/book", key, true))
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	if failures > 0 {
		return errors.Errorf("%d sample requests had no right response", failures)
	}
	return nil
}
