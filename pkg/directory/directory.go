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

// table is a configuration with its routes by host, longest path prefix first.
type table struct {
	configuration *platform.Configuration
	hosts         map[string][]*platform.Route
}

// Directory holds the current configuration.
type Directory struct {
	current atomic.Pointer[table]
}

// New returns a directory without a configuration.
func New() *Directory { return &Directory{} }

// Use replaces the current configuration if the given one is newer, and reports
// whether it did.
func (d *Directory) Use(c *platform.Configuration) bool {
	next := &table{configuration: c, hosts: make(map[string][]*platform.Route)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		next.hosts[host] = append(next.hosts[host], r)
	}
	for _, routes := range next.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for {
		old := d.current.Load()
		if old != nil && old.configuration.Version >= c.Version {
			return false
		}
		if d.current.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Configuration returns the current configuration, or nil.
func (d *Directory) Configuration() *platform.Configuration {
	if t := d.current.Load(); t != nil {
		return t.configuration
	}
	return nil
}

// Find returns the route of a request and the current configuration. The route
// is nil if none matches. Both are nil if there is no configuration yet.
func (d *Directory) Find(host, path string) (*platform.Route, *platform.Configuration) {
	t := d.current.Load()
	if t == nil {
		return nil, nil
	}
	host = strings.ToLower(host)
	routes := t.hosts[host]
	if routes == nil {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, t.configuration
		}
	}
	return nil, t.configuration
}
