package standin

import (
	"cmp"
	"encoding/json"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// NodeSettings are the settings that the platform passes to a process at startup.
type NodeSettings struct {
	VM                 ident.VM
	IP                 string
	Callers, Readiness string // addresses; empty on an engine's VM
	Engine             string // address; empty on an entry VM
	Store              string // address
	PeerPort           int
	MemoryMB           int
	StopGrace          time.Duration
	// Revoke is the time within which a removed key has to be refused; 0 if it does not
	// bind.
	Revoke time.Duration
}

// Encode returns the contents of the process's settings file as JSON.
func (s NodeSettings) Encode() ([]byte, error) {
	listen := map[string]string{}
	if s.Callers != "" {
		listen["front"], listen["ready"] = s.Callers, s.Readiness
	}
	bounds := map[string]any{"grace-s": s.StopGrace.Seconds(), "retry-budget-ratio": 0.2, "retry-budget-slack": 50, "budget-window-s": 10}
	if s.Revoke > 0 {
		bounds["revoke-strict"], bounds["revoke-ms"] = true, s.Revoke.Milliseconds()
	}
	return json.MarshalIndent(map[string]any{
		"node-name": s.VM, "ip": s.IP, "zone": "local", "listen": listen, "app": s.Engine,
		"inner-ports": []int{s.PeerPort, s.PeerPort + 10}, "limits": map[string]any{"memory-mb": s.MemoryMB},
		"bounds":   bounds,
		"platform": map[string]any{"address": s.Store, "form": "objects"},
	}, "", "  ")
}

// OperatorRoute is a route of a configuration.
type OperatorRoute struct {
	Prefix      string
	RetryPolicy platform.RetryPolicy
	Resume      bool
	Service     ident.Service
	Timeout     time.Duration
	Objective   time.Duration
	Attempts    int
	Public      bool
}

// OperatorAccount is a client account of a configuration.
type OperatorAccount struct {
	Name ident.Account
	Keys []string
	Rank int
}

var routeKinds = [...]string{platform.RunAtMostOnce: "unsafe", platform.RunIdempotent: "safe", platform.RunStream: "streaming"}

// OperatorHost is the host of all routes.
const OperatorHost = "soak.example"

// OperatorService is a service of a configuration.
type OperatorService struct {
	Name         ident.Service
	Model        ident.Model // empty for a plain service
	Slots        int
	KVTokens     int // 100,000 if 0
	AdapterSlots int
}

// EncodeConfiguration returns a configuration in the JSON form that operators
// write.
func EncodeConfiguration(version uint64, routes []OperatorRoute, services []OperatorService, accounts ...OperatorAccount) (json.RawMessage, error) {
	var encodedRoutes, encodedServices, encodedAccounts []map[string]any
	for _, r := range routes {
		encodedRoutes = append(encodedRoutes, map[string]any{
			"name": r.Prefix, "host": OperatorHost, "path-prefix": r.Prefix, "kind": routeKinds[r.RetryPolicy], "can-resume": r.Resume,
			"service": r.Service, "timeout-ms": r.Timeout.Milliseconds(), "slo-ms": r.Objective.Milliseconds(), "gap-slo-ms": 300,
			"max-attempts": r.Attempts, "priority": 1, "public": r.Public,
		})
	}
	for _, s := range services {
		encoded := map[string]any{"name": s.Name, "health-path": WorkerHealthPath}
		if s.Model != "" {
			encoded["engine"] = map[string]any{
				"slots": s.Slots, "kv-capacity-tokens": cmp.Or(s.KVTokens, 100_000), "mb": 1000, "adapter-slots": s.AdapterSlots, "stride": 1,
				"models": []any{map[string]any{"name": s.Model, "mb": 900, "load-s": 1, "disk-s": 0.5, "adapter-mb": 1}},
			}
		}
		encodedServices = append(encodedServices, encoded)
	}
	for _, a := range accounts {
		encodedAccounts = append(encodedAccounts, map[string]any{"name": a.Name, "api-keys": a.Keys, "priority": a.Rank})
	}
	return json.Marshal(map[string]any{"version": version, "routes": encodedRoutes, "services": encodedServices, "tenants": encodedAccounts})
}

// EncodeVersion returns the object that announces an adapter version: its name in
// the store and its JSON value.
func EncodeVersion(model ident.Model, a ident.AdapterVersion) (string, json.RawMessage, error) {
	spec, err := json.Marshal(map[string]any{"model": model, "adapter": a.Adapter, "version": a.Version})
	return string(model) + "." + string(a.Adapter), spec, err
}
