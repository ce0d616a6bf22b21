package gateway

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/link"
)

// stateOf returns all that is reachable from a value as text, but for connections, whose
// counters of frames and bytes a question advances, and for functions and channels.
func stateOf(values ...any) string {
	d := &stateDump{seen: make(map[uintptr]bool)}
	for _, v := range values {
		d.write(reflect.ValueOf(v))
		d.WriteByte('\n')
	}
	return d.String()
}

type stateDump struct {
	strings.Builder
	seen map[uintptr]bool
}

var connectionTypes = []reflect.Type{reflect.TypeFor[link.Conn](), reflect.TypeFor[forward.Conn]()}

func (d *stateDump) write(v reflect.Value) {
	switch v.Kind() {
	case reflect.Invalid, reflect.Func, reflect.Chan, reflect.UnsafePointer:
	case reflect.Pointer:
		if v.IsNil() || d.seen[v.Pointer()] {
			return
		}
		for _, t := range connectionTypes {
			if v.Type().Elem() == t {
				return
			}
		}
		d.seen[v.Pointer()] = true
		d.write(v.Elem())
	case reflect.Interface:
		d.write(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fmt.Fprintf(d, "%s:", v.Type().Field(i).Name)
			d.write(v.Field(i))
			d.WriteByte(' ')
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			d.write(v.Index(i))
			d.WriteByte(',')
		}
	case reflect.Map:
		d.writeMap(v)
	default:
		fmt.Fprintf(d, "%v", v)
	}
}

// writeMap writes a map in the order of its keys, and of their addresses if they are
// connections.
func (d *stateDump) writeMap(v reflect.Value) {
	type entry struct {
		key   string
		value reflect.Value
	}
	var entries []entry
	for _, key := range v.MapKeys() {
		k := &stateDump{seen: make(map[uintptr]bool)}
		k.write(key)
		if key.Kind() == reflect.Pointer {
			fmt.Fprintf(k, "%x", key.Pointer())
		}
		entries = append(entries, entry{k.String(), v.MapIndex(key)})
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].key < entries[j].key })
	for _, e := range entries {
		fmt.Fprintf(d, "%q=>", e.key)
		d.write(e.value)
		d.WriteByte(';')
	}
}
