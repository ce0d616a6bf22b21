package control

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/explain"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
)

// explainRequest is the flags of one invocation.
type explainRequest struct {
	query          explain.Query
	model, adapter string
	account        string
	gateways       string
	asJSON         bool
}

// explainRequest returns the command that tells where a request would go.
func (t *tool) explainRequest() *ffcli.Command {
	fs := t.newFlagSet("request")
	var r explainRequest
	r.register(fs)
	return &ffcli.Command{
		Name: "request", ShortUsage: "explain request -gateway <address>[,<address>...] -host <host> -path <path> [-model <model>] [-adapter <adapter>] [-parts <id:tokens,...>] [-prompt-tokens <n>] [-output-tokens <n>] [-account <name>] [-fingerprint <hex>] [--json]",
		ShortHelp: "tell where gateways of the users' platform would send a request now, and why", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.WithType(errors.NotValidf("argument %q", args[0]), errBadQuestion)
			}
			return r.run(t.out, t.format == "json")
		},
	}
}

func (r *explainRequest) register(fs *flag.FlagSet) {
	fs.StringVar(&r.gateways, "gateway", "", "addresses of gateways, separated by commas; the port is that of their metrics, by default "+metricsPort)
	fs.StringVar(&r.query.Host, "host", "", "host of the request")
	fs.StringVar(&r.query.Path, "path", "", "path of the request")
	fs.StringVar(&r.model, "model", "", "base model, for a request that an engine serves")
	fs.StringVar(&r.adapter, "adapter", "", "adapter of the model")
	fs.StringVar(&r.query.Parts, "parts", "", "parts of the prompt as in X-Prompt-Prefix: <id>:<tokens>, separated by commas")
	fs.IntVar(&r.query.PromptTokens, "prompt-tokens", 0, "length of the prompt")
	fs.IntVar(&r.query.OutputTokens, "output-tokens", 0, "limit of the answer's length")
	fs.StringVar(&r.account, "account", "", "name of the client account, not its key")
	fs.StringVar(&r.query.Attempt, "attempt", "", "ID of the request, which orders engines with equal costs; by default a new one, the same for all gateways")
	fs.TextVar(&r.query.Fingerprint, "fingerprint", quarantine.Fingerprint{}, "fingerprint of the request in a row of a gateway's log, which tells whether it is banned")
	fs.BoolVar(&r.asJSON, "json", false, "print the gateways' answers as JSON")
}

// gatewayAnswer is the answer of a gateway, or why there is none.
type gatewayAnswer struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Answer  *explain.Answer `json:"answer,omitempty"`
}

// run asks all gateways and prints their answers. It returns an error that names those which
// gave none.
func (r *explainRequest) run(out io.Writer, asJSON bool) error {
	r.query.Model, r.query.Adapter, r.query.Account = ident.Model(r.model), ident.Adapter(r.adapter), ident.Account(r.account)
	if r.gateways == "" {
		return errors.WithType(errors.NewNotValid(nil, "gateway is missing"), errBadQuestion)
	}
	if err := r.query.Check(); err != nil {
		return errors.WithType(err, errBadQuestion)
	}
	if r.query.Attempt == "" {
		r.query.Attempt = uuid.NewString()
	}
	addresses, err := gatewayAddresses(r.gateways)
	if err != nil {
		return errors.WithType(err, errBadQuestion)
	}
	given, errs := readGatewayPages[*explain.Answer](addresses, explain.Path+"?"+r.query.Values().Encode())
	var answers []gatewayAnswer
	var failed []string
	for i, address := range addresses {
		a := gatewayAnswer{Address: address}
		if errs[i] != nil {
			a.Error = errs[i].Error()
			failed = append(failed, fmt.Sprintf("%s: %v", address, errs[i]))
		} else {
			a.Answer = given[i]
		}
		answers = append(answers, a)
	}
	if err := writeAnswers(out, answers, r.asJSON || asJSON); err != nil {
		return errors.Trace(err)
	}
	if len(failed) > 0 {
		return errors.Errorf("no answer from %d of %d gateways: %s", len(failed), len(answers), strings.Join(failed, "; "))
	}
	return nil
}

func writeAnswers(out io.Writer, answers []gatewayAnswer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(answers))
	}
	for i, a := range answers {
		if i > 0 {
			fmt.Fprintln(out)
		}
		if a.Answer == nil {
			fmt.Fprintf(out, "gateway at %s: %s\n", a.Address, a.Error)
			continue
		}
		if err := a.Answer.WriteText(out); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
