// Package catalog holds the current configuration: services, models, adapters,
// callers, the weight store's limits, and the operators' settings for targets.
package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const shardCount = 16

type shard struct {
	mu       sync.RWMutex
	adapters map[ident.Adapter]wire.Adapter
}

// Catalog is the configuration at one revision. It is safe for concurrent use.
// Adapters are kept in shards with a lock each.
type Catalog struct {
	shards [shardCount]shard

	mu       sync.RWMutex
	revision ident.Revision
	services map[ident.Service]wire.Service
	models   map[ident.Model]wire.Model
	callers  map[ident.Caller]wire.Caller
	tokens   map[string]ident.Caller
	targets  map[ident.Target]wire.Target
	store    *wire.WeightStore
}

// New returns an empty catalog at revision 0.
func New() *Catalog {
	c := &Catalog{}
	c.reset()
	c.replaceAdapters(nil)
	return c
}

func (c *Catalog) reset() {
	c.services = make(map[ident.Service]wire.Service)
	c.models = make(map[ident.Model]wire.Model)
	c.callers = make(map[ident.Caller]wire.Caller)
	c.tokens = make(map[string]ident.Caller)
	c.targets = make(map[ident.Target]wire.Target)
	c.store = nil
}

// Revision returns the current revision.
func (c *Catalog) Revision() ident.Revision {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// Apply applies one record. It ignores records at or below the current
// revision, so repeated and late records have no effect.
func (c *Catalog) Apply(r wire.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Revision <= c.revision {
		return
	}
	for _, change := range r.Changes {
		c.applyChange(change)
	}
	c.revision = r.Revision
}

// Replace replaces the whole configuration if the given revision is newer than
// the current one.
func (c *Catalog) Replace(revision ident.Revision, changes []wire.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.revision {
		return
	}
	c.reset()
	for _, change := range changes {
		if change.Adapter == nil {
			c.applyChange(change)
		}
	}
	c.replaceAdapters(changes)
	c.revision = revision
}

// replaceAdapters replaces all adapters of a shard at once, so that no reader
// misses an adapter during the replacement.
func (c *Catalog) replaceAdapters(changes []wire.Change) {
	var adapters [shardCount]map[ident.Adapter]wire.Adapter
	for i := range adapters {
		adapters[i] = make(map[ident.Adapter]wire.Adapter)
	}
	for _, x := range changes {
		if x.Adapter != nil {
			adapters[shardIndex(x.Adapter.Name)][x.Adapter.Name] = c.internServiceName(*x.Adapter)
		}
	}
	for i := range c.shards {
		c.shards[i].mu.Lock()
		c.shards[i].adapters = adapters[i]
		c.shards[i].mu.Unlock()
	}
}

func (c *Catalog) applyChange(x wire.Change) {
	switch {
	case x.Service != nil:
		c.services[x.Service.Name] = *x.Service
	case x.Model != nil:
		c.models[x.Model.Name] = *x.Model
	case x.Adapter != nil:
		s := c.shard(x.Adapter.Name)
		s.mu.Lock()
		s.adapters[x.Adapter.Name] = c.internServiceName(*x.Adapter)
		s.mu.Unlock()
	case x.Caller != nil:
		c.putCaller(*x.Caller)
	case x.Target != nil:
		c.targets[x.Target.Name] = *x.Target
	case x.Store != nil:
		c.store = x.Store
	case x.Delete != nil:
		c.remove(*x.Delete)
	}
}

// internServiceName makes all adapters of a service share one copy of the
// service name, to save memory.
func (c *Catalog) internServiceName(a wire.Adapter) wire.Adapter {
	if s, ok := c.services[a.Service]; ok {
		a.Service = s.Name
	}
	return a
}

func (c *Catalog) putCaller(caller wire.Caller) {
	if old, ok := c.callers[caller.Name]; ok {
		delete(c.tokens, old.TokenHash)
	}
	c.callers[caller.Name] = caller
	c.tokens[caller.TokenHash] = caller.Name
}

func (c *Catalog) remove(ref wire.ObjectRef) {
	switch ref.Kind {
	case wire.ObjectService:
		delete(c.services, ident.Service(ref.Name))
	case wire.ObjectModel:
		delete(c.models, ident.Model(ref.Name))
	case wire.ObjectCaller:
		delete(c.tokens, c.callers[ident.Caller(ref.Name)].TokenHash)
		delete(c.callers, ident.Caller(ref.Name))
	case wire.ObjectTarget:
		delete(c.targets, ident.Target(ref.Name))
	case wire.ObjectWeightStore:
		c.store = nil
	}
}

func (c *Catalog) shard(a ident.Adapter) *shard {
	return &c.shards[shardIndex(a)]
}

func shardIndex(a ident.Adapter) uint64 { return xxhash.Sum64String(string(a)) % shardCount }

// Adapter returns a declared adapter.
func (c *Catalog) Adapter(a ident.Adapter) (wire.Adapter, bool) {
	s := c.shard(a)
	s.mu.RLock()
	defer s.mu.RUnlock()
	adapter, ok := s.adapters[a]
	return adapter, ok
}

// Service returns a declared service.
func (c *Catalog) Service(name ident.Service) (wire.Service, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s, ok := c.services[name]
	return s, ok
}

// TargetSettings returns the operators' settings for a target.
func (c *Catalog) TargetSettings(name ident.Target) wire.Target {
	c.mu.RLock()
	defer c.mu.RUnlock()
	t, ok := c.targets[name]
	if !ok {
		t.Name = name
	}
	return t
}

// StoreLimits returns the weight store's limits, if they are declared.
func (c *Catalog) StoreLimits() (wire.WeightStore, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.store == nil {
		return wire.WeightStore{}, false
	}
	return *c.store, true
}

// HashToken returns the SHA-256 hash of a token in hexadecimal, which is how
// declarations store tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// CallerByToken returns the caller that owns a bearer token.
func (c *Catalog) CallerByToken(token string) (wire.Caller, bool) {
	hash := HashToken(token)
	c.mu.RLock()
	defer c.mu.RUnlock()
	name, ok := c.tokens[hash]
	return c.callers[name], ok
}

// Caller returns a declared caller.
func (c *Catalog) Caller(name ident.Caller) (wire.Caller, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	caller, ok := c.callers[name]
	return caller, ok
}

// FindRule returns the first rule that permits the caller to use an adapter of
// a service. An empty adapter stands for the service itself.
func FindRule(caller wire.Caller, service ident.Service, adapter ident.Adapter) (wire.CallerRule, bool) {
	for _, rule := range caller.Rules {
		if rule.Service == service && strings.HasPrefix(string(adapter), rule.Adapters) {
			return rule, true
		}
	}
	return wire.CallerRule{}, false
}

// FindVersion returns the declared version v of an adapter.
func FindVersion(a wire.Adapter, v ident.Version) (wire.AdapterVersion, bool) {
	for _, version := range a.Versions {
		if version.Number == v {
			return version, true
		}
	}
	return wire.AdapterVersion{}, false
}

// Export returns the current revision and the whole configuration as changes in
// a fixed order.
func (c *Catalog) Export() (ident.Revision, []wire.Change) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []wire.Change
	if c.store != nil {
		store := *c.store
		out = append(out, wire.Change{Store: &store})
	}
	for _, name := range sortedKeys(c.models) {
		m := c.models[name]
		out = append(out, wire.Change{Model: &m})
	}
	for _, name := range sortedKeys(c.services) {
		s := c.services[name]
		out = append(out, wire.Change{Service: &s})
	}
	for _, name := range sortedKeys(c.targets) {
		t := c.targets[name]
		out = append(out, wire.Change{Target: &t})
	}
	for _, name := range sortedKeys(c.callers) {
		caller := c.callers[name]
		out = append(out, wire.Change{Caller: &caller})
	}
	for _, a := range c.Adapters() {
		out = append(out, wire.Change{Adapter: &a})
	}
	return c.revision, out
}

// Adapters returns all adapters, sorted by name.
func (c *Catalog) Adapters() []wire.Adapter {
	var out []wire.Adapter
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.RLock()
		for _, a := range s.adapters {
			out = append(out, a)
		}
		s.mu.RUnlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Services returns all services, sorted by name.
func (c *Catalog) Services() []wire.Service {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]wire.Service, 0, len(c.services))
	for _, name := range sortedKeys(c.services) {
		out = append(out, c.services[name])
	}
	return out
}

// Callers returns all callers, sorted by name.
func (c *Catalog) Callers() []wire.Caller {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]wire.Caller, 0, len(c.callers))
	for _, name := range sortedKeys(c.callers) {
		out = append(out, c.callers[name])
	}
	return out
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

// ChangedObject returns a reference to the object that a change affects.
func ChangedObject(x wire.Change) (wire.ObjectRef, error) {
	switch {
	case x.Service != nil:
		return wire.ObjectRef{Kind: wire.ObjectService, Name: string(x.Service.Name)}, nil
	case x.Model != nil:
		return wire.ObjectRef{Kind: wire.ObjectModel, Name: string(x.Model.Name)}, nil
	case x.Adapter != nil:
		return wire.ObjectRef{Kind: wire.ObjectAdapter, Name: string(x.Adapter.Name)}, nil
	case x.Caller != nil:
		return wire.ObjectRef{Kind: wire.ObjectCaller, Name: string(x.Caller.Name)}, nil
	case x.Target != nil:
		return wire.ObjectRef{Kind: wire.ObjectTarget, Name: string(x.Target.Name)}, nil
	case x.Store != nil:
		return wire.ObjectRef{Kind: wire.ObjectWeightStore}, nil
	case x.Delete != nil:
		return *x.Delete, nil
	}
	return wire.ObjectRef{}, errors.NotValidf("empty change")
}
