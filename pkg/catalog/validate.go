package catalog

import (
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	maxPriority     = 9
	maxVersions     = 64
	maxTokens       = 32768
	maxDeadlineMS   = 600_000
	tokenHashLength = 64
)

// Validate checks that all changes can be applied to the catalog in order. If
// not, it returns an error, usually NotValid, that names the object and the
// cause. A change may refer to objects that an earlier change of the same command
// declares.
func (c *Catalog) Validate(changes []wire.Change) error {
	if len(changes) == 0 {
		return errors.NotValidf("command without changes")
	}
	v := validator{c: c, declared: make(map[wire.ObjectRef]bool)}
	for _, x := range changes {
		ref, err := ChangedObject(x)
		if err != nil {
			return errors.Trace(err)
		}
		if err := v.check(x); err != nil {
			return errors.Annotatef(err, "%s %s", ref.Kind, ref.Name)
		}
		v.declared[ref] = x.Delete == nil
	}
	return nil
}

type validator struct {
	c        *Catalog
	declared map[wire.ObjectRef]bool
}

func (v validator) check(x wire.Change) error {
	ref, err := ChangedObject(x)
	if err != nil {
		return errors.Trace(err)
	}
	if ref.Kind != wire.ObjectWeightStore {
		if err := ident.CheckName(ref.Name); err != nil {
			return errors.Trace(err)
		}
	}
	switch {
	case x.Service != nil:
		return v.checkService(*x.Service)
	case x.Adapter != nil:
		return v.checkAdapter(*x.Adapter)
	case x.Caller != nil:
		return v.checkCaller(*x.Caller)
	case x.Store != nil:
		return v.checkStore(*x.Store)
	case x.Delete != nil:
		return v.checkDelete(*x.Delete)
	}
	return nil
}

func (v validator) exists(kind wire.ObjectKind, name string) bool {
	if declared, ok := v.declared[wire.ObjectRef{Kind: kind, Name: name}]; ok {
		return declared
	}
	return v.c.Has(wire.ObjectRef{Kind: kind, Name: name})
}

// Has reports whether the catalog declares an object.
func (c *Catalog) Has(ref wire.ObjectRef) bool {
	if ref.Kind == wire.ObjectAdapter {
		_, ok := c.Adapter(ident.Adapter(ref.Name))
		return ok
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	ok := false
	switch ref.Kind {
	case wire.ObjectService:
		_, ok = c.services[ident.Service(ref.Name)]
	case wire.ObjectModel:
		_, ok = c.models[ident.Model(ref.Name)]
	case wire.ObjectCaller:
		_, ok = c.callers[ident.Caller(ref.Name)]
	case wire.ObjectTarget:
		_, ok = c.targets[ident.Target(ref.Name)]
	case wire.ObjectWeightStore:
		ok = c.store != nil
	}
	return ok
}

func (v validator) checkService(s wire.Service) error {
	if s.Kind != wire.KindEngine && s.Kind != wire.KindService {
		return errors.NotValidf("kind %q: neither engine nor service:", s.Kind)
	}
	if s.Kind == wire.KindEngine && !v.exists(wire.ObjectModel, string(s.Model)) {
		return errors.NotValidf("undeclared model %q", s.Model)
	}
	if s.Role == "" {
		return errors.NotValidf("missing role")
	}
	if s.Balance < 0 || s.Balance > 1 {
		return errors.NotValidf("balance %g: outside 0 to 1:", s.Balance)
	}
	if s.MaxTokens < 0 || s.MaxTokens > maxTokens {
		return errors.NotValidf("max-tokens %d: outside 0 to %d:", s.MaxTokens, maxTokens)
	}
	if s.DeadlineMS < 0 || s.DeadlineMS > maxDeadlineMS {
		return errors.NotValidf("deadline-ms %d: outside 0 to %d:", s.DeadlineMS, maxDeadlineMS)
	}
	for _, o := range s.Objectives {
		if err := checkObjective(o); err != nil {
			return errors.Annotate(err, "objective")
		}
	}
	return nil
}

func checkObjective(o wire.Objective) error {
	for _, share := range []float64{o.Availability, o.StallShare, o.FirstTokenShare, o.GapShare} {
		if share < 0 || share >= 1 {
			return errors.NotValidf("share %g: must be at least 0 and below 1:", share)
		}
	}
	if o.StallMS < 0 || o.FirstTokenMS < 0 || o.GapMS < 0 {
		return errors.NotValidf("negative time")
	}
	return nil
}

func (v validator) checkAdapter(a wire.Adapter) error {
	if !v.exists(wire.ObjectService, string(a.Service)) {
		return errors.NotValidf("undeclared service %q", a.Service)
	}
	if len(a.Versions) > maxVersions {
		return errors.NotValidf("%d versions: more than %d:", len(a.Versions), maxVersions)
	}
	seen := make(map[ident.Version]bool, len(a.Versions))
	for _, version := range a.Versions {
		if version.Number == 0 || seen[version.Number] {
			return errors.NotValidf("version %d: number is zero or repeated:", version.Number)
		}
		if version.Weights == "" {
			return errors.NotValidf("version %d without weights", version.Number)
		}
		seen[version.Number] = true
	}
	if a.Default != 0 && !seen[a.Default] {
		return errors.NotValidf("default version %d: undeclared:", a.Default)
	}
	return v.checkVersionsKept(a)
}

// checkVersionsKept refuses to remove a version or to change its weights, since
// responses would then no longer come from the version that the request names.
func (v validator) checkVersionsKept(a wire.Adapter) error {
	old, ok := v.c.Adapter(a.Name)
	if !ok {
		return nil
	}
	for _, oldVersion := range old.Versions {
		newVersion, ok := FindVersion(a, oldVersion.Number)
		if !ok {
			return errors.NotValidf("version %d: removed instead of retired:", oldVersion.Number)
		}
		if oldVersion.Weights != newVersion.Weights {
			return errors.NotValidf("version %d: changed weights:", oldVersion.Number)
		}
	}
	return nil
}

func (v validator) checkCaller(caller wire.Caller) error {
	if len(caller.TokenHash) != tokenHashLength {
		return errors.NotValidf("token-hash of %d characters: not a SHA-256 in hexadecimal:", len(caller.TokenHash))
	}
	if caller.InFlight < 0 {
		return errors.NotValidf("in-flight %d: negative:", caller.InFlight)
	}
	if owner, ok := v.c.tokenOwner(caller.TokenHash); ok && owner != caller.Name {
		return errors.NotValidf("token-hash: already used by caller %q:", owner)
	}
	for _, rule := range caller.Rules {
		if !v.exists(wire.ObjectService, string(rule.Service)) {
			return errors.NotValidf("rule for undeclared service %q", rule.Service)
		}
		if rule.Priority < 0 || rule.Priority > maxPriority {
			return errors.NotValidf("priority %d: outside 0 to %d:", rule.Priority, maxPriority)
		}
	}
	return nil
}

func (c *Catalog) tokenOwner(hash string) (ident.Caller, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	owner, ok := c.tokens[hash]
	return owner, ok
}

func (v validator) checkStore(s wire.WeightStore) error {
	if s.LoadsPerSecond <= 0 || s.InFlight <= 0 || s.MaxEngines <= 0 {
		return errors.NotValidf("weight-store: loads-per-second, in-flight and engines must be above zero:")
	}
	return nil
}

func (v validator) checkDelete(ref wire.ObjectRef) error {
	if !v.exists(ref.Kind, ref.Name) {
		return errors.NotFoundf("%s %q", ref.Kind, ref.Name)
	}
	switch ref.Kind {
	case wire.ObjectService:
		return v.checkUnused(ident.Service(ref.Name))
	case wire.ObjectAdapter:
		return errors.NotValidf("deletion of an adapter: retire its versions instead:")
	}
	return nil
}

func (v validator) checkUnused(service ident.Service) error {
	for _, a := range v.c.Adapters() {
		if a.Service == service {
			return errors.NotValidf("service still used by adapter %q", a.Name)
		}
	}
	return nil
}
