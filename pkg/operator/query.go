package operator

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/route"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

type tableFunc func(*Server) *Table

// tables are the tables that show can name.
var tables = map[string]tableFunc{
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
		return srv.explain(s.Explain)
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

func number[N int | int64 | uint64 | ident.Revision | ident.Incarnation | ident.Version | ident.Priority](n N) string {
	return strconv.FormatInt(int64(n), 10)
}

func (srv *Server) targetTable() *Table {
	t := &Table{Columns: []string{"target", "kind", "role", "model", "domain", "vm", "state", "running", "waiting", "seats", "slots", "loaded", "incarnation", "revision"}}
	now := time.Now()
	for _, m := range srv.peer.Registry.Members(now) {
		r := m.Report
		t.add(string(r.Target), string(r.Kind), r.Role, string(r.Model), string(r.Domain), string(r.VM), srv.stateOf(r, m.StateAt(now).String()),
			number(r.Running), number(r.Waiting), number(r.Seats), number(r.Slots), number(len(r.Loaded)), number(r.Incarnation), number(r.Revision))
	}
	return t
}

func (srv *Server) stateOf(r wire.Report, liveness string) string {
	switch {
	case liveness != "live":
		return liveness
	case r.Draining, srv.peer.Config.Catalog().Target(r.Target).Draining:
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
			t.add(string(key.Adapter), number(key.Version), string(m.Report.Target), string(a.Service))
		}
	}
	return t
}

func (srv *Server) waitingTable() *Table {
	t := &Table{Columns: []string{"target", "waiting", "running", "wait-ms", "load-wait-ms"}}
	for _, m := range srv.peer.Registry.Members(time.Now()) {
		r := m.Report
		if r.Waiting > 0 {
			t.add(string(r.Target), number(r.Waiting), number(r.Running), number(r.WaitMS), number(r.LoadWaitMS))
		}
	}
	return t
}

func (srv *Server) entryTable() *Table {
	t := &Table{Columns: []string{"vm", "domain", "address", "revision", "draining", "confirmed-ms"}}
	for _, e := range srv.peer.Entries() {
		t.add(string(e.VM), string(e.Domain), e.Address, number(e.Revision), strconv.FormatBool(e.Draining), number(e.ConfirmedAgeMS))
	}
	return t
}

// rolloutTable names the processes and the revision that each has in force.
func (srv *Server) rolloutTable() *Table {
	t := &Table{Columns: []string{"process", "kind", "revision", "confirmed"}}
	head := srv.peer.Config.HighestKnown()
	for _, e := range srv.peer.Entries() {
		t.add(string(e.VM), "entry", number(e.Revision), strconv.FormatBool(e.Revision >= head))
	}
	for _, m := range srv.peer.Registry.Members(time.Now()) {
		t.add(string(m.Report.Target), "agent", number(m.Report.Revision), strconv.FormatBool(m.Report.Revision >= head))
	}
	return t
}

func (srv *Server) adapterTable() *Table {
	t := &Table{Columns: []string{"adapter", "service", "default", "versions", "loaded-on"}}
	places := make(map[ident.Adapter][]string)
	for _, m := range srv.peer.Registry.Members(time.Now()) {
		for _, key := range m.Report.Loaded {
			places[key.Adapter] = append(places[key.Adapter], string(m.Report.Target))
		}
	}
	for _, a := range srv.peer.Config.Catalog().Adapters() {
		t.add(string(a.Name), string(a.Service), number(a.Default), number(len(a.Versions)), strings.Join(places[a.Name], " "))
	}
	return t
}

func (srv *Server) versionTable() *Table {
	t := &Table{Columns: []string{"adapter", "version", "weights", "state"}}
	for _, a := range srv.peer.Config.Catalog().Adapters() {
		for _, v := range a.Versions {
			t.add(string(a.Name), number(v.Number), v.Weights, versionState(a, v))
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
			strconv.FormatFloat(s.Balance, 'g', -1, 64), number(s.DeadlineMS), number(s.MaxTokens))
	}
	return t
}

func (srv *Server) callerTable() *Table {
	t := &Table{Columns: []string{"caller", "service", "priority", "adapters", "in-flight-limit"}}
	for _, c := range srv.peer.Config.Catalog().Callers() {
		for _, rule := range c.Rules {
			t.add(string(c.Name), string(rule.Service), number(rule.Priority), rule.Adapters, number(c.InFlight))
		}
	}
	return t
}

func (srv *Server) leaseTable() *Table {
	t := &Table{Columns: []string{"lease", "address", "term", "left-ms"}}
	if b := srv.peer.BudgetHolder(); b.Address != "" {
		t.add("budget", b.Address, number(b.Term), number(b.LeftMS))
	}
	return t
}

func (srv *Server) refusalTable() *Table {
	t := &Table{Columns: []string{"reason", "count"}}
	for _, r := range srv.requestStats.Reasons() {
		t.add(r.Reason, number(r.Count))
	}
	return t
}

// requestTable lists the requests under way at this entry.
func (srv *Server) requestTable() *Table {
	t := &Table{Columns: []string{"request", "caller", "service", "adapter", "target", "state", "age-ms"}}
	for _, a := range srv.dispatch.ActiveRequests() {
		adapter := ""
		if !a.Adapter.IsZero() {
			adapter = a.Adapter.String()
		}
		t.add(string(a.Request), string(a.Caller), string(a.Service), adapter, string(a.Target), a.State, number(a.Age.Milliseconds()))
	}
	return t
}

// ledgerTable lists the ledger's partitions, their owners as this entry sees
// them, and this entry's updates.
func (srv *Server) ledgerTable() *Table {
	t := &Table{Columns: []string{"partition", "owner", "updates-here"}}
	for partition, owner := range srv.peer.LedgerOwners() {
		t.add(number(partition), string(owner), number(srv.peer.Ledger.Writes()))
	}
	return t
}

// explain tells why a request would be routed as it would.
func (srv *Server) explain(e *Explain) (*Table, error) {
	if e.Subject == "refusal" {
		return explainRefusal(e.Name)
	}
	key, err := ident.ParseAdapterVersion(e.Name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	adapter, ok := srv.peer.Config.Catalog().Adapter(key.Adapter)
	if !ok {
		return nil, errors.NotFoundf("adapter %q", key.Adapter)
	}
	if key.Version == 0 {
		key.Version = adapter.Default
	}
	service, _ := srv.peer.Config.Catalog().Service(adapter.Service)
	query := route.Query{
		Pool: route.Pool{Kind: service.Kind, Model: service.Model, Role: service.Role},
		Key:  key, Balance: service.Balance,
	}
	t := &Table{Columns: []string{"target", "rank", "chosen", "reason", "holds", "load", "load-wait-ms", "evict-cost", "usable"}}
	for i, c := range srv.peer.Table.Candidates(query, time.Now()) {
		r := c.Node.Report()
		t.add(string(c.Node.Target), number(i+1), strconv.FormatBool(c.Chosen), c.Reason.String(), strconv.FormatBool(c.Holds),
			strconv.FormatFloat(c.Node.Load(), 'f', 2, 64), number(r.LoadWaitMS), strconv.FormatFloat(r.EvictCost, 'f', 2, 64), strconv.FormatBool(c.Usable))
	}
	return t, nil
}
