// Package standin holds small stand-ins for the systems that hyssoproad meets:
// the object API, the VM list, the weight store, engines and plain services.
// Their faults are switched while they run.
package standin

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
)

// ObjectFaults are the faults of the object API.
type ObjectFaults struct {
	Outage bool `json:"outage"`
	// LoseAnswers is the share of updates that take effect unanswered.
	LoseAnswers float64 `json:"lose-answers"`
	// DropUpdates is the share of updates that neither take effect nor are
	// answered.
	DropUpdates float64 `json:"drop-updates"`
	DelayMS     int     `json:"delay-ms"`
}

// ObjectCalls counts the calls of the object API.
type ObjectCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Bytes   int64 `json:"bytes-written"`
}

// Objects is an object API in memory.
type Objects struct {
	mu      sync.Mutex
	objects map[string]objects.Object
	last    objects.ObjectVersion
	faults  ObjectFaults
	calls   ObjectCalls
	changed chan struct{}
	// history holds the newest changes; those up to forgotten are gone.
	history   []change
	forgotten objects.ObjectVersion
	random    *rand.Rand
}

// change is one change that watches report.
type change struct {
	object  objects.Object
	removed bool
}

// maxHistory is the number of changes that are remembered.
const maxHistory = 4096

func (o *Objects) remember(c change) {
	if len(o.history) >= maxHistory {
		o.forgotten = o.history[0].object.Version
		o.history = append([]change(nil), o.history[1:]...)
	}
	o.history = append(o.history, c)
}

// Forget drops the history, as the platform's store may at any time.
func (o *Objects) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history, o.forgotten = nil, o.last
	o.notify()
}

// NewObjects returns an empty object API whose faults strike by seed.
func NewObjects(seed uint64) *Objects {
	return &Objects{
		objects: make(map[string]objects.Object),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults switches faults.
func (o *Objects) SetFaults(f ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// Calls returns the calls so far.
func (o *Objects) Calls() ObjectCalls {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// Client returns the object API as processes use it.
func (o *Objects) Client() objects.Objects {
	return objects.Objects{Get: o.Get, Put: o.Put, Delete: o.Delete, List: o.List, Watch: o.Watch}
}

// fate is what befalls one call.
type fate struct {
	outage, lost, dropped bool
	delay                 time.Duration
}

func (o *Objects) fate(count *int64) fate {
	o.mu.Lock()
	defer o.mu.Unlock()
	*count++
	return fate{
		outage:  o.faults.Outage,
		lost:    o.random.Float64() < o.faults.LoseAnswers,
		dropped: o.random.Float64() < o.faults.DropUpdates,
		delay:   time.Duration(o.faults.DelayMS) * time.Millisecond,
	}
}

func (f fate) begin(ctx context.Context) error {
	if f.delay > 0 {
		select {
		case <-time.After(f.delay):
		case <-ctx.Done():
			return errors.Annotate(objects.ErrUnavailable, "call timed out")
		}
	}
	if f.outage {
		return errors.Annotate(objects.ErrUnavailable, "outage")
	}
	return nil
}

// Get returns an object.
func (o *Objects) Get(ctx context.Context, key string) (objects.Object, error) {
	if err := o.fate(&o.calls.Reads).begin(ctx); err != nil {
		return objects.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	object, ok := o.objects[key]
	if !ok {
		return objects.Object{}, errors.NotFoundf("object %s", key)
	}
	return object, nil
}

// Put updates an object whose version is still the given one.
func (o *Objects) Put(ctx context.Context, key string, value []byte, version objects.ObjectVersion) (objects.ObjectVersion, error) {
	f := o.fate(&o.calls.Writes)
	if err := f.begin(ctx); err != nil {
		return 0, err
	}
	if f.dropped {
		return 0, errors.Annotate(objects.ErrUnavailable, "update dropped")
	}
	written, err := o.put(key, value, version)
	if f.lost {
		return 0, errors.Annotate(objects.ErrUnavailable, "answer lost")
	}
	return written, err
}

func (o *Objects) put(key string, value []byte, version objects.ObjectVersion) (objects.ObjectVersion, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(value) > objects.MaxValueBytes {
		return 0, errors.NotValidf("value of %d bytes", len(value))
	}
	if o.objects[key].Version != version {
		return 0, errors.Annotatef(objects.ErrConflict, "object %s", key)
	}
	o.last++
	o.calls.Bytes += int64(len(value))
	o.objects[key] = objects.Object{Key: key, Value: append([]byte(nil), value...), Version: o.last}
	o.remember(change{object: o.objects[key]})
	o.notify()
	return o.last, nil
}

func (o *Objects) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Delete removes an object whose version is still the given one.
func (o *Objects) Delete(ctx context.Context, key string, version objects.ObjectVersion) error {
	f := o.fate(&o.calls.Writes)
	if err := f.begin(ctx); err != nil {
		return err
	}
	if f.dropped {
		return errors.Annotate(objects.ErrUnavailable, "update dropped")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.objects[key].Version != version {
		return errors.Annotatef(objects.ErrConflict, "object %s", key)
	}
	o.remove(key)
	return nil
}

// remove drops an object. The caller holds mu.
func (o *Objects) remove(key string) {
	delete(o.objects, key)
	o.last++
	o.remember(change{object: objects.Object{Key: key, Version: o.last}, removed: true})
	o.notify()
}

// List returns the keys that begin with prefix.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.fate(&o.calls.Reads).begin(ctx); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var keys []string
	for key := range o.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Watch waits for an object above a version.
func (o *Objects) Watch(ctx context.Context, key string, version objects.ObjectVersion, wait time.Duration) (objects.Object, error) {
	if err := o.fate(&o.calls.Watches).begin(ctx); err != nil {
		return objects.Object{}, err
	}
	timeout := time.After(wait)
	for {
		o.mu.Lock()
		object, changed, outage := o.objects[key], o.changed, o.faults.Outage
		o.mu.Unlock()
		switch {
		case outage:
			return objects.Object{}, errors.Annotate(objects.ErrUnavailable, "outage")
		case object.Version > version:
			return object, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return objects.Object{}, errors.Timeoutf("watch of %s", key)
		case <-ctx.Done():
			return objects.Object{}, errors.Annotate(objects.ErrUnavailable, "watch cancelled")
		}
	}
}
