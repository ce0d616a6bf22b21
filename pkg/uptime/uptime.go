// Package uptime tells how long the VM was suspended. The monotonic clock, which
// measures deadlines and leases, does not count that time.
package uptime

/*
#include <time.h>

// Returns the time in ns that CLOCK_BOOTTIME is ahead of CLOCK_MONOTONIC. The C
// library reads both without a system call.
static long long boottime_lead(void) {
	struct timespec boot, monotonic;
	if (clock_gettime(CLOCK_MONOTONIC, &monotonic) || clock_gettime(CLOCK_BOOTTIME, &boot))
		return 0;
	return (boot.tv_sec - monotonic.tv_sec) * 1000000000LL + boot.tv_nsec - monotonic.tv_nsec;
}
*/
import "C"

import "time"

// resolution is far above the time between the readings of two clocks and far below
// any suspension that matters.
const resolution = 50 * time.Millisecond

// Suspended returns how long the VM has been suspended since it started. It returns 0
// if the clocks cannot be read.
func Suspended() time.Duration { return time.Duration(C.boottime_lead()).Truncate(resolution) }
