package control

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quota"
)

// accountsReport is what the gateways know of client accounts, as the tool prints it.
type accountsReport struct {
	// Accounts are sums over the gateways that answered.
	Accounts []accountSum `json:"accounts"`
	// Gateways are the reports of each.
	Gateways []quota.Report `json:"gateways"`
	// Unanswered are the gateways that gave no report, and why.
	Unanswered []unanswered `json:"unanswered"`
}

// accountSum is an account over all gateways.
type accountSum struct {
	quota.AccountReport
	// HolderStates counts the gateways by holder and its state.
	HolderStates map[string]map[string]int `json:"holder-states"`
	// Differs says that gateways have different limits in force.
	Differs bool `json:"limits-differ"`
}

type unanswered struct {
	Gateway string `json:"gateway"`
	Error   string `json:"error"`
}

func (t *tool) accounts() *ffcli.Command {
	fs := t.newFlagSet("accounts")
	gateways := fs.String("gateway", "", "addresses of gateways' metrics listeners, separated by commas; the default port is "+metricsPort)
	asJSON := fs.Bool("json", false, "print JSON, as -format json does")
	return &ffcli.Command{
		Name: "accounts", ShortUsage: "accounts -gateway <address>[,<address>...] [-json]", ShortHelp: "show client accounts and their quotas, summed over gateways", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return errors.NotValidf("argument %q", args[0])
			}
			addresses, err := gatewayAddresses(*gateways)
			if err != nil {
				return errors.Trace(err)
			}
			r := readAccounts(addresses)
			if *asJSON || t.format == "json" {
				err = json.NewEncoder(t.out).Encode(r)
			} else {
				err = t.printAccounts(r)
			}
			if err == nil && len(r.Unanswered) > 0 {
				err = errors.Errorf("%d of %d gateways gave no report; the sums are incomplete", len(r.Unanswered), len(addresses))
			}
			return errors.Trace(err)
		},
	}
}

// readAccounts reads the reports of all gateways at once.
func readAccounts(addresses []string) accountsReport {
	reports, errs := readGatewayPages[quota.Report](addresses, quota.ReportPath)
	r := accountsReport{Gateways: []quota.Report{}, Unanswered: []unanswered{}}
	for i, a := range addresses {
		if errs[i] != nil {
			r.Unanswered = append(r.Unanswered, unanswered{a, errors.Annotate(errs[i], quota.ReportPath).Error()})
			continue
		}
		r.Gateways = append(r.Gateways, reports[i])
	}
	r.Accounts = sumAccounts(r.Gateways)
	return r
}

// sumAccounts adds up the accounts of all gateways, by name.
func sumAccounts(reports []quota.Report) []accountSum {
	byName := make(map[ident.Account]*accountSum)
	for _, r := range reports {
		for _, a := range r.Accounts {
			s := byName[a.Account]
			if s == nil {
				s = &accountSum{HolderStates: make(map[string]map[string]int)}
				s.Account, s.Unit, s.PerSecond, s.Burst = a.Account, a.Unit, a.PerSecond, a.Burst
				byName[a.Account] = s
			}
			s.add(a)
		}
	}
	out := make([]accountSum, 0, len(byName))
	for _, s := range byName {
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}

func (s *accountSum) add(a quota.AccountReport) {
	s.Differs = s.Differs || a.PerSecond != s.PerSecond || a.Burst != s.Burst || a.Unit != s.Unit
	s.Asked += a.Asked
	s.Served += a.Served
	s.RefusedOver += a.RefusedOver
	s.RefusedAlone += a.RefusedAlone
	s.Granted += a.Granted
	s.Alone += a.Alone
	s.Leased += a.Leased
	for _, h := range a.Holders {
		if s.HolderStates[h.Engine] == nil {
			s.HolderStates[h.Engine] = make(map[string]int)
		}
		s.HolderStates[h.Engine][h.State]++
	}
}

func (t *tool) printAccounts(r accountsReport) error {
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tUNIT\tRATE/S\tBURST\tASKED\tSERVED\tREFUSED OVER\tREFUSED ALONE\tGRANTED\tALONE\tLEASED\tHOLDERS (GATEWAYS BY STATE)")
	for _, a := range r.Accounts {
		limit := [2]string{"none", "none"}
		if a.PerSecond > 0 {
			limit = [2]string{fmt.Sprint(a.PerSecond), fmt.Sprint(a.Burst)}
		}
		if a.Differs {
			limit[0] += " (differs)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%s\n", a.Account, a.Unit, limit[0], limit[1],
			a.Asked, a.Served, a.RefusedOver, a.RefusedAlone, a.Granted, a.Alone, a.Leased, describeStates(a.HolderStates))
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, u := range r.Unanswered {
		fmt.Fprintf(t.errOut, "%s: %s\n", u.Gateway, u.Error)
	}
	return nil
}

// describeStates lists holders, each with the number of gateways by state.
func describeStates(states map[string]map[string]int) string {
	var out []string
	for engine, counts := range states {
		var list []string
		for state, n := range counts {
			list = append(list, fmt.Sprintf("%s %d", state, n))
		}
		sort.Strings(list)
		out = append(out, engine+": "+strings.Join(list, ", "))
	}
	sort.Strings(out)
	return strings.Join(out, "; ")
}
