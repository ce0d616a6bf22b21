// Package outlier decides which targets are passed over because of what requests
// showed of them, whatever their health checks say. It does no I/O, and its
// callers pass the time.
//
// It answers targets that fail or swallow a part of their requests while others
// of their service do not. A failure that all share is none of a target's own,
// and never are so many passed over that the others would be overrun.
package outlier

import (
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

const (
	// sampleWeight is the weight of the newest outcome: five failures in a row
	// bring a sound target to a rate of two thirds.
	sampleWeight = 0.2
	// minSamples are needed before a rate says anything.
	minSamples = 4
	// excess is how far a target's failure rate must lie above that of the others
	// of its service. Callers' own mistakes fail alike everywhere.
	excess = 0.3
	// firstEjection and maxEjection bound how long a target is passed over. After
	// it, real requests show whether it has recovered.
	firstEjection = time.Second
	maxEjection   = 8 * time.Second
	// maxShare is the share of a service's targets that may be passed over.
	maxShare = 3 // one in three
	// forgetAfter is how long a target without requests is remembered.
	forgetAfter = time.Minute
)

type record struct {
	rate    float64 // of failures, as a moving average
	samples int
	until   time.Time // passed over until then
	last    time.Duration
	seen    time.Time
}

// Detector watches the targets of one service.
type Detector struct {
	mu      sync.Mutex
	targets map[ident.Target]*record
}

// New returns a detector that has seen nothing.
func New() *Detector { return &Detector{targets: make(map[ident.Target]*record)} }

// Saw records the outcome of a request. It reports whether the target is passed
// over from now on.
func (d *Detector) Saw(t ident.Target, failed bool, now time.Time) bool {
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
	r.rate += sampleWeight * (outcome - r.rate)
	r.samples++
	r.seen = now
	if !failed && r.rate < excess/2 {
		r.last = 0 // recovered
	}
	if !failed || now.Before(r.until) || r.samples < minSamples || r.rate < d.others(t, now)+excess || d.ejected(now)+1 > len(d.targets)/maxShare {
		return false
	}
	r.last = min(max(2*r.last, firstEjection), maxEjection)
	r.until = now.Add(r.last)
	// One more failure after its return passes it over again.
	r.samples = minSamples - 1
	return true
}

// others returns the mean failure rate of the service's other targets.
func (d *Detector) others(t ident.Target, now time.Time) float64 {
	sum, n := 0.0, 0
	for id, r := range d.targets {
		if now.Sub(r.seen) > forgetAfter {
			delete(d.targets, id)
			continue
		}
		if id != t {
			sum += r.rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}

func (d *Detector) ejected(now time.Time) int {
	n := 0
	for _, r := range d.targets {
		if now.Before(r.until) {
			n++
		}
	}
	return n
}

// Passed reports whether the target is passed over.
func (d *Detector) Passed(t ident.Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.targets[t]
	return r != nil && now.Before(r.until)
}

// Any reports whether any target is passed over.
func (d *Detector) Any(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ejected(now) > 0
}
