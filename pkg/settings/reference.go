package settings

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/juju/errors"
)

// WriteReference writes the reference page of all settings in Markdown. The
// descriptions come from the comments in the package's source in dir, and the
// defaults from DefaultEntry and DefaultAgent.
func WriteReference(out io.Writer, dir string) error {
	comments, err := fieldComments(dir)
	if err != nil {
		return errors.Trace(err)
	}
	r := reference{out: out, comments: comments}
	fmt.Fprint(out, "# Settings\n\nJSON with comments. Made from the code by `hyssoproad-bench settings-reference`.\n")
	r.program("hyssoproad-entry", reflect.ValueOf(DefaultEntry()))
	r.program("hyssoproad-agent", reflect.ValueOf(DefaultAgent()))
	r.printf("%s", responseLimits)
	return errors.Trace(r.err)
}

// responseLimits tells the limits of pkg/gateway, pkg/forward and platform, which are no
// settings. Tests there compare it with their constants.
const responseLimits = `
## Limits of targets' responses on the users' platform

hyssoproad-gateway and hyssoproad-orderer read the platform's settings file, whose
fields the platform defines. These limits are constants. A response beyond one is a
failure of its target, and its connection is closed.

| what | bytes | time |
|---|---|---|
| head of a response | 4096 | the request's deadline; if another target may take the request, 2 latency objectives, at least 300 ms, then again and again until one does |
| informational heads before it | 8 heads | as the head |
| responses to earlier requests before it | 2 responses of 65536 | as the head |
| body of a request that was not run | 65536 | as the head |
| trailer of a chunked body | 32 lines | as the body |
| body that is not a stream | 16777216; beyond 4096 all such bodies share an eighth of the VM's memory, also failures that are held back | the request's deadline |
| event of a stream | 131072; beyond 4096 it shares the same eighth | the request's deadline; if the stream can resume, 4 pause objectives without a whole event, at least 800 ms, then again and again until another target takes it |
| engine's answer to its orderer, head | 8192 | 400 ms, for an order 100 ms |
| engine's answer to its orderer, body | 262144 | 400 ms, for an order 100 ms |
| page of a list of the store | 8388608 | 2 s, for a watch its wait and a fifth of the time to settle |

Bodies of requests are bounded by the configuration's limit; beyond 4096 bytes they
share the same eighth, and a request for whose body there is no memory gets 503.
`

type reference struct {
	out      io.Writer
	comments map[string]string // by Type.Field
	err      error
}

func (r *reference) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(r.out, format, args...); err != nil && r.err == nil {
		r.err = err
	}
}

func (r *reference) program(name string, v reflect.Value) {
	r.printf("\n## %s\n\n| key | type | default | meaning |\n|---|---|---|---|\n", name)
	r.fields("", v)
}

func (r *reference) fields(prefix string, v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			r.fields(prefix, v.Field(i))
			continue
		}
		key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		r.field(prefix+key, t.Name(), f, v.Field(i))
	}
}

func (r *reference) field(key, structName string, f reflect.StructField, v reflect.Value) {
	if f.Type.Kind() == reflect.Struct {
		r.fields(key+".", v)
		return
	}
	if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
		r.row(key, "list", "", r.comments[structName+"."+f.Name])
		r.fields(key+"[].", reflect.New(f.Type.Elem()).Elem())
		return
	}
	r.row(key, typeName(f.Type), formatDefault(v), r.comments[structName+"."+f.Name])
}

func (r *reference) row(key, typ, defaultValue, description string) {
	r.printf("| `%s` | %s | %s | %s |\n", key, typ, defaultValue, description)
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "duration"
	case t.Kind() == reflect.Slice:
		return "list of texts"
	case t.Kind() == reflect.String:
		return "text"
	case t.Kind() == reflect.Bool:
		return "bool"
	}
	return "number"
}

func formatDefault(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	if d, ok := v.Interface().(Duration); ok {
		return time.Duration(d).String()
	}
	return fmt.Sprint(v.Interface())
}

// fieldComments returns the doc comments of all struct fields by Type.Field.
func fieldComments(dir string) (map[string]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	out := make(map[string]string)
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			return nil, errors.Trace(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok {
				collectComments(out, spec.Name.Name, s)
			}
			return false
		})
	}
	return out, nil
}

func collectComments(out map[string]string, structName string, s *ast.StructType) {
	for _, f := range s.Fields.List {
		for _, name := range f.Names {
			out[structName+"."+name.Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
		}
	}
}
