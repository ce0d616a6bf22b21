package grant

import "time"

// speed is what the engine was seen to do, as moving averages.
type speed struct {
	tokensPerMS float64       // of prompts
	runTime     time.Duration // of a request
}

const (
	// averageWeight is the weight of the newest sample: some ten samples make
	// a tenfold change visible.
	averageWeight = 0.2
	// What is assumed before anything was seen: the order of magnitude of an
	// engine of several accelerators.
	firstTokensPerMS = 15
	firstRunTime     = 2 * time.Second
	// minTokensPerMS keeps the forecast finite for an engine that hangs.
	minTokensPerMS = 0.5
	// minDelay is below what a first event takes on an idle engine; shorter
	// samples come from cached prompts and tell little.
	minDelay = 20 * time.Millisecond
)

func newSpeed() speed {
	return speed{tokensPerMS: firstTokensPerMS, runTime: firstRunTime}
}

// read records how long a backlog of prompt tokens took.
func (s *speed) read(tokens int, delay time.Duration) {
	sample := float64(tokens) / float64(max(delay, minDelay).Milliseconds())
	s.tokensPerMS = max(minTokensPerMS, average(s.tokensPerMS, sample))
}

func (s *speed) ran(d time.Duration) {
	s.runTime = time.Duration(average(float64(s.runTime), float64(d)))
}

func (s *speed) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.tokensPerMS * float64(time.Millisecond))
}

func average(old, sample float64) float64 { return old + averageWeight*(sample-old) }
