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

	"github.com/hyssoproad/hyssoproad/pkg/platform"
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
	objects map[string]platform.Object
	last    platform.ObjectVersion
	faults  ObjectFaults
	calls   ObjectCalls
	changed chan struct{}
	random  *rand.Rand
}

// NewObjects returns an empty object API whose faults strike by seed.
func NewObjects(seed uint64) *Objects {
	return &Objects{
		objects: make(map[string]platform.Object),
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
func (o *Objects) Client() platform.Objects {
	return platform.Objects{Get: o.Get, Put: o.Put, Delete: o.Delete, List: o.List, Watch: o.Watch}
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
			return errors.Annotate(platform.ErrUnavailable, "call timed out")
		}
	}
	if f.outage {
		return errors.Annotate(platform.ErrUnavailable, "outage")
	}
	return nil
}

// Get returns an object.
func (o *Objects) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := o.fate(&o.calls.Reads).begin(ctx); err != nil {
		return platform.Object{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	object, ok := o.objects[key]
	if !ok {
		return platform.Object{}, errors.NotFoundf("object %s", key)
	}
	return object, nil
}

// Put updates an object whose version is still the given one.
func (o *Objects) Put(ctx context.Context, key string, value []byte, version platform.ObjectVersion) (platform.ObjectVersion, error) {
	f := o.fate(&o.calls.Writes)
	if err := f.begin(ctx); err != nil {
		return 0, err
	}
	if f.dropped {
		return 0, errors.Annotate(platform.ErrUnavailable, "update dropped")
	}
	written, err := o.put(key, value, version)
	if f.lost {
		return 0, errors.Annotate(platform.ErrUnavailable, "answer lost")
	}
	return written, err
}

func (o *Objects) put(key string, value []byte, version platform.ObjectVersion) (platform.ObjectVersion, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(value) > platform.MaxValueBytes {
		return 0, errors.NotValidf("value of %d bytes", len(value))
	}
	if o.objects[key].Version != version {
		return 0, errors.Annotatef(platform.ErrConflict, "object %s", key)
	}
	o.last++
	o.calls.Bytes += int64(len(value))
	o.objects[key] = platform.Object{Key: key, Value: append([]byte(nil), value...), Version: o.last}
	o.notify()
	return o.last, nil
}

func (o *Objects) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Delete removes an object whose version is still the given one.
func (o *Objects) Delete(ctx context.Context, key string, version platform.ObjectVersion) error {
	f := o.fate(&o.calls.Writes)
	if err := f.begin(ctx); err != nil {
		return err
	}
	if f.dropped {
		return errors.Annotate(platform.ErrUnavailable, "update dropped")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.objects[key].Version != version {
		return errors.Annotatef(platform.ErrConflict, "object %s", key)
	}
	delete(o.objects, key)
	o.notify()
	return nil
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
func (o *Objects) Watch(ctx context.Context, key string, version platform.ObjectVersion, wait time.Duration) (platform.Object, error) {
	if err := o.fate(&o.calls.Watches).begin(ctx); err != nil {
		return platform.Object{}, err
	}
	timeout := time.After(wait)
	for {
		o.mu.Lock()
		object, changed, outage := o.objects[key], o.changed, o.faults.Outage
		o.mu.Unlock()
		switch {
		case outage:
			return platform.Object{}, errors.Annotate(platform.ErrUnavailable, "outage")
		case object.Version > version:
			return object, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return platform.Object{}, errors.Timeoutf("watch of %s", key)
		case <-ctx.Done():
			return platform.Object{}, errors.Annotate(platform.ErrUnavailable, "watch cancelled")
		}
	}
}
