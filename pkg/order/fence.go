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
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	// CheckValidity is how long orders may be sent after a successful check.
	CheckValidity = time.Second
	// TakeoverWait is how long a new incarnation waits before its first order to a
	// target that ignores fencing tokens. It covers the validity of the
	// predecessor's last check, the longest send, and clock drift.
	TakeoverWait = 4 * time.Second
)

// ErrSuperseded is returned once a later incarnation holds the target.
const ErrSuperseded = errors.ConstError("superseded by a later incarnation")

// Fence acquires an agent's fencing token and checks that it is still the highest.
type Fence struct {
	objects objects.Objects
	key     string
	// Highest returns the highest incarnation that home entries have recently
	// confirmed, or false if none has. It replaces the object API during outages of
	// that API.
	Highest func() (ident.Incarnation, bool)

	mu         sync.Mutex
	number     ident.Incarnation
	write      string // id of the write that acquired the number
	superseded bool
	validUntil time.Time // time until which the last check is valid
}

// NewFence returns a fence for a target.
func NewFence(objects objects.Objects, target ident.Target) *Fence {
	return &Fence{
		objects: objects,
		key:     "incarnations/" + string(target),
		Highest: func() (ident.Incarnation, bool) { return 0, false },
	}
}

// Acquire acquires the next fencing token. It retries until ctx is done.
func (f *Fence) Acquire(ctx context.Context) (ident.Incarnation, error) {
	write := uuid.NewString()
	for {
		number, err := f.tryAcquire(ctx, write)
		if err == nil {
			f.setNumber(number, write)
			return number, nil
		}
		select {
		case <-ctx.Done():
			return 0, errors.Annotate(err, "acquiring fencing token")
		case <-time.After(acquireRetryInterval):
		}
	}
}

const acquireRetryInterval = 200 * time.Millisecond

func (f *Fence) tryAcquire(ctx context.Context, write string) (ident.Incarnation, error) {
	current, version, err := f.read(ctx)
	if err != nil {
		return 0, errors.Trace(err)
	}
	lowest := lowestToken(f.objects.Era())
	if current.Write == write && current.Number >= lowest {
		return current.Number, nil // an earlier try succeeded, but its reply was lost
	}
	next := wire.IncarnationObject{Number: max(current.Number+1, lowest), Write: write}
	written, err := f.put(ctx, next, version)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if next.Number < lowestToken(written.Era()) {
		return 0, errors.Errorf("fencing token %d is of an earlier era than %d", next.Number, written.Era())
	}
	return next.Number, nil
}

// eraBits is the number of the low bits of a token that count the agents of an era.
const eraBits = 32

// lowestToken returns the lowest token that may be acquired in an era of the store's history.
// It is above those of earlier eras, which the store may have lost.
func lowestToken(era platform.Era) ident.Incarnation {
	if era <= 1 {
		return 1
	}
	return ident.Incarnation(era-1)<<eraBits + 1
}

func (f *Fence) put(ctx context.Context, o wire.IncarnationObject, version objects.ObjectVersion) (objects.ObjectVersion, error) {
	value, err := o.MarshalMsg(nil)
	if err != nil {
		return 0, errors.Trace(err)
	}
	written, err := f.objects.Put(ctx, f.key, value, version)
	return written, errors.Trace(err)
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

func (f *Fence) setNumber(number ident.Incarnation, write string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number, f.write = number, write
}

// Number returns the agent's fencing token.
func (f *Fence) Number() ident.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.number
}

// Check returns a nil error if an order may be sent now, and the time until which
// that holds. It returns ErrSuperseded permanently once a later incarnation is known.
func (f *Fence) Check(ctx context.Context) (time.Time, error) {
	checkedAt := time.Now()
	if validUntil, err := f.cached(checkedAt); err != nil || checkedAt.Before(validUntil) {
		return validUntil, err
	}
	current, version, err := f.read(ctx)
	highest := current.Number
	if err == nil {
		err = f.writeAgain(ctx, highest, version)
	}
	if err != nil {
		var confirmed bool
		if highest, confirmed = f.Highest(); !confirmed {
			return time.Time{}, errors.Annotate(err, "checking fencing token")
		}
	}
	return f.conclude(highest, checkedAt)
}

// writeAgain stores the fence's own token again if the store has lost it.
func (f *Fence) writeAgain(ctx context.Context, stored ident.Incarnation, version objects.ObjectVersion) error {
	f.mu.Lock()
	own := wire.IncarnationObject{Number: f.number, Write: f.write}
	f.mu.Unlock()
	if stored >= own.Number {
		return nil
	}
	_, err := f.put(ctx, own, version)
	return errors.Annotate(err, "storing a fencing token that the store has lost")
}

func (f *Fence) cached(now time.Time) (time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.superseded {
		return time.Time{}, ErrSuperseded
	}
	return f.validUntil, nil
}

func (f *Fence) conclude(highest ident.Incarnation, checkedAt time.Time) (time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if highest > f.number {
		f.superseded = true
		return time.Time{}, ErrSuperseded
	}
	f.validUntil = checkedAt.Add(CheckValidity)
	return f.validUntil, nil
}

// ObserveHighest records the highest known incarnation. The fence is superseded if that is
// later than its own number.
func (f *Fence) ObserveHighest(highest ident.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if highest > f.number {
		f.superseded = true
	}
}

// Superseded reports whether a later incarnation holds the target.
func (f *Fence) Superseded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.superseded
}
