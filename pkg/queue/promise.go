package queue

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// promise returns the time after which a refused request is expected to be
// served, and has the adapter loaded by then. It returns 0 when no time can be
// told.
func (s *Scheduler) promise(now time.Time, l *line, r *Request, expected time.Duration) time.Duration {
	wait := max(time.Duration(promiseMargin*float64(expected)), time.Second)
	if !r.Promise || wait > maxPromiseWait || l.state == loaded && !l.closing {
		return 0
	}
	if len(l.due) == 0 && s.promised(now) >= s.maxPromised() {
		return 0
	}
	l.add(now, now.Add(wait), s.epoch)
	s.wanted[l.key] = l
	return wait
}

// maxPromised bounds the adapters that are loaded for requests which may never
// come back.
func (s *Scheduler) maxPromised() int { return max(1, s.settings.Slots/promisedSlots) }

// promisedSlots is the number of slots for each of which one promise is kept.
const promisedSlots = 4

// promised counts the adapters with promises.
func (s *Scheduler) promised(now time.Time) int {
	n := 0
	for _, lines := range []map[ident.AdapterVersion]*line{s.wanted, s.resident} {
		for _, l := range lines {
			if len(l.due) == 0 {
				continue
			}
			if l.drop(now, s.epoch, false); len(l.due) > 0 {
				n++
			}
		}
	}
	return n
}

// promises are the refused requests of a line that were told when to retry.
type promises struct {
	due         []promise
	promisedSum float64 // sum of their refusal times, in s since the epoch
}

type promise struct {
	made, due time.Time
}

const (
	// maxPromiseWait bounds the wait that a promise can be made for.
	maxPromiseWait = 60 * time.Second
	// promiseGrace is how long after its time a promise is kept.
	promiseGrace = 5 * time.Second
	// promiseMargin stretches the expected wait that is told.
	promiseMargin = 2
)

func (p *promises) add(now, due, epoch time.Time) {
	p.due = append(p.due, promise{made: now, due: due})
	p.promisedSum += now.Sub(epoch).Seconds()
}

// drop forgets the promises whose time is over, and, when a request came back,
// the oldest one.
func (p *promises) drop(now, epoch time.Time, kept bool) {
	var left []promise
	p.promisedSum = 0
	for i, x := range p.due {
		if kept && i == 0 || now.After(x.due.Add(promiseGrace)) {
			continue
		}
		left = append(left, x)
		p.promisedSum += x.made.Sub(epoch).Seconds()
	}
	p.due = left
}

func (d *decayed) add(now time.Time, halfLife time.Duration) {
	d.count = d.value(now, halfLife) + 1
	d.at = now
}

const (
	// promiseLead is the time before a promise's by which its adapter goes
	// before most others.
	promiseLead   = 12 * time.Second
	promiseWeight = 20
)
