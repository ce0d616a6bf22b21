// Package settings reads and validates the programs' settings, which are files of
// JSON with comments.
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

// ValidationError is one error in a settings file.
type ValidationError struct {
	File    string
	Line    int
	Key     string // JSON pointer
	Message string
}

// String formats the error as file:line: key: message.
func (e ValidationError) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Message)
}

// ValidationErrors lists the errors found in a settings file.
type ValidationErrors []ValidationError

// Error returns the errors, one per line.
func (l ValidationErrors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// checker collects validation errors, each with the JSON pointer of the invalid
// value.
type checker struct {
	errs []ValidationError
}

func (c *checker) require(ok bool, key, format string, args ...any) {
	if !ok {
		c.errs = append(c.errs, ValidationError{Key: key, Message: fmt.Sprintf(format, args...)})
	}
}

type validator interface {
	check(c *checker)
}

// Load reads a settings file into v, which holds the defaults. It returns
// ValidationErrors if the file is invalid.
func Load(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	return Parse(file, data, v)
}

// Parse is like Load but takes the content of the file.
func Parse(file string, data []byte, v any) error {
	tree, err := hujson.Parse(data)
	if err != nil {
		return ValidationErrors{{File: file, Line: 1, Key: "/", Message: err.Error()}}
	}
	doc := document{file: file, data: data, tree: tree}
	if errs := doc.unknownKeys(tree, reflect.TypeOf(v), ""); len(errs) > 0 {
		return ValidationErrors(errs)
	}
	plain := tree.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), v); err != nil {
		return ValidationErrors{doc.typeError(err)}
	}
	value, ok := v.(validator)
	if !ok {
		return nil
	}
	var c checker
	value.check(&c)
	return doc.addPositions(c.errs)
}

type document struct {
	file string
	data []byte
	tree hujson.Value
}

func (d document) line(offset int) int {
	return 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
}

func (d document) typeError(err error) ValidationError {
	out := ValidationError{File: d.file, Line: 1, Key: "/", Message: err.Error()}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		out.Line = d.line(int(typeErr.Offset))
		out.Key = "/" + strings.ReplaceAll(typeErr.Field, ".", "/")
		out.Message = fmt.Sprintf("%s is not a valid %s", typeErr.Value, typeErr.Type)
	}
	return out
}

func (d document) addPositions(errs []ValidationError) error {
	if len(errs) == 0 {
		return nil
	}
	out := make(ValidationErrors, 0, len(errs))
	for _, e := range errs {
		e.File = d.file
		e.Line = 1
		if v := d.tree.Find(e.Key); v != nil {
			e.Line = d.line(v.StartOffset)
		}
		out = append(out, e)
	}
	return out
}

// unknownKeys returns an error for each key that has no field in t.
func (d document) unknownKeys(v hujson.Value, t reflect.Type, pointer string) []ValidationError {
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
		var out []ValidationError
		for i, element := range node.Elements {
			out = append(out, d.unknownKeys(element, t.Elem(), fmt.Sprintf("%s/%d", pointer, i))...)
		}
		return out
	}
	return nil
}

func (d document) unknownMembers(node *hujson.Object, t reflect.Type, pointer string) []ValidationError {
	if t.Kind() != reflect.Struct {
		return nil
	}
	fields := fieldTypes(t)
	var out []ValidationError
	for _, m := range node.Members {
		name := m.Name.Value.(hujson.Literal).String()
		child := pointer + "/" + name
		field, ok := fields[name]
		if !ok {
			out = append(out, ValidationError{File: d.file, Line: d.line(m.Name.StartOffset), Key: child, Message: "unknown key"})
			continue
		}
		out = append(out, d.unknownKeys(m.Value, field, child)...)
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
