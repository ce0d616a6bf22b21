package forecast

// Line is a least-squares line through samples (x, y). It keeps sums only. The zero value
// has no samples.
type Line struct {
	weight, x, y, xx, xy float64
}

// Forget multiplies the weight of all samples so far by a factor.
func (l *Line) Forget(factor float64) {
	l.weight, l.x, l.y, l.xx, l.xy = l.weight*factor, l.x*factor, l.y*factor, l.xx*factor, l.xy*factor
}

// Add adds a sample with a weight.
func (l *Line) Add(x, y, weight float64) {
	l.weight += weight
	l.x += weight * x
	l.y += weight * y
	l.xx += weight * x * x
	l.xy += weight * x * y
}

// Spread returns the weighted variance of x and its covariance with y, both times the
// weight of all samples. Their ratio is the slope of the line.
func (l *Line) Spread() (variance, covariance float64) {
	return l.xx - l.x*l.x/l.weight, l.xy - l.x*l.y/l.weight
}

// Mean returns the weighted means.
func (l *Line) Mean() (x, y float64) { return l.x / l.weight, l.y / l.weight }
