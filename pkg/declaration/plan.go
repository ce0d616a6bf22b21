package declaration

import (
	"fmt"
	"reflect"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func pad(n int) string { return fmt.Sprintf("%03d", n) }

// Step is one planned change and how it reads.
type Step struct {
	Change wire.Change
	Text   string
}

// Plan returns the steps that bring what is in force to what is declared. With
// prune, objects that are not declared are deleted; adapters are never
// deleted, but versions that are not declared are retired.
func Plan(declared, inForce []wire.Change, prune bool) []Step {
	current := byRef(inForce)
	var steps []Step
	wanted := make(map[wire.ObjectRef]bool, len(declared))
	for _, x := range declared {
		ref, _ := catalog.RefOf(x)
		wanted[ref] = true
		old, known := current[ref]
		if known {
			x = keepVersions(x, old)
		}
		switch {
		case !known:
			steps = append(steps, Step{x, fmt.Sprintf("+ %s %s", ref.Kind, ref.Name)})
		case !reflect.DeepEqual(normal(x), normal(old)):
			steps = append(steps, Step{x, fmt.Sprintf("~ %s %s", ref.Kind, ref.Name)})
		}
	}
	if prune {
		steps = append(steps, pruned(inForce, wanted)...)
	}
	return steps
}

func byRef(changes []wire.Change) map[wire.ObjectRef]wire.Change {
	out := make(map[wire.ObjectRef]wire.Change, len(changes))
	for _, x := range changes {
		ref, _ := catalog.RefOf(x)
		out[ref] = x
	}
	return out
}

// keepVersions adds the versions that are in force and not declared, retired.
func keepVersions(x, old wire.Change) wire.Change {
	if x.Adapter == nil || old.Adapter == nil {
		return x
	}
	a := *x.Adapter
	a.Versions = append([]wire.AdapterVersion(nil), a.Versions...)
	for _, v := range old.Adapter.Versions {
		if _, declared := catalog.FindVersion(a, v.Number); !declared {
			v.Retired = true
			a.Versions = append(a.Versions, v)
		}
	}
	return wire.Change{Adapter: &a}
}

// normal brings an adapter's versions into a fixed order.
func normal(x wire.Change) wire.Change {
	if x.Adapter == nil {
		return x
	}
	a := *x.Adapter
	byNumber := make(map[ident.Version]wire.AdapterVersion, len(a.Versions))
	highest := ident.Version(0)
	for _, v := range a.Versions {
		byNumber[v.Number] = v
		highest = max(highest, v.Number)
	}
	a.Versions = nil
	for n := ident.Version(1); n <= highest; n++ {
		if v, ok := byNumber[n]; ok {
			a.Versions = append(a.Versions, v)
		}
	}
	return wire.Change{Adapter: &a}
}

func pruned(inForce []wire.Change, wanted map[wire.ObjectRef]bool) []Step {
	var steps []Step
	for i := len(inForce) - 1; i >= 0; i-- {
		ref, _ := catalog.RefOf(inForce[i])
		if wanted[ref] || ref.Kind == wire.ObjectAdapter || ref.Kind == wire.ObjectTarget {
			continue
		}
		steps = append(steps, Step{wire.Change{Delete: &ref}, fmt.Sprintf("- %s %s", ref.Kind, ref.Name)})
	}
	return steps
}

// maxBatch is the number of changes that one command carries.
const maxBatch = 500

// Batches splits steps into commands of a size that the log takes.
func Batches(steps []Step) [][]wire.Change {
	var out [][]wire.Change
	for len(steps) > 0 {
		n := min(len(steps), maxBatch)
		batch := make([]wire.Change, n)
		for i, s := range steps[:n] {
			batch[i] = s.Change
		}
		out = append(out, batch)
		steps = steps[n:]
	}
	return out
}
