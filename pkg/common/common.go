// Package common holds what nearly every type needs: the log and the metrics.
package common

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// Common is embedded in the types that log and measure.
type Common struct {
	Log     log.Logger
	Metrics tally.Scope
}

// With returns a Common whose log rows carry the component's name.
func (c Common) With(component string) Common {
	return Common{
		Log:     log.With(c.Log, "component", component),
		Metrics: c.Metrics.SubScope(component),
	}
}

// Info logs a row of key-value pairs.
func (c Common) Info(keyvals ...any) { _ = level.Info(c.Log).Log(keyvals...) }

// Warn logs a row of key-value pairs.
func (c Common) Warn(keyvals ...any) { _ = level.Warn(c.Log).Log(keyvals...) }

// Debug logs a row of key-value pairs.
func (c Common) Debug(keyvals ...any) { _ = level.Debug(c.Log).Log(keyvals...) }

// NewLog returns a structured log of one row per event, from the given level
// up: debug, info, warn or error.
func NewLog(w io.Writer, lowest string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

// Discard returns a Common that keeps nothing, for tests and tools.
func Discard() Common {
	return Common{Log: log.NewNopLogger(), Metrics: tally.NoopScope}
}
