//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the metadata store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
	kind     string
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletion-pending"`
}

// change is one entry of the store's history.
type change struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
}

// store is a stand-in for the platform's metadata store. It loses nothing and its
// responses are linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]object // by kind/name
	history  []change
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]object), changed: make(chan struct{})}
}

func (s *store) serve(l net.Listener) { go func() { _ = http.Serve(l, s) }() }

// put writes an object, whatever its revision is.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind+"/"+name]
	s.write(kind, name, b, o)
}

// write stores a new content of an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage, o object) object {
	s.revision++
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.kind, o.Spec, o.Metadata.Name, o.Metadata.Revision, o.Metadata.Finalizers = kind, spec, name, s.revision, []string{}
	s.objects[kind+"/"+name] = o
	s.note(change{Object: o})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind+"/"+name]
	if !found {
		return
	}
	s.revision++
	delete(s.objects, kind+"/"+name)
	o.Metadata.Revision = s.revision
	s.note(change{Object: o, Removed: true})
}

func (s *store) note(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the calls of the protocol page.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, found := s.objects[kind+"/"+name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && found, found && in.Metadata.Revision != 0 && in.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && !found:
		w.WriteHeader(http.StatusNotFound)
	default:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec, o))
	}
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, o := range s.objects {
		if o.kind == kind {
			items = append(items, o)
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, "as-of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.Object.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "as-of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has disconnected
}
