// Package forecast bounds what requests will take by what earlier ones took. It does no
// I/O.
//
// It serves one load pattern: requests keep coming while the process stops, and one that
// can't finish before the exit has to be refused while that is still true. A mean would
// let half of them run out of time, so all values are upper bounds.
package forecast

const (
	// lengthDecay is the share of its distance to a smaller sample by which the largest
	// one fades: it stands for about the last 100 streams.
	lengthDecay = 0.01
	// minLengthSamples is the number of streams from which on they are taken to be
	// shorter than stated.
	minLengthSamples = 20
)

// Lengths bounds the number of events of streams. It is safe for concurrent use.
type Lengths struct{ byRoute[routeLengths] }

// routeLengths holds the streams of one route: the number of events of those whose callers
// stated none, and the ratio to the stated number of the others.
type routeLengths struct{ unstated, ratio peak }

// Record adds a stream of a route. Its caller has stated the number of events, or 0. A
// stream that was cut counts only if it is the longest.
func (l *Lengths) Record(route string, stated, events int, whole bool) {
	l.update(route, func(r *routeLengths) {
		if stated > 0 {
			r.ratio.record(float64(events)/float64(stated), whole)
			return
		}
		r.unstated.record(float64(events), whole)
	})
}

// Bound returns the number of events that a stream of the route hardly exceeds. It is not
// known if the caller states none and no such stream was seen.
func (l *Lengths) Bound(route string, stated int) (events float64, known bool) {
	r := l.get(route)
	if stated <= 0 {
		return r.unstated.value, r.unstated.samples > 0
	}
	if r.ratio.value > 1 || r.ratio.samples >= minLengthSamples {
		return r.ratio.value * float64(stated), true
	}
	return float64(stated), true
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
