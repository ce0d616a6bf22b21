package forecast

import "time"

const (
	// minDurationSamples is the number of samples before which a bound is not known.
	minDurationSamples = 8
	// meanWeight and deviationWeight are the weights of a new sample, those of TCP's
	// retransmission timeout (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is the number of mean deviations above the mean. Responses vary more
	// than round trips, for which four are used.
	deviations = 6
)

// Durations bounds the time that something takes by route. It is safe for concurrent use.
type Durations struct{ byRoute[spread] }

// Record adds a sample.
func (d *Durations) Record(route string, took time.Duration) {
	d.update(route, func(s *spread) { s.record(float64(took)) })
}

// Bound returns the time that is hardly exceeded, or the fallback while there are too few
// samples.
func (d *Durations) Bound(route string, fallback time.Duration) time.Duration {
	s := d.get(route)
	if s.samples < minDurationSamples {
		return fallback
	}
	return time.Duration(s.mean + deviations*s.deviation)
}

// spread is a moving average with its mean deviation.
type spread struct {
	mean, deviation float64
	samples         int
}

func (s *spread) record(sample float64) {
	s.samples++
	if s.samples == 1 {
		s.mean, s.deviation = sample, sample/2
		return
	}
	s.deviation += deviationWeight * (max(s.mean-sample, sample-s.mean) - s.deviation)
	s.mean += meanWeight * (sample - s.mean)
}
