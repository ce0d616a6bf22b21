// Package directory finds the route of a request by its host and path in the
// newest configuration. It never replaces a configuration with an older one.
package directory

import (
	"net"
	"sort"
	"strings"
	"sync/atomic"

	"github.com/hyssoproad/hyssoproad/platform"
)

// snapshot is a configuration with its routes by host, longest path prefix first.
type snapshot struct {
	configuration *platform.Configuration
	hosts         map[string][]*platform.Route
}

// Table holds the current configuration.
type Table struct {
	current atomic.Pointer[snapshot]
}

// New returns a table without a configuration.
func New() *Table { return &Table{} }

// Update replaces the current configuration if the given one is newer, and reports
// whether it did.
func (table *Table) Update(c *platform.Configuration) bool {
	next := &snapshot{configuration: c, hosts: make(map[string][]*platform.Route)}
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
			return false
		}
		if table.current.CompareAndSwap(old, next) {
			return true
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

// Find returns the route of a request and the current configuration. The route
// is nil if none matches. Both are nil if there is no configuration yet.
func (table *Table) Find(host, path string) (*platform.Route, *platform.Configuration) {
	s := table.current.Load()
	if s == nil {
		return nil, nil
	}
	host = strings.ToLower(host)
	routes := s.hosts[host]
	if routes == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = s.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, s.configuration
		}
	}
	return nil, s.configuration
}
