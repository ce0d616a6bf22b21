// Package ledger makes sure that a non-idempotent request runs at most once.
// A key must be claimed here, durably, before its request is sent anywhere.
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
)

// Settings are the ledger's sizes. All processes must use the same Partitions
// and Interval.
type Settings struct {
	Partitions int
	// Interval is the span of key birth times that share a bucket.
	Interval time.Duration
	// Window is the age up to which an unseen key is accepted.
	Window time.Duration
	// WritesPerSecond bounds this process's updates of the object API.
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
	// clockSkew bounds how far a caller's clock may run ahead.
	clockSkew     = time.Minute
	writeBurst    = 8
	bucketIdle    = 2 * time.Minute
	maxKeyLength  = 64
	closeAfter    = 2 // windows after which a bucket is closed
	tombstoneLife = 24 * time.Hour
)

// Ledger claims and settles keys. It is safe for concurrent use. Any process
// may operate on any partition: conditional updates decide, and the routing of
// a partition's claims to one owner only saves updates.
type Ledger struct {
	settings Settings
	objects  objects.Objects
	limiter  *rate.Limiter
	writes   atomic.Int64

	mu      sync.Mutex
	buckets map[string]*bucket
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

// Writes returns the number of updates that this process made.
func (l *Ledger) Writes() int64 { return l.writes.Load() }

// Birth returns the time at which a key was made. It returns a NotValid error
// for a key that is not a UUIDv7.
func Birth(key string) (time.Time, error) {
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

// Claim asks for the right to run a key. Anything but ClaimGranted means that
// the attempt must not be sent.
func (l *Ledger) Claim(ctx context.Context, c wire.Claim) wire.ClaimReply {
	birth, err := Birth(c.Key)
	if err != nil {
		return wire.ClaimReply{State: wire.ClaimRefused, Reason: "bad-key"}
	}
	op := &operation{claim: &c, absent: l.absent(time.Since(birth))}
	if op.absent == wire.ClaimExpired && time.Since(birth) > l.tombstoneAge() {
		return wire.ClaimReply{State: wire.ClaimExpired}
	}
	if !l.bucket(l.Partition(c.Caller, c.Key), birth).submit(ctx, op) {
		return wire.ClaimReply{State: wire.ClaimRefused, Reason: "ledger-unavailable"}
	}
	return op.claimReply
}

// absent is the answer to a claim for a key of this age that is not on record.
func (l *Ledger) absent(age time.Duration) wire.ClaimState {
	switch {
	case age > l.settings.Window:
		return wire.ClaimExpired
	case age < -clockSkew:
		return wire.ClaimRefused
	}
	return wire.ClaimFree
}

// tombstoneAge is the age up to which a key's bucket is kept, if only closed.
// It exceeds the window by far more than any pause of a process.
func (l *Ledger) tombstoneAge() time.Duration {
	return closeAfter*l.settings.Window + tombstoneLife
}

// Settle records a claimed attempt's answer or releases its claim. It reports
// false if the attempt no longer holds the key or the object API gave no
// answer.
func (l *Ledger) Settle(ctx context.Context, caller ident.Caller, s wire.Settle) bool {
	birth, err := Birth(s.Key)
	if err != nil {
		return false
	}
	b := l.bucket(l.Partition(caller, s.Key), birth)
	s.Key = storedKey(caller, s.Key)
	op := &operation{settle: &s}
	return b.submit(ctx, op) && op.settleReply.Stored
}

func (l *Ledger) bucket(partition int, birth time.Time) *bucket {
	interval := birth.UnixMilli() / l.settings.Interval.Milliseconds()
	key := fmt.Sprintf("ledger/%03d/%012d", partition, interval)
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[key]
	if !ok {
		b = &bucket{ledger: l, key: key, used: time.Now()}
		l.buckets[key] = b
	}
	return b
}

// Sweep forgets idle buckets, closes those past the window and deletes those
// long closed. The owner of a partition calls it now and then.
func (l *Ledger) Sweep(ctx context.Context, partition int) error {
	l.forgetIdle(time.Now())
	keys, err := l.objects.List(ctx, fmt.Sprintf("ledger/%03d/", partition))
	if err != nil {
		return errors.Trace(err)
	}
	for _, key := range keys {
		age, err := l.bucketAge(key)
		if err != nil {
			return errors.Trace(err)
		}
		if age < closeAfter*l.settings.Window {
			break // keys are in order of age
		}
		if err := l.retire(ctx, key, age); err != nil {
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

func (l *Ledger) retire(ctx context.Context, key string, age time.Duration) error {
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

func (l *Ledger) forgetIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, b := range l.buckets {
		b.mu.Lock()
		idle := !b.committing && now.Sub(b.used) > bucketIdle
		b.mu.Unlock()
		if idle {
			delete(l.buckets, key)
		}
	}
}
