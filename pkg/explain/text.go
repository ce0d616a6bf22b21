package explain

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// WriteText writes the answer for a reader: what would happen, then the targets.
func (a *Answer) WriteText(out io.Writer) error {
	fmt.Fprintf(out, "gateway %s in %s: %s\n", a.Gateway, orDash(string(a.Domain)), a.Outcome)
	fmt.Fprintf(out, "request %s, route %s, service %s, weights %s, order by %s\n", orDash(a.Attempt), orDash(a.Route), orDash(a.Service), orDash(a.Weights), orDash(string(a.Order)))
	k := a.Knowledge
	confirmed := ""
	if k.ConfigurationAge != 0 {
		confirmed = " (never confirmed)"
	}
	if k.ConfigurationAge > 0 {
		confirmed = " (confirmed " + k.ConfigurationAge.String() + " ago)"
	}
	fmt.Fprintf(out, "known: configuration %d%s, targets %s old, %d gateways, %d prompt beginnings", k.Configuration, confirmed, k.TargetList, k.Gateways, k.Parts)
	if k.TokensPerMS > 0 {
		fmt.Fprintf(out, ", adapter load %s, prefill %.1f tokens per ms", k.AdapterLoad, k.TokensPerMS)
	}
	fmt.Fprintln(out)
	if a.Account != nil {
		fmt.Fprintf(out, "account %s: costs %g %s of a rate of %g per s and a burst of %g, quota left: %s\n", a.Account.Name, a.Account.Cost, a.Account.Unit, a.Account.PerSecond, a.Account.Burst, a.Account.Quota)
	}
	if a.Bans != nil {
		fmt.Fprintf(out, "not checked: %d requests are banned because they crash targets; -fingerprint tells whether this one is\n", a.Bans.Requests)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if len(a.Targets) > 0 {
		fmt.Fprintln(w, "TARGET\tDOMAIN\tCOST\tWAIT\tLOAD\tPREFILL\tWAY\tCOPY\tREQUESTS\tUNREAD\tFORECAST\tPACE\tADAPTER\tKEPT\tLIMIT\tAGENT")
		for _, t := range a.Targets {
			fmt.Fprintln(w, strings.Join(t.row(), "\t"))
		}
	}
	if len(a.RuledOut) > 0 {
		fmt.Fprintln(w, "RULED OUT\tDOMAIN\tREASON")
		for _, t := range a.RuledOut {
			reason := string(t.RuledOut)
			if t.RuledOutFor > 0 {
				reason += " for " + t.RuledOutFor.String()
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", t.Target, orDash(string(t.Domain)), reason)
		}
	}
	return errors.Trace(w.Flush())
}

// row returns what is known of a target, with the age of each piece of knowledge.
func (t Target) row() []string {
	cost := []string{"-", "-", "-", "-", "-", "-"}
	if c := t.Cost; c != nil {
		load := c.Load.String()
		if c.Evict > 0 {
			load += " + " + c.Evict.String() + " evicted"
		}
		cost = []string{c.Total.String(), c.Wait.String(), load, c.Prefill.String(), c.Way.String(), c.Copy.String()}
	}
	if t.LoadPerSlot != nil && t.Cost == nil {
		cost[0] = strconv.FormatFloat(*t.LoadPerSlot, 'f', 2, 64) + " per slot"
	}
	row := append([]string{string(t.Target), orDash(string(t.Domain))}, cost...)
	limit, agent, holds, pace, forecast, kept := "-", "-", "-", "-", "-", "-"
	if t.Limit != nil {
		limit = fmt.Sprintf("%g per s", t.Limit.PerSecond) + aged(t.Limit.Age)
	}
	if t.Agent != nil {
		agent = t.Agent.String()
	}
	if t.HoldsAdapter {
		holds = "held"
	}
	if t.PaceAge >= 0 {
		pace = strconv.FormatFloat(t.Pace, 'f', 0, 64) + "%" + aged(t.PaceAge)
	}
	if t.ForecastAge >= 0 {
		forecast = t.Forecast.String() + aged(t.ForecastAge)
	}
	if t.KeptAge >= 0 {
		kept = strconv.Itoa(t.Kept) + aged(t.KeptAge)
	}
	requests := fmt.Sprintf("%d of %d", t.Requests, t.Slots)
	if t.LoadAge >= 0 {
		requests += aged(t.LoadAge)
	}
	return append(row, requests, strconv.Itoa(t.Backlog), forecast, pace, holds, kept, limit, agent)
}

// String returns what would happen to the request.
func (o Outcome) String() string {
	out := string(o.Action)
	switch o.Action {
	case ActionSend:
		out = "sends it to " + string(o.Target)
		if o.Wait > 0 {
			out += ", where it is expected to wait for " + o.Wait.String()
		}
	case ActionAsk:
		out = "asks for a place at " + string(o.Target)
	case ActionWait:
		out = "lets it wait"
		if o.Target != "" {
			out += " for " + string(o.Target)
		}
		out += ", expected for " + o.Wait.String()
	case ActionRefuse:
		out = fmt.Sprintf("refuses it with status %d", o.Status)
		switch {
		case o.RetryAfter > 0 && o.ExactRetry:
			out += ", Retry-After " + o.RetryAfter.String()
		case o.RetryAfter > 0:
			out += fmt.Sprintf(", Retry-After %s to %s", o.RetryAfter, 3*o.RetryAfter/2)
		}
	}
	if o.Reason != "" {
		out += " (" + o.Reason + ")"
	}
	return out
}

// String returns what an agent answers.
func (a Agent) String() string {
	out := a.Answer
	if a.Reason != "" {
		out += " (" + a.Reason + ")"
	}
	if a.Wait > 0 {
		out += " " + a.Wait.String()
	}
	if a.Waiting+a.Running > 0 {
		out += fmt.Sprintf(", %d running, %d waiting", a.Running, a.Waiting)
	}
	return out
}

// String returns the time in ms, or in s from 10 s on.
func (m Milliseconds) String() string {
	if m >= 10_000 {
		return strconv.FormatFloat(float64(m)/1000, 'f', 1, 64) + " s"
	}
	return strconv.FormatFloat(float64(m), 'f', 0, 64) + " ms"
}

func aged(age Milliseconds) string { return " (" + age.String() + " old)" }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
