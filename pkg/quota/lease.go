package quota

import "time"

// Charge is what a request has paid. The zero value is that of a free request.
type Charge struct {
	Amount float64
	// Granted is when the holder at an address was asked for it, and Expires when a request
	// that has not begun to run has to pay anew: its run would count in a later window. They
	// are zero if no holder granted the charge.
	Holder           string
	Granted, Expires time.Time
}

// Expired reports whether the charge no longer pays for a run.
func (c Charge) Expired(now time.Time) bool { return !c.Expires.IsZero() && !now.Before(c.Expires) }

// lease is the extra amount of the newest grant.
type lease struct {
	amount  float64
	holder  string
	granted time.Time
	// useBy is until when requests may be paid from it, and expires until when they
	// have to run. The time between is for their wait.
	useBy, expires time.Time
}

// usePart is the part of a grant's lifetime within which its extra amount is used.
const usePart = 0.5

// usageTime is the time whose usage is asked for in advance.
const usageTime = 200 * time.Millisecond

// usage measures what was used in the last usageTime.
type usage struct {
	start           time.Time
	current, before float64
}

func (u *usage) add(amount float64, now time.Time) {
	u.advance(now)
	u.current += amount
}

func (u *usage) advance(now time.Time) {
	d := now.Sub(u.start)
	switch {
	case d >= 2*usageTime:
		u.before, u.current, u.start = 0, 0, now
	case d >= usageTime:
		u.before, u.current, u.start = u.current, 0, u.start.Add(usageTime)
	}
}

// last returns what was used in the last usageTime.
func (u *usage) last(now time.Time) float64 {
	u.advance(now)
	passed := min(max(float64(now.Sub(u.start))/float64(usageTime), 0), 1)
	return u.before*(1-passed) + u.current
}
