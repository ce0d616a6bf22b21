//go:build review

package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store (PROTOCOL.md).
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]stored
	history  []change
	changed  chan struct{}
}

type stored struct {
	revision, created uint64
	spec              json.RawMessage
}

type change struct {
	kind, name string
	object     stored
	removed    bool
	revision   uint64
}

func newStore() *store {
	return &store{revision: 500, kinds: make(map[string]map[string]stored), changed: make(chan struct{})}
}

func wireObject(name string, o stored) map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deletion-pending": false},
		"spec":     o.spec, "status": nil,
	}
}

// put writes an object and returns its revision. A write that changes nothing has no effect.
func (s *store) put(kind, name string, spec any) uint64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(kind, name, text)
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) uint64 {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]stored)
	}
	old, known := s.kinds[kind][name]
	if known && string(old.spec) == string(spec) {
		return old.revision
	}
	s.revision++
	o := stored{revision: s.revision, created: s.revision, spec: spec}
	if known {
		o.created = old.created
	}
	s.kinds[kind][name] = o
	s.changeLocked(change{kind: kind, name: name, object: o, revision: s.revision})
	return s.revision
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.revision = s.revision
	s.changeLocked(change{kind: kind, name: name, object: o, removed: true, revision: s.revision})
}

func (s *store) changeLocked(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	body, _ := io.ReadAll(r.Body)
	switch r.Method {
	case http.MethodGet:
		switch {
		case name != "":
			s.get(w, kind, name)
		case r.URL.Query().Has("watch"):
			s.watch(w, r, kind)
		default:
			s.list(w, r, kind)
		}
	case http.MethodPost, http.MethodPut:
		s.write(w, r, kind, name, body)
	case http.MethodDelete:
		s.delete(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.kinds[kind][name]
	s.mu.Unlock()
	if !known {
		answer(w, 404, map[string]any{})
		return
	}
	answer(w, 200, wireObject(name, o))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	names := make([]string, 0, len(s.kinds[kind]))
	for name := range s.kinds[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > 500
	if more {
		names = names[:500]
	}
	items := []any{}
	for _, name := range names {
		items = append(items, wireObject(name, s.kinds[kind][name]))
	}
	revision := s.revision
	s.mu.Unlock()
	answer(w, 200, map[string]any{"items": items, "more": more, "as-of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > from {
				events = append(events, map[string]any{"removed": c.removed, "object": wireObject(c.name, c.object)})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "as-of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, 200, map[string]any{"events": events, "as-of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var in struct {
		Metadata struct {
			Name     string  `json:"name"`
			Revision *uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(body, &in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old, known := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && known:
		answer(w, 409, wireObject(name, old))
	case r.Method == http.MethodPut && !known:
		answer(w, 404, map[string]any{})
	case r.Method == http.MethodPut && in.Metadata.Revision != nil && *in.Metadata.Revision != old.revision:
		answer(w, 409, wireObject(name, old))
	default:
		s.putLocked(kind, name, in.Spec)
		answer(w, 200, wireObject(name, s.kinds[kind][name]))
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.kinds[kind][name]
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	switch {
	case !known:
		answer(w, 404, map[string]any{})
	case revision != 0 && revision != old.revision:
		answer(w, 409, wireObject(name, old))
	default:
		s.removeLocked(kind, name)
		answer(w, 200, wireObject(name, old))
	}
}
