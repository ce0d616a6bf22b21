// Package outlier ejects targets from load balancing based on the outcomes of their
// requests, independently of health checks. It does no I/O, and callers pass in the
// current time.
//
// It handles targets that fail or do not answer some of their requests while other
// targets of the same service work. Failures that all targets share eject none of
// them, and the number of ejected targets is limited so that the remaining ones are
// not overloaded.
package outlier

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	// sampleWeight is the weight of the newest outcome: five failures in a row
	// raise the failure rate of a healthy target to two thirds.
	sampleWeight = 0.2
	// minSamples is the number of samples below which a failure rate is not used.
	minSamples = 4
	// minExcess is how far a target's failure rate must lie above the mean of its
	// service's other targets. Invalid requests fail equally on all targets.
	minExcess = 0.3
	// minEjection and maxEjection bound the duration of an ejection. After it, live
	// requests show whether the target has recovered.
	minEjection = time.Second
	maxEjection = 8 * time.Second
	// maxEjectedDivisor limits the ejected targets to a share of the service's targets.
	maxEjectedDivisor = 3 // one in three
	// recordTTL is how long the record of a target without requests is kept.
	recordTTL = time.Minute
)

type record struct {
	failureRate  float64 // moving average of failures
	samples      int
	ejectedUntil time.Time // end of the last ejection
	ejection     time.Duration
	lastSeen     time.Time
}

// Detector tracks the targets of one service.
type Detector struct {
	mu      sync.Mutex
	targets map[ident.Target]*record
}

// New returns a detector without records.
func New() *Detector { return &Detector{targets: make(map[ident.Target]*record)} }

// Record records the outcome of a request and reports whether it caused the target to be
// ejected.
func (d *Detector) Record(t ident.Target, failed bool, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.targets[t]
	if r == nil {
		r = &record{}
		d.targets[t] = r
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.failureRate += sampleWeight * (outcome - r.failureRate)
	r.samples++
	r.lastSeen = now
	if !failed && r.failureRate < minExcess/2 {
		r.ejection = 0 // recovered
	}
	if !failed || now.Before(r.ejectedUntil) || r.samples < minSamples || r.failureRate < d.others(t, now)+minExcess || d.ejected(now)+1 > len(d.targets)/maxEjectedDivisor {
		return false
	}
	r.ejection = min(max(2*r.ejection, minEjection), maxEjection)
	r.ejectedUntil = now.Add(r.ejection)
	// One failure after the ejection ends is enough to eject the target again.
	r.samples = minSamples - 1
	return true
}

// others returns the mean failure rate of the service's other targets. It drops
// records older than recordTTL.
func (d *Detector) others(t ident.Target, now time.Time) float64 {
	sum, n := 0.0, 0
	for id, r := range d.targets {
		if now.Sub(r.lastSeen) > recordTTL {
			delete(d.targets, id)
			continue
		}
		if id != t {
			sum += r.failureRate
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (d *Detector) ejected(now time.Time) int {
	n := 0
	for _, r := range d.targets {
		if now.Before(r.ejectedUntil) {
			n++
		}
	}
	return n
}

// Ejected reports whether the target is ejected.
func (d *Detector) Ejected(t ident.Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.targets[t]
	return r != nil && now.Before(r.ejectedUntil)
}

// AnyEjected reports whether any target is ejected.
func (d *Detector) AnyEjected(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ejected(now) > 0
}

// FailureRate returns the moving average of a target's failures.
func (d *Detector) FailureRate(t ident.Target) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.targets[t]; r != nil {
		return r.failureRate
	}
	return 0
}
