// Package clocktest supports tests of code that must not depend on the wall clock.
package clocktest

import (
	"time"
	"unsafe"
)

// layout is the layout of time.Time. If wall's highest bit is set, the 33 bits
// below it hold the seconds of the wall clock since 1885 and ext holds the
// monotonic clock's reading.
type layout struct {
	wall uint64
	ext  int64
	loc  *time.Location
}

const (
	hasMonotonic = 1 << 63
	secondsShift = 30
)

// Jump returns t as read after the wall clock jumped by whole seconds. The monotonic
// reading stays the same. It panics if t has no monotonic reading.
func Jump(t time.Time, by time.Duration) time.Time {
	raw := (*layout)(unsafe.Pointer(&t))
	if raw.wall&hasMonotonic == 0 {
		panic("clocktest: time without a monotonic reading")
	}
	raw.wall += uint64(int64(by/time.Second)) << secondsShift
	return t
}
