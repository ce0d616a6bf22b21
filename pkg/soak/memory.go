package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// memoryInterval is how often the memory of the processes is looked at.
const memoryInterval = 100 * time.Millisecond

// watchMemory records a violation for each process that takes more memory than its VM has,
// once, and returns the largest figure in MB when ctx ends.
func (d *deployment) watchMemory(ctx context.Context) (peakMB int) {
	reported := make(map[*process]bool)
	for {
		for _, p := range d.processes {
			mb, err := d.memoryMB(p)
			if err != nil {
				continue // the process is starting again
			}
			peakMB = max(peakMB, mb)
			if mb > memoryMB && !reported[p] {
				reported[p] = true
				d.oracle.RecordViolation(Violation{GuaranteeMemory, "", fmt.Sprintf("%s takes %d of %d MB", p.name, mb, memoryMB)})
			}
		}
		select {
		case <-ctx.Done():
			return peakMB
		case <-time.After(memoryInterval):
		}
	}
}

// memoryMB returns the resident memory of a process in MB.
func (d *deployment) memoryMB(p *process) (int, error) {
	pid, err := d.pid(p)
	if err != nil {
		return 0, errors.Trace(err)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	return residentMB(string(status))
}

// residentMB returns the resident memory in the text of a process's status file, in MB.
func residentMB(status string) (int, error) {
	for line := range strings.Lines(status) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb >> 10, errors.Trace(err)
		}
	}
	return 0, errors.NotFoundf("resident memory in a status file")
}
