package fleet

import (
	"slices"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// maxPastTargets bounds each of the two generations of targets that have left, and
// maxPastProcesses the earlier processes of one target.
const (
	maxPastTargets   = 2048
	maxPastProcesses = 8
)

// process is one process of a target, with the newest record that it has written.
type process struct {
	startMS   int64
	heartbeat uint64
	draining  bool
}

// pastTargets are the processes that have left, by target. A store that is behind, or has
// returned from an older copy, may list them again.
type pastTargets struct {
	newer, older map[ident.Target][]process
	// suspects are processes of which one record has come that may be a late one.
	suspects map[ident.Target]process
}

func newPastTargets() pastTargets {
	return pastTargets{newer: make(map[ident.Target][]process), older: make(map[ident.Target][]process), suspects: make(map[ident.Target]process)}
}

// add records that the process of a target has left or has been replaced.
func (p *pastTargets) add(t Target) {
	if t.StartMS == 0 {
		return // nothing tells it from another one
	}
	list := p.processes(t.Instance)
	kept := make([]process, 0, len(list)+1)
	for _, old := range list {
		if old.startMS != t.StartMS {
			kept = append(kept, old)
		}
	}
	kept = append(kept, process{t.StartMS, t.Heartbeat, t.Draining})
	if len(kept) > maxPastProcesses {
		kept = kept[1:]
	}
	if len(p.newer) >= maxPastTargets {
		p.newer, p.older = make(map[ident.Target][]process), p.newer
	}
	p.newer[t.Instance] = kept
}

func (p *pastTargets) processes(id ident.Target) []process {
	if list, ok := p.newer[id]; ok {
		return list
	}
	return p.older[id]
}

func hasProcess(list []process, startMS int64) bool {
	return slices.ContainsFunc(list, func(p process) bool { return p.startMS == startMS })
}

// contains reports whether a record is of a process that has left, replaced by the current
// one or not. One that was removed though it is alive, as may happen around an outage,
// writes newer records, and so does one that a late record of an earlier process has
// replaced; one that was draining does not come back.
func (p *pastTargets) contains(t Target, current Target, replaced bool) bool {
	if t.StartMS == 0 {
		return false
	}
	list := p.processes(t.Instance)
	for i, past := range list {
		if past.startMS != t.StartMS {
			continue
		}
		if past.draining || t.Heartbeat != 0 && t.Heartbeat <= past.heartbeat {
			return true
		}
		if replaced && t.Heartbeat != 0 && (t.StartMS > current.StartMS || hasProcess(list, current.StartMS)) {
			return false // start times may mislead, since clocks jump; the living one writes on
		}
		return replaced || i < len(list)-1
	}
	return false
}

// mayBeLate reports whether a record that names no process known to have ended may still be
// a late one of a process before the target's last, which leaves or has left: the store may
// carry a write out seconds after it was sent. current is the last process if it is listed.
func (p *pastTargets) mayBeLate(t Target, current Target, listed bool) bool {
	list := p.processes(t.Instance)
	if listed {
		return current.Draining && hasProcess(list, t.StartMS)
	}
	return len(list) > 0 && t.StartMS != 0 && t.StartMS < list[len(list)-1].startMS
}

// writesAgain reports whether a suspect record is the second one of its process. A process
// that is alive writes on, whatever its clock says.
func (p *pastTargets) writesAgain(t Target) bool {
	before, known := p.suspects[t.Instance]
	if t.Heartbeat == 0 || known && before.startMS == t.StartMS && before.heartbeat < t.Heartbeat {
		delete(p.suspects, t.Instance)
		return true
	}
	if len(p.suspects) >= maxPastTargets {
		clear(p.suspects)
	}
	p.suspects[t.Instance] = process{t.StartMS, t.Heartbeat, t.Draining}
	return false
}

// olderThan reports whether a process wrote the record before another one of its records.
func (t Target) olderThan(other Target) bool {
	return t.Heartbeat != 0 && t.Heartbeat < other.Heartbeat
}

// equalsButHeartbeat reports whether two records tell the same but for their heartbeats.
func (t Target) equalsButHeartbeat(other Target) bool {
	t.Heartbeat = other.Heartbeat
	return t == other
}
