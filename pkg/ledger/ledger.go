// Package ledger makes sure that a non-idempotent request runs at most once. The
// request's idempotency key must be claimed in the ledger, which stores the
// claim durably, before the request is sent to a target.
package ledger

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Settings configure a ledger. All processes must use the same Partitions and
// Interval.
type Settings struct {
	Partitions int
	// Interval is the length of a bucket's interval: keys of a partition that
	// were created in the same interval share a bucket.
	Interval time.Duration
	// Window is the age up to which a new key is accepted.
	Window time.Duration
	// WritesPerSecond limits the rate of this process's group commits. Tries
	// after the first and the writes of Sweep are not limited.
	WritesPerSecond float64
}

// Defaults fills the unset fields.
func (s Settings) Defaults() Settings {
	if s.Partitions == 0 {
		s.Partitions = 8
	}
	if s.Interval == 0 {
		s.Interval = 10 * time.Second
	}
	if s.Window == 0 {
		s.Window = time.Hour
	}
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = 60
	}
	return s
}

const (
	// maxClockSkew is the maximum time that a caller's clock may be ahead.
	maxClockSkew      = time.Minute
	writeBurst        = 8
	bucketIdleTime    = 2 * time.Minute
	maxKeyLength      = 64
	closeAfterWindows = 2 // age in windows at which a bucket is closed
	tombstoneTime     = 24 * time.Hour
)

// Ledger claims and settles keys. It is safe for concurrent use. Any process may
// operate on any partition, because conditional updates decide which operation
// takes effect. Routing a partition's claims to one owner only saves updates.
type Ledger struct {
	settings Settings
	objects  objects.Objects
	limiter  *rate.Limiter
	writes   atomic.Int64

	mu      sync.Mutex
	buckets map[string]*bucket
	// era is the newest one of the store's history, 0 if it is not known. returnedAt is
	// when a later one than the first was noticed.
	era        platform.Era
	returnedAt time.Time
}

// New returns a ledger.
func New(objects objects.Objects, settings Settings) *Ledger {
	settings = settings.Defaults()
	return &Ledger{
		settings: settings, objects: objects,
		limiter: rate.NewLimiter(rate.Limit(settings.WritesPerSecond), writeBurst),
		buckets: make(map[string]*bucket),
	}
}

// Writes returns the number of successful updates by this process.
func (l *Ledger) Writes() int64 { return l.writes.Load() }

// KeyTime returns the creation time of a key. It returns a NotValid error if the
// key is not a UUIDv7.
func KeyTime(key string) (time.Time, error) {
	if len(key) > maxKeyLength {
		return time.Time{}, errors.NotValidf("idempotency key of %d characters", len(key))
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, errors.NotValidf("idempotency key %q: not a UUIDv7:", key)
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), nil
}

func storedKey(caller ident.Caller, key string) string { return string(caller) + "/" + key }

// Partition returns the partition of a caller's key.
func (l *Ledger) Partition(caller ident.Caller, key string) int {
	return int(xxhash.Sum64String(storedKey(caller, key)) % uint64(l.settings.Partitions))
}

// Claim asks for the right to run the request with a key. Unless the reply is
// ClaimGranted, the attempt must not be sent.
func (l *Ledger) Claim(ctx context.Context, c wire.Claim) wire.ClaimReply {
	created, err := KeyTime(c.Key)
	if err != nil {
		return wire.ClaimReply{State: wire.ClaimRefused, Reason: "bad-key"}
	}
	op := &operation{claim: &c, created: created, absentState: l.stateIfAbsent(time.Since(created))}
	if op.absentState == wire.ClaimExpired && time.Since(created) > l.tombstoneAge() {
		return wire.ClaimReply{State: wire.ClaimExpired}
	}
	if !l.bucket(l.Partition(c.Caller, c.Key), created).submit(ctx, op) {
		return wire.ClaimReply{State: wire.ClaimRefused, Reason: "ledger-unavailable"}
	}
	return op.claimReply
}

// stateIfAbsent returns the reply to a claim for a key of this age that is not
// in the ledger.
func (l *Ledger) stateIfAbsent(age time.Duration) wire.ClaimState {
	switch {
	case age > l.settings.Window:
		return wire.ClaimExpired
	case age < -maxClockSkew:
		return wire.ClaimRefused
	}
	return wire.ClaimFree
}

// tombstoneAge returns the age up to which a key's bucket is kept, in the end as
// a closed bucket. It exceeds the window by far more than a process may pause,
// so a process that resumes cannot create a deleted bucket again.
func (l *Ledger) tombstoneAge() time.Duration {
	return l.closingAge() + tombstoneTime
}

// closingAge returns the age at which a bucket is closed.
func (l *Ledger) closingAge() time.Duration { return closeAfterWindows * l.settings.Window }

// Settle records a claimed attempt's answer or releases its claim. It reports
// false if the attempt no longer holds the key or the object API does not reply.
func (l *Ledger) Settle(ctx context.Context, caller ident.Caller, s wire.Settle) bool {
	created, err := KeyTime(s.Key)
	if err != nil {
		return false
	}
	b := l.bucket(l.Partition(caller, s.Key), created)
	s.Key = storedKey(caller, s.Key)
	op := &operation{settle: &s}
	return b.submit(ctx, op) && op.settleReply.Stored
}

func (l *Ledger) bucket(partition int, created time.Time) *bucket {
	interval := created.UnixMilli() / l.settings.Interval.Milliseconds()
	key := fmt.Sprintf("ledger/%03d/%012d", partition, interval)
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[key]
	if !ok {
		b = &bucket{ledger: l, key: key, lastUsed: time.Now()}
		l.buckets[key] = b
	}
	return b
}

// Sweep drops idle buckets from memory, closes stored buckets older than
// closeAfterWindows windows, and deletes those older than the tombstone age.
// The owner of a partition calls it periodically.
func (l *Ledger) Sweep(ctx context.Context, partition int) error {
	l.dropIdleBuckets(time.Now())
	keys, err := l.objects.List(ctx, fmt.Sprintf("ledger/%03d/", partition))
	if err != nil {
		return errors.Trace(err)
	}
	for _, key := range keys {
		age, err := l.bucketAge(key)
		if err != nil {
			return errors.Trace(err)
		}
		if age < l.closingAge() {
			break // keys are sorted, oldest first
		}
		if err := l.closeOrDelete(ctx, key, age); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (l *Ledger) bucketAge(key string) (time.Duration, error) {
	var interval int64
	if _, err := fmt.Sscanf(key[strings.LastIndexByte(key, '/')+1:], "%d", &interval); err != nil {
		return 0, errors.NotValidf("ledger object key %q", key)
	}
	end := time.UnixMilli((interval + 1) * l.settings.Interval.Milliseconds())
	return time.Since(end), nil
}

func (l *Ledger) closeOrDelete(ctx context.Context, key string, age time.Duration) error {
	object, err := l.objects.Get(ctx, key)
	if errors.Is(err, errors.NotFound) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	if age > l.tombstoneAge() {
		return ignoreConflict(l.objects.Delete(ctx, key, object.Version))
	}
	var content wire.LedgerBucket
	if _, err := content.UnmarshalMsg(object.Value); err != nil {
		return errors.Trace(err)
	}
	if content.Closed {
		return nil
	}
	value, err := (&wire.LedgerBucket{Closed: true, Write: uuid.NewString()}).MarshalMsg(nil)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = l.objects.Put(ctx, key, value, object.Version)
	return ignoreConflict(err)
}

func ignoreConflict(err error) error {
	if errors.Is(err, objects.ErrConflict) {
		return nil
	}
	return errors.Trace(err)
}

func (l *Ledger) dropIdleBuckets(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, b := range l.buckets {
		b.mu.Lock()
		idle := !b.committing && now.Sub(b.lastUsed) > bucketIdleTime
		b.mu.Unlock()
		if idle && !b.isOutdated(l.era) {
			delete(l.buckets, key)
		}
	}
}
