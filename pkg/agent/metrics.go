package agent

import (
	"time"

	"github.com/uber-go/tally/v4"
)

type metrics struct {
	started, finished, refused, failed tally.Counter
	loads, loadFailures, evictions     tally.Counter
	engineRestarts, foreignChunks      tally.Counter
	resumes                            tally.Counter
	stall, queueWait, loadTime         tally.Histogram
	running, waiting                   tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)
	return metrics{
		started:        s.Counter("requests_started"),
		finished:       s.Counter("requests_finished"),
		refused:        s.Counter("requests_refused"),
		failed:         s.Counter("requests_failed"),
		loads:          s.Counter("adapter_loads"),
		loadFailures:   s.Counter("adapter_load_failures"),
		evictions:      s.Counter("adapter_evictions"),
		engineRestarts: s.Counter("engine_restarts"),
		foreignChunks:  s.Counter("foreign_chunks"),
		resumes:        s.Counter("stream_resumes"),
		stall:          s.Histogram("load_stall", buckets),
		queueWait:      s.Histogram("queue_wait", buckets),
		loadTime:       s.Histogram("load_time", buckets),
		running:        s.Gauge("running"),
		waiting:        s.Gauge("waiting"),
	}
}
