// Package standin provides fakes of the systems that hyssoproad works with: the
// object API, the VM list, the weight store, engines and plain services. Tests
// switch their faults at run time.
package standin

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/platform"
)

// ObjectFaults are the faults that the object API injects.
type ObjectFaults struct {
	Outage bool `json:"outage"`
	// LoseResponses is the share of updates that take effect but whose response is
	// lost.
	LoseResponses float64 `json:"lose-answers"`
	// DropUpdates is the share of updates that neither take effect nor get a
	// response.
	DropUpdates float64 `json:"drop-updates"`
	DelayMS     int     `json:"delay-ms"`
}

// ObjectCalls counts the calls to the object API.
type ObjectCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Bytes   int64 `json:"bytes-written"`
}

// Objects is an in-memory fake of the object API.
type Objects struct {
	mu      sync.Mutex
	objects map[string]objects.Object
	last    objects.ObjectVersion
	faults  ObjectFaults
	calls   ObjectCalls
	changed chan struct{}
	// history holds the newest changes. Those up to version compacted have been
	// discarded.
	history   []change
	compacted objects.ObjectVersion
	random    *rand.Rand
	// era rises with each return from an older copy. copies are the newest ones, of
	// the state after each change.
	era    platform.Era
	copies []stateCopy
}

// stateCopy is a copy of the state at a time.
type stateCopy struct {
	at      time.Time
	objects map[string]objects.Object
	last    objects.ObjectVersion
}

// maxCopies is the number of copies that are kept.
const maxCopies = 512

func (o *Objects) keepCopy() {
	if len(o.copies) >= maxCopies {
		o.copies = append([]stateCopy(nil), o.copies[1:]...)
	}
	o.copies = append(o.copies, stateCopy{time.Now(), maps.Clone(o.objects), o.last})
}

// Restore returns to a copy of the given age, or to the oldest one. What was acknowledged
// since is lost, and its revisions are given out again.
func (o *Objects) Restore(age time.Duration) {
	o.restore(func(c stateCopy) bool { return time.Since(c.at) >= age })
}

// RestoreRevision returns to the copy of the state at a revision, as Restore does.
func (o *Objects) RestoreRevision(r platform.Revision) {
	o.restore(func(c stateCopy) bool { return platform.Revision(c.last) <= r })
}

// restore returns to the newest copy that is old enough.
func (o *Objects) restore(oldEnough func(stateCopy) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	from := o.copies[0]
	for _, c := range o.copies {
		if oldEnough(c) {
			from = c
		}
	}
	o.objects, o.last = maps.Clone(from.objects), from.last
	o.history = slices.DeleteFunc(o.history, func(c change) bool { return c.object.Version > o.last })
	o.copies = slices.DeleteFunc(o.copies, func(c stateCopy) bool { return c.last > o.last })
	o.era++
	o.notify()
}

// change is a change of an object, as watches report it.
type change struct {
	object  objects.Object
	removed bool
}

// maxHistory is the maximum number of changes in the history.
const maxHistory = 4096

func (o *Objects) appendHistory(c change) {
	if len(o.history) >= maxHistory {
		o.compacted = o.history[0].object.Version
		o.history = append([]change(nil), o.history[1:]...)
	}
	o.history = append(o.history, c)
	o.keepCopy()
}

// DiscardHistory discards the history, as the platform's store may do at any time.
func (o *Objects) DiscardHistory() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history, o.compacted = nil, o.last
	o.notify()
}

// NewObjects returns an empty object API. The seed determines which calls its
// faults affect.
func NewObjects(seed uint64) *Objects {
	return &Objects{
		era: 1, copies: []stateCopy{{objects: make(map[string]objects.Object)}},
		objects: make(map[string]objects.Object),
		changed: make(chan struct{}),
		random:  rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults replaces the faults.
func (o *Objects) SetFaults(f ObjectFaults) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults = f
}

// Calls returns the number of calls so far.
func (o *Objects) Calls() ObjectCalls {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.calls
}

// callFaults are the faults drawn for one call.
type callFaults struct {
	outage, responseLost, updateDropped bool
	delay                               time.Duration
}

func (o *Objects) drawFaults(count *int64) callFaults {
	o.mu.Lock()
	defer o.mu.Unlock()
	*count++
	return callFaults{
		outage:        o.faults.Outage,
		responseLost:  o.random.Float64() < o.faults.LoseResponses,
		updateDropped: o.random.Float64() < o.faults.DropUpdates,
		delay:         time.Duration(o.faults.DelayMS) * time.Millisecond,
	}
}

func (f callFaults) apply(ctx context.Context) error {
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
	if err := o.drawFaults(&o.calls.Reads).apply(ctx); err != nil {
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

// Put creates or replaces an object if its current version is the given one, 0
// for an object that doesn't exist.
func (o *Objects) Put(ctx context.Context, key string, value []byte, version objects.ObjectVersion) (objects.ObjectVersion, error) {
	f := o.drawFaults(&o.calls.Writes)
	if err := f.apply(ctx); err != nil {
		return 0, err
	}
	if f.updateDropped {
		return 0, errors.Annotate(objects.ErrUnavailable, "update dropped")
	}
	newVersion, err := o.put(key, value, version)
	if f.responseLost {
		return 0, errors.Annotate(objects.ErrUnavailable, "response lost")
	}
	return newVersion, err
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
	o.appendHistory(change{object: o.objects[key]})
	o.notify()
	return o.last, nil
}

func (o *Objects) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// Delete removes an object if its current version is the given one.
func (o *Objects) Delete(ctx context.Context, key string, version objects.ObjectVersion) error {
	f := o.drawFaults(&o.calls.Writes)
	if err := f.apply(ctx); err != nil {
		return err
	}
	if f.updateDropped {
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

// remove deletes an object and records the change. The caller holds mu.
func (o *Objects) remove(key string) {
	delete(o.objects, key)
	o.last++
	o.appendHistory(change{object: objects.Object{Key: key, Version: o.last}, removed: true})
	o.notify()
}

// List returns the keys that begin with prefix.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.drawFaults(&o.calls.Reads).apply(ctx); err != nil {
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

// Watch waits until an object's version is above the given one.
func (o *Objects) Watch(ctx context.Context, key string, version objects.ObjectVersion, wait time.Duration) (objects.Object, error) {
	if err := o.drawFaults(&o.calls.Watches).apply(ctx); err != nil {
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
