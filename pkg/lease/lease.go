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

// Candidate is one candidate's state of a lease.
type Candidate struct {
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
func New(objects objects.Objects, name string, vm ident.VM, address string) *Candidate {
	return &Candidate{objects: objects, key: "leases/" + name, self: wire.LeaseObject{Holder: vm, Address: address}}
}

// Step acquires or renews the lease, or checks whether its holder still renews it.
// Candidates call it once every Period.
func (c *Candidate) Step(ctx context.Context) error {
	started := time.Now()
	current, version, err := c.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	c.observe(current, version, started)
	if !c.canAcquireOrRenew(started) {
		return nil
	}
	return c.write(ctx, current, version, started)
}

func (c *Candidate) read(ctx context.Context) (wire.LeaseObject, objects.ObjectVersion, error) {
	var current wire.LeaseObject
	object, err := c.objects.Get(ctx, c.key)
	if errors.Is(err, errors.NotFound) {
		return current, 0, nil
	}
	if err != nil {
		return current, 0, errors.Trace(err)
	}
	_, err = current.UnmarshalMsg(object.Value)
	return current, object.Version, errors.Trace(err)
}

func (c *Candidate) observe(current wire.LeaseObject, version objects.ObjectVersion, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version != c.version || c.observedAt.IsZero() {
		c.observed, c.version, c.observedAt = current, version, now
	}
}

func (c *Candidate) canAcquireOrRenew(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := c.version == 0
	own := c.observed.Holder == c.self.Holder && now.Before(c.heldUntil)
	return free || own || now.Sub(c.observedAt) >= TTL
}

func (c *Candidate) write(ctx context.Context, current wire.LeaseObject, version objects.ObjectVersion, started time.Time) error {
	next := c.self
	next.Term = current.Term
	next.Beat = current.Beat + 1
	next.Write = uuid.NewString()
	c.mu.Lock()
	renewal := current.Holder == c.self.Holder && started.Before(c.heldUntil)
	c.mu.Unlock()
	if !renewal {
		next.Term++
	}
	value, err := next.MarshalMsg(nil)
	if err != nil {
		return errors.Trace(err)
	}
	written, err := c.objects.Put(ctx, c.key, value, version)
	if err != nil {
		return errors.Trace(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed, c.version, c.observedAt = next, written, started
	c.heldUntil = started.Add(TTL - clockDrift)
	return nil
}

// Tenure is the right to act as the lease's holder until the given time.
type Tenure struct {
	Term  uint64
	Until time.Time
}

// Held returns this candidate's tenure, and whether it holds the lease now.
func (c *Candidate) Held() (Tenure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.observed.Holder == c.self.Holder && time.Now().Before(c.heldUntil)
	return Tenure{Term: c.observed.Term, Until: c.heldUntil}, held
}
