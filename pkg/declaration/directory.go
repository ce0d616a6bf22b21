// Package declaration reads and writes the configuration as a directory of JSON
// files with comments, which can be kept in version control. It also plans the
// changes that apply such a directory to a running system.
package declaration

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"sort"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/catalog"
	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// File is the content of one declaration file. All fields are optional. The lists
// of several files are combined.
type File struct {
	WeightStore *wire.WeightStore `json:"weight-store,omitempty"`
	Models      []wire.Model      `json:"models,omitempty"`
	Services    []wire.Service    `json:"services,omitempty"`
	Targets     []wire.Target     `json:"targets,omitempty"`
	Callers     []wire.Caller     `json:"callers,omitempty"`
	Adapters    []wire.Adapter    `json:"adapters,omitempty"`
	// Include lists further directories to read, relative to the file.
	Include []string `json:"include,omitempty"`
}

const filePattern = "*.hujson"

// Read returns the objects that a directory and its included directories declare.
// It returns settings.ValidationErrors for an invalid file, and a NotValid error
// for an object that is declared twice.
func Read(dir string) ([]wire.Change, error) {
	r := reader{seen: make(map[wire.ObjectRef]string), visited: make(map[string]bool)}
	if err := r.directory(dir); err != nil {
		return nil, errors.Trace(err)
	}
	SortByKind(r.changes)
	if err := catalog.New().Validate(r.changes); err != nil && len(r.changes) > 0 {
		return nil, errors.Trace(err)
	}
	return r.changes, nil
}

type reader struct {
	changes []wire.Change
	seen    map[wire.ObjectRef]string
	visited map[string]bool
}

func (r *reader) directory(dir string) error {
	dir = filepath.Clean(dir)
	if r.visited[dir] {
		return nil
	}
	r.visited[dir] = true
	info, err := os.Stat(dir)
	if err != nil {
		return errors.Trace(err)
	}
	if !info.IsDir() {
		return errors.NotValidf("%s: not a directory:", dir)
	}
	files, err := filepath.Glob(filepath.Join(dir, filePattern))
	if err != nil {
		return errors.Trace(err)
	}
	for _, file := range files {
		if err := r.file(file); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (r *reader) file(name string) error {
	var f File
	if err := settings.Load(name, &f); err != nil {
		return errors.Trace(err)
	}
	for _, x := range f.changes() {
		ref, err := catalog.ChangedObject(x)
		if err != nil {
			return errors.Trace(err)
		}
		if first, ok := r.seen[ref]; ok {
			return errors.NotValidf("%s: %s %q is already declared in %s:", name, ref.Kind, ref.Name, first)
		}
		r.seen[ref] = name
		r.changes = append(r.changes, x)
	}
	for _, dir := range f.Include {
		if err := r.directory(filepath.Join(filepath.Dir(name), dir)); err != nil {
			return errors.Annotatef(err, "included by %s", name)
		}
	}
	return nil
}

func (f File) changes() []wire.Change {
	var out []wire.Change
	if f.WeightStore != nil {
		out = append(out, wire.Change{Store: f.WeightStore})
	}
	for i := range f.Models {
		out = append(out, wire.Change{Model: &f.Models[i]})
	}
	for i := range f.Services {
		out = append(out, wire.Change{Service: &f.Services[i]})
	}
	for i := range f.Targets {
		out = append(out, wire.Change{Target: &f.Targets[i]})
	}
	for i := range f.Callers {
		out = append(out, wire.Change{Caller: &f.Callers[i]})
	}
	for i := range f.Adapters {
		out = append(out, wire.Change{Adapter: &f.Adapters[i]})
	}
	return out
}

// kindOrder is the order of declarations by kind. Each kind refers only to earlier
// kinds.
var kindOrder = map[wire.ObjectKind]int{
	wire.ObjectWeightStore: 0, wire.ObjectModel: 1, wire.ObjectService: 2,
	wire.ObjectTarget: 3, wire.ObjectCaller: 4, wire.ObjectAdapter: 5,
}

// SortByKind sorts changes by kind and name, so that each refers only to earlier
// ones.
func SortByKind(changes []wire.Change) {
	sort.SliceStable(changes, func(i, j int) bool {
		a, _ := catalog.ChangedObject(changes[i])
		b, _ := catalog.ChangedObject(changes[j])
		if kindOrder[a.Kind] != kindOrder[b.Kind] {
			return kindOrder[a.Kind] < kindOrder[b.Kind]
		}
		return a.Name < b.Name
	})
}

// adaptersPerFile is the maximum number of adapters in a written file. It keeps the
// files small enough to review.
const adaptersPerFile = 1000

// Write writes the objects that changes declare as a directory of files. The format
// is fixed, and objects of one kind keep their order.
func Write(dir string, changes []wire.Change) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Trace(err)
	}
	base, adapters := separateAdapters(changes)
	if err := writeFile(filepath.Join(dir, "system.hujson"), base); err != nil {
		return errors.Trace(err)
	}
	for i := 0; i*adaptersPerFile < len(adapters); i++ {
		part := adapters[i*adaptersPerFile : min((i+1)*adaptersPerFile, len(adapters))]
		name := filepath.Join(dir, "adapters-"+formatFileNumber(i)+".hujson")
		if err := writeFile(name, File{Adapters: part}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func separateAdapters(changes []wire.Change) (File, []wire.Adapter) {
	var f File
	var adapters []wire.Adapter
	for _, x := range changes {
		switch {
		case x.Store != nil:
			f.WeightStore = x.Store
		case x.Model != nil:
			f.Models = append(f.Models, *x.Model)
		case x.Service != nil:
			f.Services = append(f.Services, *x.Service)
		case x.Target != nil:
			f.Targets = append(f.Targets, *x.Target)
		case x.Caller != nil:
			f.Callers = append(f.Callers, *x.Caller)
		case x.Adapter != nil:
			adapters = append(adapters, *x.Adapter)
		}
	}
	return f, adapters
}

func writeFile(name string, f File) error {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(f); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(os.WriteFile(name, buffer.Bytes(), 0o644))
}
