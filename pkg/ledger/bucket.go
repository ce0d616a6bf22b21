package ledger

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	// commitTries bounds the tries of a group commit. A conflict or a lost
	// reply uses up one try.
	commitTries    = 8
	commitTimeout  = 2 * time.Second
	maxQueue       = 2048
	maxBucketBytes = 900 << 10
)

// operation is a claim or settlement that waits for a group commit. An operation that is
// neither only reads the bucket again.
type operation struct {
	claim       *wire.Claim
	created     time.Time // creation time of the claim's key, by its caller's clock
	settle      *wire.Settle
	absentState wire.ClaimState // reply to a claim whose key is not in the bucket, unless it is granted

	claimReply  wire.ClaimReply
	settleReply wire.SettleReply
	done        chan struct{}
}

// bucket holds the keys of one partition that were created in one interval. It
// is stored as one object.
type bucket struct {
	ledger *Ledger
	key    string

	mu         sync.Mutex
	queue      []*operation
	committing bool
	lastUsed   time.Time

	// The fields below are accessed only by the commit in progress, of which
	// there is at most one.
	loaded  bool
	version objects.ObjectVersion
	content wire.LedgerBucket
	// lost holds the entries that were committed and that the store lacks since it returned
	// from an older copy.
	lost wire.LedgerBucket

	// committedIn is the era of the store's history that holds the content, 0 if nothing is
	// stored.
	committedIn atomic.Uint64
}

// submit queues an operation and waits for its reply. It reports false if the
// queue is full or ctx ends first. In the latter case the operation may still
// take effect.
func (b *bucket) submit(ctx context.Context, op *operation) bool {
	if !b.enqueue(op) {
		return false
	}
	select {
	case <-op.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (b *bucket) enqueue(op *operation) bool {
	op.done = make(chan struct{})
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueue {
		return false
	}
	b.queue = append(b.queue, op)
	b.lastUsed = time.Now()
	if !b.committing {
		b.committing = true
		go b.commitLoop()
	}
	return true
}

func (b *bucket) commitLoop() {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		_ = b.ledger.limiter.Wait(ctx)
		batch := b.takeBatch()
		if batch == nil {
			cancel()
			return
		}
		b.commit(ctx, batch)
		cancel()
		for _, op := range batch {
			close(op.done)
		}
	}
}

func (b *bucket) takeBatch() []*operation {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := b.queue
	b.queue = nil
	if len(batch) == 0 {
		b.committing = false
	}
	return batch
}

// commit evaluates the batch against the stored bucket, and repeats this until a
// conditional update succeeds. If none succeeds, it refuses all operations.
func (b *bucket) commit(ctx context.Context, batch []*operation) {
	for _, op := range batch {
		if op.claim == nil && op.settle == nil || op.claim != nil && op.claim.Peek {
			b.loaded = false // another process may have updated the bucket
		}
	}
	for range commitTries {
		if err := b.load(ctx); err != nil {
			break
		}
		h := b.ledger.history()
		next, changed := evaluate(b.content, batch, h.lostUntil)
		if !changed && b.lost.Entries == nil {
			return
		}
		if b.store(ctx, next) == nil {
			if b.ledger.history().era != h.era {
				refuseAll(batch, reasonReturned) // absent keys may have been lost
			}
			return
		}
		b.loaded = false
	}
	b.loaded = false
	refuseAll(batch, "ledger-unavailable")
}

func refuseAll(batch []*operation, reason string) {
	for _, op := range batch {
		op.claimReply = wire.ClaimReply{State: wire.ClaimRefused, Reason: reason}
		op.settleReply = wire.SettleReply{}
	}
}

func (b *bucket) load(ctx context.Context) error {
	if b.loaded {
		return nil
	}
	object, err := b.ledger.objects.Get(ctx, b.key)
	if err != nil && !errors.Is(err, errors.NotFound) {
		return errors.Trace(err)
	}
	var stored wire.LedgerBucket
	if err == nil {
		if _, err := stored.UnmarshalMsg(object.Value); err != nil {
			return errors.Trace(err)
		}
	}
	if b.isOlderCopy(object.Version) {
		b.lost = merge(b.lost, b.content)
	}
	b.content, b.version = merge(stored, b.lost), object.Version
	b.committedIn.Store(uint64(object.Version.Era()))
	b.loaded = true
	return nil
}

// isOlderCopy reports whether the bucket that is stored at a version, 0 if none is, may
// lack what was committed before, because the store has returned from an older copy.
func (b *bucket) isOlderCopy(stored objects.ObjectVersion) bool {
	if b.version == 0 || stored != 0 {
		return b.version != 0 && stored.Era() > b.version.Era()
	}
	age, err := b.ledger.bucketAge(b.key)
	return err == nil && age < b.ledger.closingAge() // older ones are deleted
}

// merge adds the entries of other to those of b. For the same key that of other holds.
func merge(b, other wire.LedgerBucket) wire.LedgerBucket {
	if other.Entries == nil {
		return b
	}
	out := wire.LedgerBucket{Closed: b.Closed || other.Closed, Entries: maps.Clone(b.Entries)}
	if out.Entries == nil {
		out.Entries = make(map[string]wire.LedgerEntry)
	}
	maps.Copy(out.Entries, other.Entries)
	return out
}

func (b *bucket) store(ctx context.Context, next wire.LedgerBucket) error {
	next.Write = uuid.NewString()
	value, err := next.MarshalMsg(nil)
	if err != nil {
		return errors.Trace(err)
	}
	if len(value) > maxBucketBytes {
		return errors.QuotaLimitExceededf("ledger bucket of %d bytes", len(value))
	}
	version, err := b.ledger.objects.Put(ctx, b.key, value, b.version)
	if err != nil {
		return errors.Trace(err)
	}
	b.ledger.writes.Add(1)
	b.content = next
	b.version = version
	b.lost = wire.LedgerBucket{}
	b.committedIn.Store(uint64(version.Era()))
	return nil
}

// evaluate applies the batch to a copy of the bucket and sets the replies, which
// hold only once the returned bucket is stored. Keys that are absent and were created
// until lostUntil may be in use.
func evaluate(current wire.LedgerBucket, batch []*operation, lostUntil time.Time) (wire.LedgerBucket, bool) {
	next := wire.LedgerBucket{Closed: current.Closed, Entries: make(map[string]wire.LedgerEntry, len(current.Entries)+len(batch))}
	for key, e := range current.Entries {
		next.Entries[key] = e
	}
	changed := false
	for _, op := range batch {
		switch {
		case op.claim != nil:
			changed = op.evaluateClaim(next, lostUntil) || changed
		case op.settle != nil:
			changed = op.evaluateSettle(next) || changed
		}
	}
	return next, changed
}

func (op *operation) evaluateClaim(b wire.LedgerBucket, lostUntil time.Time) (changed bool) {
	c := op.claim
	key := storedKey(c.Caller, c.Key)
	e, known := b.Entries[key]
	switch {
	case !known && !op.created.After(lostUntil):
		op.claimReply = wire.ClaimReply{State: wire.ClaimRefused, Reason: reasonReturned}
		return false
	case c.Peek && !known && !b.Closed && op.absentState != wire.ClaimExpired:
		op.claimReply = wire.ClaimReply{State: wire.ClaimFree}
		return false
	case known && e.Attempt == c.Attempt && !e.Done:
		op.claimReply = wire.ClaimReply{State: wire.ClaimGranted}
		return true // the grant must be confirmed by a successful update
	case known && e.Done:
		op.claimReply = wire.ClaimReply{State: wire.ClaimDone, Fingerprint: e.Fingerprint, Holder: e}
		return false
	case known && (c.Replaces == "" || e.Attempt != c.Replaces):
		op.claimReply = wire.ClaimReply{State: wire.ClaimHeld, Fingerprint: e.Fingerprint, Holder: e}
		return false
	case !known && b.Closed:
		op.claimReply = wire.ClaimReply{State: wire.ClaimExpired}
		return false
	case !known && op.absentState != wire.ClaimFree:
		op.claimReply = wire.ClaimReply{State: op.absentState, Reason: "key-time"}
		return false
	}
	b.Entries[key] = wire.LedgerEntry{
		Caller: c.Caller, Fingerprint: c.Fingerprint, Attempt: c.Attempt,
		Target: c.Target, Incarnation: c.Incarnation, Address: c.Address,
	}
	op.claimReply = wire.ClaimReply{State: wire.ClaimGranted}
	return true
}

func (op *operation) evaluateSettle(b wire.LedgerBucket) (changed bool) {
	s := op.settle
	e, known := b.Entries[s.Key]
	op.settleReply = wire.SettleReply{Stored: known && e.Attempt == s.Attempt}
	if !op.settleReply.Stored || e.Done {
		return false
	}
	if s.Release {
		delete(b.Entries, s.Key)
		return true
	}
	e.Done = true
	e.Answer = s.Answer
	b.Entries[s.Key] = e
	return true
}
