package declaration

import (
	"fmt"
	"reflect"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

func formatFileNumber(n int) string { return fmt.Sprintf("%03d", n) }

// Step is one planned change and its description for the operator.
type Step struct {
	Change wire.Change
	Text   string
}

// Plan returns the steps that change the current configuration to the declared
// one. With prune, it deletes objects that are not declared, except adapters and
// targets. Undeclared versions of a declared adapter are not deleted but retired,
// with or without prune.
func Plan(declared, current []wire.Change, prune bool) []Step {
	currentByRef := byRef(current)
	var steps []Step
	declaredRefs := make(map[wire.ObjectRef]bool, len(declared))
	for _, x := range declared {
		ref, _ := catalog.ChangedObject(x)
		declaredRefs[ref] = true
		old, known := currentByRef[ref]
		if known {
			x = keepVersions(x, old)
		}
		switch {
		case !known:
			steps = append(steps, Step{x, fmt.Sprintf("+ %s %s", ref.Kind, ref.Name)})
		case !reflect.DeepEqual(normalize(x), normalize(old)):
			steps = append(steps, Step{x, fmt.Sprintf("~ %s %s", ref.Kind, ref.Name)})
		}
	}
	if prune {
		steps = append(steps, pruneSteps(current, declaredRefs)...)
	}
	return steps
}

func byRef(changes []wire.Change) map[wire.ObjectRef]wire.Change {
	out := make(map[wire.ObjectRef]wire.Change, len(changes))
	for _, x := range changes {
		ref, _ := catalog.ChangedObject(x)
		out[ref] = x
	}
	return out
}

// keepVersions returns x with the undeclared versions of old added as retired
// versions.
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

// normalize returns x with an adapter's versions sorted by number.
func normalize(x wire.Change) wire.Change {
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

func pruneSteps(current []wire.Change, declaredRefs map[wire.ObjectRef]bool) []Step {
	var steps []Step
	for i := len(current) - 1; i >= 0; i-- {
		ref, _ := catalog.ChangedObject(current[i])
		if declaredRefs[ref] || ref.Kind == wire.ObjectAdapter || ref.Kind == wire.ObjectTarget {
			continue
		}
		steps = append(steps, Step{wire.Change{Delete: &ref}, fmt.Sprintf("- %s %s", ref.Kind, ref.Name)})
	}
	return steps
}

// maxBatchSize is the maximum number of changes in one command.
const maxBatchSize = 500

// Batches splits the changes of the steps into batches that are small enough for
// the configuration log, one per command.
func Batches(steps []Step) [][]wire.Change {
	var out [][]wire.Change
	for len(steps) > 0 {
		n := min(len(steps), maxBatchSize)
		batch := make([]wire.Change, n)
		for i, s := range steps[:n] {
			batch[i] = s.Change
		}
		out = append(out, batch)
		steps = steps[n:]
	}
	return out
}
