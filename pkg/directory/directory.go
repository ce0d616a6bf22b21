// Package directory finds the route of a request by its host and path in the
// newest configuration, and the account that holds its key. It never replaces a
// configuration with an older or an invalid one.
package directory

import (
	"net"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/account"
	"github.com/hyssoproad/hyssoproad/platform"
)

// snapshot is a configuration with its routes by host, longest path prefix first, and its
// accounts by key.
type snapshot struct {
	configuration *platform.Configuration
	hosts         map[string][]*platform.Route
	accounts      *account.Index
}

// Table holds the current configuration.
type Table struct {
	current atomic.Pointer[snapshot]
}

// New returns a table without a configuration.
func New() *Table { return &Table{} }

// Update replaces the current configuration if the given one is newer, and reports
// whether it did. It returns a NotValid error if a newer configuration is invalid, which
// then changes nothing.
func (table *Table) Update(c *platform.Configuration) (bool, error) {
	if old := table.current.Load(); old != nil && old.configuration.Version >= c.Version {
		return false, nil
	}
	accounts, err := account.NewIndex(c.Accounts)
	if err != nil {
		return false, errors.Trace(err)
	}
	next := &snapshot{configuration: c, hosts: make(map[string][]*platform.Route), accounts: accounts}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		next.hosts[host] = append(next.hosts[host], r)
	}
	for _, routes := range next.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for {
		old := table.current.Load()
		if old != nil && old.configuration.Version >= c.Version {
			return false, nil
		}
		if table.current.CompareAndSwap(old, next) {
			return true, nil
		}
	}
}

// Configuration returns the current configuration, or nil.
func (table *Table) Configuration() *platform.Configuration {
	if s := table.current.Load(); s != nil {
		return s.configuration
	}
	return nil
}

// Accounts returns the accounts of the current configuration by key.
func (table *Table) Accounts() *account.Index {
	if s := table.current.Load(); s != nil {
		return s.accounts
	}
	return nil
}

// Rules are what one configuration says about a request.
type Rules struct {
	Configuration *platform.Configuration // nil if there is none yet
	Route         *platform.Route         // nil if none matches
	Accounts      *account.Index
}

// Find returns the route of a request and the current configuration. The route
// is nil if none matches. Both are nil if there is no configuration yet.
func (table *Table) Find(host, path string) (*platform.Route, *platform.Configuration) {
	r := table.Rules(host, path)
	return r.Route, r.Configuration
}

// Rules returns what the current configuration says about a request.
func (table *Table) Rules(host, path string) Rules {
	s := table.current.Load()
	if s == nil {
		return Rules{}
	}
	return Rules{Configuration: s.configuration, Route: s.route(host, path), Accounts: s.accounts}
}

// route returns the route of a request, or nil.
func (s *snapshot) route(host, path string) *platform.Route {
	host = strings.ToLower(host)
	routes := s.hosts[host]
	if routes == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = s.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
