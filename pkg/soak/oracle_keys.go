package soak

import (
	"fmt"
	"time"
)

// Guarantees about the keys of client accounts.
const (
	GuaranteeKeySecret  Guarantee = "key-secret"    // no target gets a caller's key
	GuaranteeAccount    Guarantee = "named-account" // a target is told the account that holds the key, and no other one
	GuaranteeKnownKey   Guarantee = "known-key"     // a request without a key that an account holds does not run
	GuaranteeRevocation Guarantee = "revoked-key"   // a request does not run that is sent later than revokeTime after its key was removed
	GuaranteeValidKey   Guarantee = "valid-key"     // a key that is held is not refused as unknown
)

// revokeTime is how long after the acknowledgement of a removal requests may still run. It
// needs no margin: the times of both are taken on one machine.
const revokeTime = 5 * time.Second

// keyHistory is when the store acknowledged additions and removals of keys, and lost what
// it had acknowledged.
type keyHistory struct {
	added, removed map[string][]time.Time
	losses         []time.Time
}

func newKeyHistory() keyHistory {
	return keyHistory{added: make(map[string][]time.Time), removed: make(map[string][]time.Time)}
}

// RecordKeyAdded records that the store has acknowledged a configuration with a key.
func (o *Oracle) RecordKeyAdded(key string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys.added[key] = append(o.keys.added[key], at)
}

// RecordKeyRemoved records that the store has acknowledged a configuration without a key.
func (o *Oracle) RecordKeyRemoved(key string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys.removed[key] = append(o.keys.removed[key], at)
}

// RecordLoss records that the store has lost what it acknowledged last. Until that is
// written again, a process that has just started can't know of it.
func (o *Oracle) RecordLoss(at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys.losses = append(o.keys.losses, at)
}

// revoked reports whether a request of a time may no longer run for its key, and since when
// the store has held no configuration with it.
func (k keyHistory) revoked(key string, at time.Time) (since time.Time, revoked bool) {
	for _, removal := range k.removed[key] {
		if at.Sub(removal) > revokeTime && !k.lostBetween(removal, at) {
			return removal, true
		}
	}
	return time.Time{}, false
}

func (k keyHistory) lostBetween(from, to time.Time) bool {
	for _, loss := range k.losses {
		if loss.After(from) && loss.Before(to) {
			return true
		}
	}
	return false
}

// checkRuns checks what targets were told of a request's key and account.
func (k keyHistory) checkRuns(r Request, runs []*run) []Violation {
	var out []Violation
	account := ""
	if r.NeedsKey {
		account = string(r.Account)
	}
	since, revoked := k.revoked(r.Key, r.At)
	for _, e := range runs {
		if e.HasKey {
			out = append(out, Violation{GuaranteeKeySecret, r.Attempt, fmt.Sprintf("%s got its key", e.Instance)})
		}
		switch {
		case r.NeedsKey && r.Account == "":
			out = append(out, Violation{GuaranteeKnownKey, r.Attempt, fmt.Sprintf("ran on %s for account %q", e.Instance, e.Account)})
			continue
		case e.Account != account:
			out = append(out, Violation{GuaranteeAccount, r.Attempt, fmt.Sprintf("%s was told account %q, not %q", e.Instance, e.Account, account)})
		}
		if r.NeedsKey && revoked {
			out = append(out, Violation{GuaranteeRevocation, r.Attempt, fmt.Sprintf("sent %s after the removal of its key at %s, and ran on %s at %s", r.At.Sub(since), since.Format(time.StampMilli), e.Instance, e.At.Format(time.StampMilli))})
		}
	}
	return out
}

// checkRefusedKey checks that a request was not refused for a key that is held.
func (o *Oracle) checkRefusedKey(r Request, a Answer) []Violation {
	added := o.keys.added[r.Key]
	if a.Status != 401 || r.Invalid || len(added) == 0 {
		return nil
	}
	since := added[0]
	if !r.NeedsKey {
		return []Violation{{GuaranteeValidKey, r.Attempt, "refused on a public route"}}
	}
	if r.At.Sub(since) <= routeGrace+schedulingMargin || !o.faultFree(r.At.Add(-routeGrace), r.At) || len(o.keys.removed[r.Key]) > 0 {
		return nil
	}
	return []Violation{{GuaranteeValidKey, r.Attempt, fmt.Sprintf("refused %s after its key was added", r.At.Sub(since))}}
}
