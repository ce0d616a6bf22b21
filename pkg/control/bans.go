package control

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
)

// bansReport is the banned requests over all gateways that answered.
type bansReport struct {
	Requests []bannedRequest `json:"requests"`
	// Gateways are those that answered.
	Gateways   []ident.VM   `json:"gateways"`
	Unanswered []unanswered `json:"unanswered"`
}

// bannedRequest is a request with the evidence of all gateways.
type bannedRequest struct {
	quarantine.RequestBan
	// RefusedBy are the gateways at which it is banned.
	RefusedBy []ident.VM `json:"refused-by"`
}

func (t *tool) bans() *ffcli.Command {
	fs := t.newFlagSet("bans")
	gateways := fs.String("gateway", "", "addresses of gateways' metrics listeners, separated by commas; the default port is "+metricsPort)
	var only quarantine.Fingerprint
	fs.TextVar(&only, "fingerprint", quarantine.Fingerprint{}, "show only the request with this fingerprint")
	asJSON := fs.Bool("json", false, "print JSON, as -format json does")
	return &ffcli.Command{
		Name: "bans", ShortUsage: "bans -gateway <address>[,<address>...] [-fingerprint <hex>] [-json]", ShortHelp: "list requests that are refused because targets end under them", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.WithType(errors.NotValidf("argument %q", args[0]), errBadQuestion)
			}
			addresses, err := gatewayAddresses(*gateways)
			if err != nil {
				return errors.WithType(err, errBadQuestion)
			}
			r := readBans(addresses, only)
			if *asJSON || t.format == "json" {
				err = json.NewEncoder(t.out).Encode(r)
			} else {
				err = t.printBans(r)
			}
			if err == nil && len(r.Unanswered) > 0 {
				err = errors.Errorf("%d of %d gateways gave no report; bans and ends may be missing", len(r.Unanswered), len(addresses))
			}
			return errors.Trace(err)
		},
	}
}

// readBans reads the reports of all gateways at once. It keeps one request only, unless the
// fingerprint is zero.
func readBans(addresses []string, only quarantine.Fingerprint) bansReport {
	reports, errs := readGatewayPages[quarantine.BanReport](addresses, quarantine.BansPath)
	r := bansReport{Requests: []bannedRequest{}, Gateways: []ident.VM{}, Unanswered: []unanswered{}}
	for i, a := range addresses {
		if errs[i] != nil {
			r.Unanswered = append(r.Unanswered, unanswered{a, errors.Annotate(errs[i], quarantine.BansPath).Error()})
			continue
		}
		r.Gateways = append(r.Gateways, reports[i].Gateway)
		for _, b := range reports[i].Requests {
			if only == (quarantine.Fingerprint{}) || only == b.Fingerprint {
				r.add(reports[i].Gateway, b)
			}
		}
	}
	slices.SortFunc(r.Requests, func(a, b bannedRequest) int {
		return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String())
	})
	return r
}

// add adds a ban at a gateway to the others.
func (r *bansReport) add(gateway ident.VM, b quarantine.RequestBan) {
	i := slices.IndexFunc(r.Requests, func(known bannedRequest) bool { return known.Fingerprint == b.Fingerprint })
	if i < 0 {
		r.Requests = append(r.Requests, bannedRequest{RequestBan: b, RefusedBy: []ident.VM{gateway}})
		return
	}
	known := &r.Requests[i]
	known.RefusedBy = append(known.RefusedBy, gateway)
	known.UntilMS = max(known.UntilMS, b.UntilMS)
	for _, e := range b.Ends {
		j := slices.IndexFunc(known.Ends, func(o quarantine.SeenEnd) bool { return o.Target == e.Target && o.StartMS == e.StartMS })
		if j < 0 {
			known.Ends = append(known.Ends, e)
			continue
		}
		records := append(slices.Clone(known.Ends[j].Records), e.Records...)
		slices.Sort(records)
		known.Ends[j].Records = slices.Compact(records)
	}
}

func (t *tool) printBans(r bansReport) error {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	for _, b := range r.Requests {
		fmt.Fprintf(w, "request %s: refused until %s by %d of %d gateways\n", b.Fingerprint, formatMS(b.UntilMS), len(b.RefusedBy), len(r.Gateways))
		fmt.Fprintln(w, "TARGET\tSTARTED\tENDED\tIN TARGET-ENDS")
		for _, e := range b.Ends {
			records := make([]string, len(e.Records))
			for i, vm := range e.Records {
				records[i] = string(vm)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Target, formatMS(e.StartMS), formatMS(e.AtMS), strings.Join(records, ","))
		}
	}
	fmt.Fprintf(w, "%d banned requests at %d gateways\n", len(r.Requests), len(r.Gateways))
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, u := range r.Unanswered {
		fmt.Fprintf(t.errOut, "%s: %s\n", u.Gateway, u.Error)
	}
	return nil
}

func formatMS(unixMS int64) string { return time.UnixMilli(unixMS).UTC().Format(time.RFC3339) }
