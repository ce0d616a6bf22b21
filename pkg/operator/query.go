package operator

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

type tableBuilder func(*Server) *Table

// tables maps the table names of show statements to their builders.
var tables = map[string]tableBuilder{
	"targets":  (*Server).targetTable,
	"loaded":   (*Server).loadedTable,
	"waiting":  (*Server).waitingTable,
	"entries":  (*Server).entryTable,
	"rollout":  (*Server).rolloutTable,
	"adapters": (*Server).adapterTable,
	"versions": (*Server).versionTable,
	"services": (*Server).serviceTable,
	"callers":  (*Server).callerTable,
	"leases":   (*Server).leaseTable,
	"refusals": (*Server).refusalTable,
	"requests": (*Server).requestTable,
	"ledger":   (*Server).ledgerTable,
}

func (srv *Server) query(s *Statement) (*Table, error) {
	if s.Explain != nil {
		return explainRefusal(s.Explain.Name)
	}
	build, ok := tables[s.Show.Table]
	if !ok {
		return nil, errors.NotValidf("table %q: the tables are %s:", s.Show.Table, strings.Join(tableNames(), ", "))
	}
	t := build(srv)
	return t, errors.Trace(t.refine(s.Show))
}

func tableNames() []string {
	var names []string
	for name := range tables {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func formatInt[N int | int64 | uint64 | ident.Revision | ident.Incarnation | ident.Version | ident.Priority](n N) string {
	return strconv.FormatInt(int64(n), 10)
}

func (srv *Server) targetTable() *Table {
	t := &Table{Columns: []string{"target", "kind", "role", "model", "domain", "vm", "state", "running", "waiting", "seats", "slots", "loaded", "incarnation", "revision"}}
	now := time.Now()
	for _, m := range srv.peer.Registry.Members(now) {
		r := m.Report
		t.add(string(r.Target), string(r.Kind), r.Role, string(r.Model), string(r.Domain), string(r.VM), srv.targetState(r, m.StateAt(now).String()),
			formatInt(r.Running), formatInt(r.Waiting), formatInt(r.MaxRunning), formatInt(r.Slots), formatInt(len(r.Loaded)), formatInt(r.Incarnation), formatInt(r.Revision))
	}
	return t
}

func (srv *Server) targetState(r wire.Report, liveness string) string {
	switch {
	case liveness != "live":
		return liveness
	case r.Draining, srv.peer.Config.Catalog().TargetSettings(r.Target).Draining:
		return "draining"
	case srv.peer.Registry.Leaving(r.Target):
		return "leaving"
	case !r.Ready:
		return "not-ready"
	}
	return "live"
}

func (srv *Server) loadedTable() *Table {
	t := &Table{Columns: []string{"adapter", "version", "target", "service"}}
	for _, m := range srv.peer.Registry.Members(time.Now()) {
		for _, key := range m.Report.Loaded {
			a, _ := srv.peer.Config.Catalog().Adapter(key.Adapter)
			t.add(string(key.Adapter), formatInt(key.Version), string(m.Report.Target), string(a.Service))
		}
	}
	return t
}

func (srv *Server) waitingTable() *Table {
	t := &Table{Columns: []string{"target", "waiting", "running", "wait-ms", "load-wait-ms"}}
	for _, m := range srv.peer.Registry.Members(time.Now()) {
		r := m.Report
		if r.Waiting > 0 {
			t.add(string(r.Target), formatInt(r.Waiting), formatInt(r.Running), formatInt(r.WaitMS), formatInt(r.LoadWaitMS))
		}
	}
	return t
}

func (srv *Server) entryTable() *Table {
	t := &Table{Columns: []string{"vm", "domain", "address", "revision", "draining", "confirmed-ms"}}
	for _, e := range srv.peer.Entries() {
		t.add(string(e.VM), string(e.Domain), e.Address, formatInt(e.Revision), strconv.FormatBool(e.Draining), formatInt(e.ConfirmedAgeMS))
	}
	return t
}

// rolloutTable lists the configuration revision that each process uses.
func (srv *Server) rolloutTable() *Table {
	t := &Table{Columns: []string{"process", "kind", "revision", "confirmed"}}
	head := srv.peer.Config.HighestKnown()
	for _, e := range srv.peer.Entries() {
		t.add(string(e.VM), "entry", formatInt(e.Revision), strconv.FormatBool(e.Revision >= head))
	}
	for _, m := range srv.peer.Registry.Members(time.Now()) {
		t.add(string(m.Report.Target), "agent", formatInt(m.Report.Revision), strconv.FormatBool(m.Report.Revision >= head))
	}
	return t
}

func (srv *Server) adapterTable() *Table {
	t := &Table{Columns: []string{"adapter", "service", "default", "versions", "loaded-on"}}
	targets := make(map[ident.Adapter][]string)
	for _, m := range srv.peer.Registry.Members(time.Now()) {
		for _, key := range m.Report.Loaded {
			targets[key.Adapter] = append(targets[key.Adapter], string(m.Report.Target))
		}
	}
	for _, a := range srv.peer.Config.Catalog().Adapters() {
		t.add(string(a.Name), string(a.Service), formatInt(a.Default), formatInt(len(a.Versions)), strings.Join(targets[a.Name], " "))
	}
	return t
}

func (srv *Server) versionTable() *Table {
	t := &Table{Columns: []string{"adapter", "version", "weights", "state"}}
	for _, a := range srv.peer.Config.Catalog().Adapters() {
		for _, v := range a.Versions {
			t.add(string(a.Name), formatInt(v.Number), v.Weights, versionState(a, v))
		}
	}
	return t
}

func versionState(a wire.Adapter, v wire.AdapterVersion) string {
	switch {
	case v.Retired:
		return "retired"
	case a.Default == v.Number:
		return "default"
	}
	return "active"
}

func (srv *Server) serviceTable() *Table {
	t := &Table{Columns: []string{"service", "kind", "model", "role", "non-idempotent", "balance", "deadline-ms", "max-tokens"}}
	for _, s := range srv.peer.Config.Catalog().Services() {
		t.add(string(s.Name), string(s.Kind), string(s.Model), s.Role, strconv.FormatBool(s.NonIdempotent),
			strconv.FormatFloat(s.Balance, 'g', -1, 64), formatInt(s.DeadlineMS), formatInt(s.MaxTokens))
	}
	return t
}

func (srv *Server) callerTable() *Table {
	t := &Table{Columns: []string{"caller", "service", "priority", "adapters", "in-flight-limit"}}
	for _, c := range srv.peer.Config.Catalog().Callers() {
		for _, rule := range c.Rules {
			t.add(string(c.Name), string(rule.Service), formatInt(rule.Priority), rule.Adapters, formatInt(c.InFlight))
		}
	}
	return t
}

func (srv *Server) leaseTable() *Table {
	t := &Table{Columns: []string{"lease", "address", "term", "left-ms"}}
	if b := srv.peer.BudgetHolder(); b.Address != "" {
		t.add("budget", b.Address, formatInt(b.Term), formatInt(b.LeftMS))
	}
	return t
}

func (srv *Server) refusalTable() *Table {
	t := &Table{Columns: []string{"reason", "count"}}
	for _, r := range srv.requestStats.Reasons() {
		t.add(r.Reason, formatInt(r.Count))
	}
	return t
}

// requestTable lists the requests in progress at this entry.
func (srv *Server) requestTable() *Table {
	t := &Table{Columns: []string{"request", "caller", "service", "adapter", "target", "state", "age-ms"}}
	for _, a := range srv.dispatch.ActiveRequests() {
		adapter := ""
		if !a.Adapter.IsZero() {
			adapter = a.Adapter.String()
		}
		t.add(string(a.Request), string(a.Caller), string(a.Service), adapter, string(a.Target), a.State, formatInt(a.Age.Milliseconds()))
	}
	return t
}

// ledgerTable lists the ledger partitions, the owner of each as known to this
// entry, and the number of ledger updates by this entry (the same in each row).
func (srv *Server) ledgerTable() *Table {
	t := &Table{Columns: []string{"partition", "owner", "updates-here"}}
	for partition, owner := range srv.peer.LedgerOwners() {
		t.add(formatInt(partition), string(owner), formatInt(srv.peer.Ledger.Writes()))
	}
	return t
}
