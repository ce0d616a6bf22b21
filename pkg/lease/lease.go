// Package lease elects one holder among a few candidates through the object
// API. A lease only decides who acts; what it acts on must bear a paused
// former holder.
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
	// TTL is the silence after which a lease is free.
	TTL = 6 * time.Second
	// drift is withheld from a holder's own time, for differences between
	// clocks' rates.
	drift = time.Second
	// Period is the time between two steps of a candidate.
	Period = TTL / 3
)

// Lease is one candidate's view of a lease.
type Lease struct {
	objects objects.Objects
	key     string
	self    wire.LeaseObject

	mu      sync.Mutex
	seen    wire.LeaseObject
	seenAt  time.Time // when this beat of the holder was first seen
	until   time.Time // end of the own tenure
	version objects.ObjectVersion
}

// New returns a candidate for the lease of a name.
func New(objects objects.Objects, name string, vm ident.VM, address string) *Lease {
	return &Lease{objects: objects, key: "leases/" + name, self: wire.LeaseObject{Holder: vm, Address: address}}
}

// Step renews the lease, watches its holder, or takes it over. Candidates call
// it once each Period.
func (l *Lease) Step(ctx context.Context) error {
	started := time.Now()
	current, version, err := l.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	l.observe(current, version, started)
	if !l.mayWrite(started) {
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
	if version != l.version || l.seenAt.IsZero() {
		l.seen, l.version, l.seenAt = current, version, now
	}
}

func (l *Lease) mayWrite(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	vacant := l.version == 0
	own := l.seen.Holder == l.self.Holder && now.Before(l.until)
	return vacant || own || now.Sub(l.seenAt) >= TTL
}

func (l *Lease) write(ctx context.Context, current wire.LeaseObject, version objects.ObjectVersion, started time.Time) error {
	next := l.self
	next.Term = current.Term
	next.Beat = current.Beat + 1
	next.Write = uuid.NewString()
	l.mu.Lock()
	renewal := current.Holder == l.self.Holder && started.Before(l.until)
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
	l.seen, l.version, l.seenAt = next, written, started
	l.until = started.Add(TTL - drift)
	return nil
}

// Tenure is the right to act as a lease's holder until a time.
type Tenure struct {
	Term  uint64
	Until time.Time
}

// Held returns the own tenure, if there is one now.
func (l *Lease) Held() (Tenure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.seen.Holder == l.self.Holder && time.Now().Before(l.until)
	return Tenure{Term: l.seen.Term, Until: l.until}, held
}
