package grant

import "time"

// speed holds moving averages of the engine's observed speed.
type speed struct {
	tokensPerMS float64       // of prefill
	runTime     time.Duration // of a whole request
	// factor is how long work takes now, with 1 at the usual pace. tokensPerMS is at the
	// usual pace.
	factor float64
}

const (
	// averageWeight is the weight of the newest sample: a tenfold change shows
	// after about ten samples.
	averageWeight = 0.2
	// Speeds assumed before any sample: the order of magnitude of an engine with
	// several accelerators.
	initialTokensPerMS = 15
	initialRunTime     = 2 * time.Second
	// minTokensPerMS keeps the wait forecast finite for an engine that hangs.
	minTokensPerMS = 0.5
	// minDelay is shorter than the first-event delay of an idle engine. Shorter
	// samples come from cached prompts and say little about prefill speed.
	minDelay = 20 * time.Millisecond
)

func newSpeed() speed {
	return speed{tokensPerMS: initialTokensPerMS, runTime: initialRunTime, factor: 1}
}

// recordPrefill records how long the prefill of a number of prompt tokens took.
func (s *speed) recordPrefill(tokens int, delay time.Duration) {
	sample := s.factor * float64(tokens) / float64(max(delay, minDelay).Milliseconds())
	s.tokensPerMS = max(minTokensPerMS, average(s.tokensPerMS, sample))
}

func (s *speed) recordRun(d time.Duration) {
	s.runTime = time.Duration(average(float64(s.runTime), float64(d)))
}

func (s *speed) prefillTime(tokens int) time.Duration {
	return time.Duration(s.factor * float64(tokens) / s.tokensPerMS * float64(time.Millisecond))
}

func average(old, sample float64) float64 { return old + averageWeight*(sample-old) }
