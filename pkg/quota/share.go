package quota

import "time"

const (
	// listDelay is how long the lists of engines of two gateways may differ: the time
	// within which a change of the list is in force, and a round of maintenance.
	listDelay = 2500 * time.Millisecond
	// joinOnce is how long after a holder has joined it takes no notice of gateways
	// that tell it later.
	joinOnce = 2 * listDelay
	// inUseTime is how long after it was last asked for a share counts as in use. Most
	// accounts ask several times a second; one that asks less has little to lose.
	inUseTime = 500 * time.Millisecond
	// extraAbove is the share of the burst that only requests at hand may use. What is
	// left of an extra amount at one gateway is missed at another.
	extraAbove = 0.5
)

// Share is a holder's share of one account's limit: a token bucket. It starts empty, since
// a holder before may have granted the burst.
type Share struct {
	limits  Limits
	version uint64
	balance float64
	updated time.Time // when the balance was as recorded
	created time.Time
	asked   time.Time // when the share was last asked for
	joined  time.Time // when the holder last took the place of another
}

// NewShare returns a share that starts to fill.
func NewShare(version uint64, l Limits, now time.Time) *Share {
	return &Share{limits: l, version: version, updated: now, created: now}
}

// Version returns the version of the configuration that set the limits.
func (s *Share) Version() uint64 { return s.version }

// Limits returns the limits.
func (s *Share) Limits() Limits { return s.limits }

// Balance returns the units that may be used now.
func (s *Share) Balance(now time.Time) float64 {
	s.refill(now)
	return s.balance
}

func (s *Share) refill(now time.Time) {
	if d := now.Sub(s.updated); d > 0 {
		s.balance = min(s.balance+s.limits.PerSecond*d.Seconds(), s.limits.Burst)
		s.updated = now
	}
}

// Update applies the limits of a version, unless it is older than the one in force. A
// balance above the new burst is lost.
func (s *Share) Update(version uint64, l Limits, now time.Time) {
	if version < s.version || version == s.version && l == s.limits {
		return
	}
	s.refill(now)
	s.version, s.limits = version, l
	s.balance = min(s.balance, l.Burst)
}

// Join records that the holder takes the place of another that still answers. Gateways
// whose lists of engines are older go on asking that one for listDelay, so that this
// share is used only after that time. A share that gateways use is not affected.
func (s *Share) Join(now time.Time) {
	inUse := !s.asked.IsZero() && now.Sub(s.asked) < inUseTime && now.Sub(s.created) >= listDelay
	if inUse || !s.joined.IsZero() && now.Sub(s.joined) < joinOnce {
		return
	}
	s.refill(now)
	s.joined = now
	s.balance = min(s.balance, 0) - s.limits.PerSecond*listDelay.Seconds()
}

// Take takes the needed amount, and as much of the wished extra as leaves the burst more
// than half full. It returns what it granted, or 0 and the time until the needed amount
// may be had. An amount above the burst is granted once the bucket is full.
func (s *Share) Take(need, wish float64, now time.Time) (granted float64, wait time.Duration) {
	s.refill(now)
	s.asked = now
	if missing := min(need, s.limits.Burst) - s.balance; missing > 0 {
		return 0, max(timeFor(missing, s.limits.PerSecond), 1)
	}
	s.balance -= need
	extra := min(wish, s.balance-extraAbove*s.limits.Burst)
	if extra <= 0 {
		return need, 0
	}
	s.balance -= extra
	return need + extra, 0
}

// Return puts back what was granted and not used.
func (s *Share) Return(amount float64, now time.Time) {
	if amount > 0 {
		s.refill(now)
		s.balance = min(s.balance+amount, s.limits.Burst)
	}
}
