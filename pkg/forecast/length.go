// Package forecast bounds what requests will take by what earlier ones took. It does no
// I/O.
//
// It serves one load pattern: requests keep coming while the process stops, and one that
// can't finish before the exit has to be refused while that is still true. A mean would
// let half of them run out of time, so all values are upper bounds.
package forecast

import "sync"

const (
	// lengthDecay is the share of its distance to a smaller sample by which the largest
	// one fades: it stands for about the last 100 streams.
	lengthDecay = 0.01
	// minLengthSamples is the number of streams from which on they are taken to be
	// shorter than stated.
	minLengthSamples = 20
)

// Lengths bounds the number of events of streams. It is safe for concurrent use.
type Lengths struct {
	mu     sync.Mutex
	routes map[string]*routeLengths
}

// routeLengths holds the streams of one route: the number of events of those whose callers
// stated none, and the ratio to the stated number of the others.
type routeLengths struct{ unstated, ratio peak }

// NewLengths returns a Lengths without samples.
func NewLengths() *Lengths { return &Lengths{routes: make(map[string]*routeLengths)} }

// Record adds a stream of a route. Its caller has stated the number of events, or 0. A
// stream that was cut counts only if it is the longest.
func (l *Lengths) Record(route string, stated, events int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if r == nil {
		r = &routeLengths{}
		l.routes[route] = r
	}
	if stated > 0 {
		r.ratio.record(float64(events)/float64(stated), whole)
		return
	}
	r.unstated.record(float64(events), whole)
}

// Bound returns the number of events that a stream of the route hardly exceeds. It is not
// known if the caller states none and no such stream was seen.
func (l *Lengths) Bound(route string, stated int) (events float64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[route]
	if stated <= 0 {
		if r == nil || r.unstated.samples == 0 {
			return 0, false
		}
		return r.unstated.value, true
	}
	ratio := 1.0
	if r != nil && (r.ratio.value > 1 || r.ratio.samples >= minLengthSamples) {
		ratio = r.ratio.value
	}
	return ratio * float64(stated), true
}

// Retain forgets the routes that are not kept.
func (l *Lengths) Retain(keep func(route string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route := range l.routes {
		if !keep(route) {
			delete(l.routes, route)
		}
	}
}

// peak is the largest sample, which fades.
type peak struct {
	value   float64
	samples int
}

func (p *peak) record(sample float64, whole bool) {
	if !whole {
		if sample > p.value {
			p.value, p.samples = sample, p.samples+1
		}
		return
	}
	p.samples++
	p.value = max(sample, p.value-lengthDecay*(p.value-sample))
}
