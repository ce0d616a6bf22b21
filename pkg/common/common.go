// Package common provides the log and the metrics scope that most types need.
package common

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/uber-go/tally/v4"
)

// Common is embedded in types that log and record metrics.
type Common struct {
	Log     log.Logger
	Metrics tally.Scope
}

// With returns a Common whose log rows and metrics carry the component's name.
func (c Common) With(component string) Common {
	return Common{
		Log:     log.With(c.Log, "component", component),
		Metrics: c.Metrics.SubScope(component),
	}
}

// Info logs a row of key-value pairs at level info.
func (c Common) Info(keyvals ...any) { _ = level.Info(c.Log).Log(keyvals...) }

// Warn logs a row of key-value pairs at level warn.
func (c Common) Warn(keyvals ...any) { _ = level.Warn(c.Log).Log(keyvals...) }

// Debug logs a row of key-value pairs at level debug.
func (c Common) Debug(keyvals ...any) { _ = level.Debug(c.Log).Log(keyvals...) }

// NewLog returns a logger that writes one logfmt row for each event of at least
// the given level: debug, info, warn or error.
func NewLog(w io.Writer, minLevel string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(w))
	l = level.NewFilter(l, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC)
}

// Discard returns a Common that drops all log rows and metrics, for tests and
// tools.
func Discard() Common {
	return Common{Log: log.NewNopLogger(), Metrics: tally.NoopScope}
}
