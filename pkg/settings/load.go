// Package settings reads the programs' settings: JSON with comments, checked
// against the documented structures.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Fault is one fault of a settings file.
type Fault struct {
	File    string
	Line    int
	Key     string // JSON pointer
	Message string
}

// String renders the fault as file:line: key: message.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Message)
}

// Faults is an error that names every fault found.
type Faults []Fault

// Error lists the faults, one a line.
func (f Faults) Error() string {
	rows := make([]string, len(f))
	for i, fault := range f {
		rows[i] = fault.String()
	}
	return strings.Join(rows, "\n")
}

// checker collects the faults of validated values by JSON pointer.
type checker struct {
	found []Fault
}

func (c *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.found = append(c.found, Fault{Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

type validated interface {
	check(c *checker)
}

// Load reads a settings file into v, which holds the defaults. It returns
// Faults if the file does not fit.
func Load(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	return Parse(file, data, v)
}

// Parse is Load for data in memory.
func Parse(file string, data []byte, v any) error {
	tree, err := hujson.Parse(data)
	if err != nil {
		return Faults{{File: file, Line: 1, Key: "/", Message: err.Error()}}
	}
	doc := document{file: file, data: data, tree: tree}
	if faults := doc.unknown(tree, reflect.TypeOf(v), ""); len(faults) > 0 {
		return Faults(faults)
	}
	plain := tree.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), v); err != nil {
		return Faults{doc.typeFault(err)}
	}
	c, ok := v.(validated)
	if !ok {
		return nil
	}
	var found checker
	c.check(&found)
	return doc.locate(found.found)
}

type document struct {
	file string
	data []byte
	tree hujson.Value
}

func (d document) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d document) typeFault(err error) Fault {
	f := Fault{File: d.file, Line: 1, Key: "/", Message: err.Error()}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		f.Line = d.line(int(wrong.Offset))
		f.Key = "/" + strings.ReplaceAll(wrong.Field, ".", "/")
		f.Message = fmt.Sprintf("%s does not fit %s", wrong.Value, wrong.Type)
	}
	return f
}

func (d document) locate(found []Fault) error {
	if len(found) == 0 {
		return nil
	}
	out := make(Faults, 0, len(found))
	for _, f := range found {
		f.File = d.file
		f.Line = 1
		if v := d.tree.Find(f.Key); v != nil {
			f.Line = d.line(v.StartOffset)
		}
		out = append(out, f)
	}
	return out
}

// unknown returns a fault for each member that t has no field for.
func (d document) unknown(v hujson.Value, t reflect.Type, pointer string) []Fault {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		return d.unknownMembers(node, t, pointer)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return nil
		}
		var out []Fault
		for i, element := range node.Elements {
			out = append(out, d.unknown(element, t.Elem(), fmt.Sprintf("%s/%d", pointer, i))...)
		}
		return out
	}
	return nil
}

func (d document) unknownMembers(node *hujson.Object, t reflect.Type, pointer string) []Fault {
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldTypes(t)
	var out []Fault
	for _, m := range node.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := pointer + "/" + name
		field, ok := fields[name]
		if !ok {
			out = append(out, Fault{File: d.file, Line: d.line(m.Name.StartOffset), Key: at, Message: "unknown key"})
			continue
		}
		out = append(out, d.unknown(m.Value, field, at)...)
	}
	return out
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = f.Type
		}
	}
	return out
}
