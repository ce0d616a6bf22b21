// Package lease elects one holder among a few candidates through the object
// API. A lease does not fence: a former holder that was paused may still act, and
// the systems that it acts on must tolerate this.
package lease

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
	// TTL is the time without a renewal after which a lease expires.
	TTL = 6 * time.Second
	// clockDrift is subtracted from a holder's own lease time, to allow for
	// clocks that run at different rates.
	clockDrift = time.Second
	// Period is the time between two Steps of a candidate.
	Period = TTL / 3
)

// Lease is one candidate's state of a lease.
type Lease struct {
	objects objects.Objects
	key     string
	self    wire.LeaseObject

	mu         sync.Mutex
	observed   wire.LeaseObject
	observedAt time.Time // when this version was first seen
	heldUntil  time.Time // end of this candidate's tenure
	version    objects.ObjectVersion
}

// New returns a candidate for the lease with the given name.
func New(objects objects.Objects, name string, vm ident.VM, address string) *Lease {
	return &Lease{objects: objects, key: "leases/" + name, self: wire.LeaseObject{Holder: vm, Address: address}}
}

// Step acquires or renews the lease, or checks whether its holder still renews it.
// Candidates call it once every Period.
func (l *Lease) Step(ctx context.Context) error {
	started := time.Now()
	current, version, err := l.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	l.observe(current, version, started)
	if !l.canAcquireOrRenew(started) {
		return nil
	}
	return l.write(ctx, current, version, started)
}

func (l *Lease) read(ctx context.Context) (wire.LeaseObject, objects.ObjectVersion, error) {
	var current wire.LeaseObject
	object, err := l.objects.Get(ctx, l.key)
	if errors.Is(err, errors.NotFound) {
		return current, 0, nil
	}
	if err != nil {
		return current, 0, errors.Trace(err)
	}
	_, err = current.UnmarshalMsg(object.Value)
	return current, object.Version, errors.Trace(err)
}

func (l *Lease) observe(current wire.LeaseObject, version objects.ObjectVersion, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version != l.version || l.observedAt.IsZero() {
		l.observed, l.version, l.observedAt = current, version, now
	}
}

func (l *Lease) canAcquireOrRenew(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	free := l.version == 0
	own := l.observed.Holder == l.self.Holder && now.Before(l.heldUntil)
	return free || own || now.Sub(l.observedAt) >= TTL
}

func (l *Lease) write(ctx context.Context, current wire.LeaseObject, version objects.ObjectVersion, started time.Time) error {
	next := l.self
	next.Term = current.Term
	next.Beat = current.Beat + 1
	next.Write = uuid.NewString()
	l.mu.Lock()
	renewal := current.Holder == l.self.Holder && started.Before(l.heldUntil)
	l.mu.Unlock()
	if !renewal {
		next.Term++
	}
	value, err := next.MarshalMsg(nil)
	if err != nil {
		return errors.Trace(err)
	}
	written, err := l.objects.Put(ctx, l.key, value, version)
	if err != nil {
		return errors.Trace(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed, l.version, l.observedAt = next, written, started
	l.heldUntil = started.Add(TTL - clockDrift)
	return nil
}

// Tenure is the right to act as the lease's holder until the given time.
type Tenure struct {
	Term  uint64
	Until time.Time
}

// Held returns this candidate's tenure, and whether it holds the lease now.
func (l *Lease) Held() (Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.observed.Holder == l.self.Holder && time.Now().Before(l.heldUntil)
	return Tenure{Term: l.observed.Term, Until: l.heldUntil}, held
}
