package order

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// CheckValidity is how long a successful check permits orders.
	CheckValidity = time.Second
	// TakeoverWait is how long a new incarnation waits before its first
	// order to a target that ignores fencing numbers: the validity of its
	// predecessor's last check, the longest send, and clock drift.
	TakeoverWait = 4 * time.Second
)

// ErrSuperseded is returned when a later incarnation holds the target.
const ErrSuperseded = errors.ConstError("superseded by a later incarnation")

// Fence issues an agent's fencing number and tells whether it is still the
// highest.
type Fence struct {
	objects objects.Objects
	key     string
	// Highest returns the highest incarnation that home entries confirmed
	// recently, or false when none did. It stands in for the object API
	// during its outages.
	Highest func() (ident.Incarnation, bool)

	mu     sync.Mutex
	number ident.Incarnation
	lost   bool
	good   time.Time // end of the last check's validity
}

// NewFence returns a fence for a target.
func NewFence(objects objects.Objects, target ident.Target) *Fence {
	return &Fence{
		objects: objects,
		key:     "incarnations/" + string(target),
		Highest: func() (ident.Incarnation, bool) { return 0, false },
	}
}

// Acquire takes the next fencing number. It tries until ctx ends.
func (f *Fence) Acquire(ctx context.Context) (ident.Incarnation, error) {
	write := uuid.NewString()
	for {
		number, err := f.tryAcquire(ctx, write)
		if err == nil {
			f.hold(number)
			return number, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Annotate(err, "acquiring fencing number")
		case <-time.After(acquireRetry):
		}
	}
}

const acquireRetry = 200 * time.Millisecond

func (f *Fence) tryAcquire(ctx context.Context, write string) (ident.Incarnation, error) {
	current, version, err := f.read(ctx)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if current.Write == write {
		return current.Number, nil // an earlier try took effect, its answer was lost
	}
	next := wire.IncarnationObject{Number: current.Number + 1, Write: write}
	value, err := next.MarshalMsg(nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if _, err := f.objects.Put(ctx, f.key, value, version); err != nil {
		return 0, errors.Trace(err)
	}
	return next.Number, nil
}

func (f *Fence) read(ctx context.Context) (wire.IncarnationObject, objects.ObjectVersion, error) {
	var current wire.IncarnationObject
	object, err := f.objects.Get(ctx, f.key)
	if errors.Is(err, errors.NotFound) {
		return current, 0, nil
	}
	if err != nil {
		return current, 0, errors.Trace(err)
	}
	_, err = current.UnmarshalMsg(object.Value)
	return current, object.Version, errors.Trace(err)
}

func (f *Fence) hold(number ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number = number
}

// Number returns the agent's fencing number.
func (f *Fence) Number() ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.number
}

// Check returns nil if an order may be sent now, and the time until which that
// holds. It returns ErrSuperseded once a later incarnation is known; that is
// final.
func (f *Fence) Check(ctx context.Context) (time.Time, error) {
	asked := time.Now()
	if good, err := f.cached(asked); err != nil || asked.Before(good) {
		return good, err
	}
	current, _, err := f.read(ctx)
	highest := current.Number
	if err != nil {
		var confirmed bool
		if highest, confirmed = f.Highest(); !confirmed {
			return time.Time{}, errors.Annotate(err, "checking fencing number")
		}
	}
	return f.settle(highest, asked)
}

func (f *Fence) cached(now time.Time) (time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return time.Time{}, ErrSuperseded
	}
	return f.good, nil
}

func (f *Fence) settle(highest ident.Incarnation, asked time.Time) (time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if highest > f.number {
		f.lost = true
		return time.Time{}, ErrSuperseded
	}
	f.good = asked.Add(CheckValidity)
	return f.good, nil
}

// Supersede records that a later incarnation was heard of.
func (f *Fence) Supersede(highest ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if highest > f.number {
		f.lost = true
	}
}

// Superseded reports whether a later incarnation holds the target.
func (f *Fence) Superseded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}
