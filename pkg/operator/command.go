package operator

import (
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// compile translates a command into configuration changes.
func compile(s *Statement, c *catalog.Catalog) ([]wire.Change, error) {
	switch {
	case s.Put != nil:
		return compilePut(s.Put, c)
	case s.Version != nil:
		return compileVersion(s.Version, c)
	case s.Drain != nil:
		t := c.TargetSettings(ident.Target(s.Drain.Target))
		t.Draining = s.Drain.Verb == "drain"
		return []wire.Change{{Target: &t}}, nil
	}
	return nil, errors.NotValidf("a query is not a command:")
}

func compilePut(p *Put, c *catalog.Catalog) ([]wire.Change, error) {
	ref := wire.ObjectRef{Kind: wire.ObjectKind(p.Kind), Name: p.Name}
	declared := c.Has(ref)
	if p.Verb == "add" && declared {
		return nil, errors.AlreadyExistsf("%s %q", p.Kind, p.Name)
	}
	// A target needs no declaration; its agent reports make it known.
	if p.Verb == "set" && !declared && ref.Kind != wire.ObjectTarget {
		return nil, errors.NotFoundf("%s %q", p.Kind, p.Name)
	}
	change, setField := newChange(p, c)
	for _, field := range p.Fields {
		if err := setField(field.Key, field.Value); err != nil {
			return nil, errors.Annotatef(err, "%s %s", p.Kind, p.Name)
		}
	}
	return []wire.Change{change}, nil
}

type fieldSetter func(key, value string) error

// newChange returns a change initialized with the declared object, if any, and
// a function that sets one of its fields.
func newChange(p *Put, c *catalog.Catalog) (wire.Change, fieldSetter) {
	switch wire.ObjectKind(p.Kind) {
	case wire.ObjectService:
		s, _ := c.Service(ident.Service(p.Name))
		s.Name = ident.Service(p.Name)
		return wire.Change{Service: &s}, func(k, v string) error { return setService(&s, k, v) }
	case wire.ObjectModel:
		m := wire.Model{Name: ident.Model(p.Name)}
		return wire.Change{Model: &m}, noFields
	case wire.ObjectAdapter:
		a, _ := c.Adapter(ident.Adapter(p.Name))
		a.Name = ident.Adapter(p.Name)
		return wire.Change{Adapter: &a}, func(k, v string) error { return setAdapter(&a, k, v) }
	case wire.ObjectCaller:
		caller, _ := c.Caller(ident.Caller(p.Name))
		caller.Name = ident.Caller(p.Name)
		return wire.Change{Caller: &caller}, func(k, v string) error { return setCaller(&caller, k, v) }
	}
	if p.Kind == string(wire.ObjectTarget) {
		t := c.TargetSettings(ident.Target(p.Name))
		return wire.Change{Target: &t}, func(k, v string) error { return setTarget(&t, k, v) }
	}
	store, _ := c.StoreLimits()
	return wire.Change{Store: &store}, func(k, v string) error { return setStore(&store, k, v) }
}

func noFields(key, _ string) error { return unknownField(key) }

func unknownField(key string, fields ...string) error {
	hint := ""
	if suggestion := nearest(key, fields); suggestion != "" {
		hint = "; did you mean " + suggestion + "?"
	}
	return errors.NotValidf("field %q: the fields are %s%s:", key, strings.Join(fields, ", "), hint)
}

func setService(s *wire.Service, key, value string) (err error) {
	switch key {
	case "kind":
		s.Kind = wire.TargetKind(value)
	case "model":
		s.Model = ident.Model(value)
	case "role":
		s.Role = value
	case "description":
		s.Description = value
	case "non-idempotent":
		s.NonIdempotent, err = strconv.ParseBool(value)
	case "balance":
		s.Balance, err = strconv.ParseFloat(value, 64)
	case "deadline-ms":
		s.DeadlineMS, err = strconv.ParseInt(value, 10, 64)
	case "max-tokens":
		s.MaxTokens, err = strconv.Atoi(value)
	default:
		return unknownField(key, "kind", "model", "role", "description", "non-idempotent", "balance", "deadline-ms", "max-tokens")
	}
	return valueError(key, value, err)
}

func valueError(key, value string, err error) error {
	if err != nil {
		return errors.NotValidf("value %q of %s", value, key)
	}
	return nil
}

func setAdapter(a *wire.Adapter, key, value string) error {
	if key != "service" {
		return unknownField(key, "service")
	}
	a.Service = ident.Service(value)
	return nil
}

// setCaller sets token-hash or in-flight, or adds a rule of the form
// <service>:<priority>[:<adapter prefix>].
func setCaller(c *wire.Caller, key, value string) (err error) {
	switch key {
	case "token-hash":
		c.TokenHash = value
	case "in-flight":
		c.InFlight, err = strconv.Atoi(value)
	case "rule":
		return addRule(c, value)
	default:
		return unknownField(key, "token-hash", "in-flight", "rule")
	}
	return valueError(key, value, err)
}

func addRule(c *wire.Caller, value string) error {
	parts := strings.SplitN(value, ":", 3)
	if len(parts) < 2 {
		return errors.NotValidf("rule %q: want <service>:<priority>[:<adapter prefix>]:", value)
	}
	priority, err := strconv.Atoi(parts[1])
	if err != nil {
		return errors.NotValidf("priority %q", parts[1])
	}
	rule := wire.CallerRule{Service: ident.Service(parts[0]), Priority: ident.Priority(priority)}
	if len(parts) == 3 {
		rule.Adapters = parts[2]
	}
	rules := []wire.CallerRule{rule}
	for _, old := range c.Rules {
		if old.Service != rule.Service || old.Adapters != rule.Adapters {
			rules = append(rules, old)
		}
	}
	c.Rules = rules
	return nil
}

func setTarget(t *wire.Target, key, value string) error {
	if key != "role" {
		return unknownField(key, "role")
	}
	t.Role = value
	return nil
}

func setStore(s *wire.WeightStore, key, value string) (err error) {
	switch key {
	case "loads-per-second":
		s.LoadsPerSecond, err = strconv.ParseFloat(value, 64)
	case "in-flight":
		s.InFlight, err = strconv.Atoi(value)
	case "engines":
		s.MaxEngines, err = strconv.Atoi(value)
	default:
		return unknownField(key, "loads-per-second", "in-flight", "engines")
	}
	return valueError(key, value, err)
}

func compileVersion(v *Version, c *catalog.Catalog) ([]wire.Change, error) {
	key, err := ident.ParseAdapterVersion(v.Name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if key.Version == 0 {
		return nil, errors.NotValidf("%q: no version given:", v.Name)
	}
	a, ok := c.Adapter(key.Adapter)
	if !ok {
		return nil, errors.NotFoundf("adapter %q", key.Adapter)
	}
	a.Versions = append([]wire.AdapterVersion(nil), a.Versions...)
	if v.Verb == "add" {
		if _, exists := catalog.FindVersion(a, key.Version); exists {
			return nil, errors.AlreadyExistsf("version %s", key)
		}
		a.Versions = append(a.Versions, wire.AdapterVersion{Number: key.Version, Weights: v.Weights})
		return []wire.Change{{Adapter: &a}}, nil
	}
	if err := updateVersion(&a, key.Version, v.Verb); err != nil {
		return nil, errors.Trace(err)
	}
	return []wire.Change{{Adapter: &a}}, nil
}

func updateVersion(a *wire.Adapter, number ident.Version, verb string) error {
	for i := range a.Versions {
		if a.Versions[i].Number != number {
			continue
		}
		switch verb {
		case "retire":
			a.Versions[i].Retired = true
			if a.Default == number {
				a.Default = 0
			}
		case "reinstate":
			a.Versions[i].Retired = false
		case "default":
			if a.Versions[i].Retired {
				return errors.NotValidf("retired version %d as default", number)
			}
			a.Default = number
		}
		return nil
	}
	return errors.NotFoundf("version %d of adapter %q", number, a.Name)
}
