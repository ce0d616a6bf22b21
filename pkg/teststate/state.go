// Package teststate turns all that is reachable from values into text, so that tests can show
// that a question changes nothing.
package teststate

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"sync"
	"unsafe"

	"github.com/hyssoproad/hyssoproad/pkg/forward"
	"github.com/hyssoproad/hyssoproad/pkg/link"
)

// Of returns all that is reachable from a value as text, but for connections, whose
// counters of frames and bytes a question advances, and for functions and channels. It holds
// the locks that guard what it reads.
func Of(values ...any) string {
	d := &dump{seen: make(map[uintptr]bool)}
	for _, v := range values {
		d.write(reflect.ValueOf(v))
		d.WriteByte('\n')
	}
	return d.String()
}

type dump struct {
	strings.Builder
	seen map[uintptr]bool
}

var connectionTypes = []reflect.Type{reflect.TypeFor[link.Conn](), reflect.TypeFor[forward.Conn]()}

func (d *dump) write(v reflect.Value) {
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
		if v.Type().PkgPath() == "sync/atomic" {
			d.writeAtomic(v)
			return
		}
		for i := range v.NumField() {
			if unlock, locked := lockField(v.Field(i)); locked {
				defer unlock()
			}
		}
		for i := range v.NumField() {
			if v.Type().Field(i).Type.PkgPath() == "sync" {
				continue
			}
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

// lockField locks a field that is a lock.
func lockField(v reflect.Value) (unlock func(), locked bool) {
	if !v.CanAddr() {
		return nil, false
	}
	at := unsafe.Pointer(v.UnsafeAddr())
	switch v.Type() {
	case reflect.TypeFor[sync.Mutex]():
		m := (*sync.Mutex)(at)
		return m.Unlock, m.TryLock()
	case reflect.TypeFor[sync.RWMutex]():
		m := (*sync.RWMutex)(at)
		return m.Unlock, m.TryLock()
	}
	return nil, false
}

// writeAtomic writes a value of package atomic.
func (d *dump) writeAtomic(v reflect.Value) {
	if !v.CanAddr() {
		return
	}
	load := reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).MethodByName("Load")
	if load.IsValid() {
		d.write(load.Call(nil)[0])
	}
}

// writeMap writes a map in the order of its keys, and of their addresses if they are
// connections.
func (d *dump) writeMap(v reflect.Value) {
	type entry struct {
		key   string
		value reflect.Value
	}
	var entries []entry
	for _, key := range v.MapKeys() {
		k := &dump{seen: make(map[uintptr]bool)}
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
