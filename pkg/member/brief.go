package member

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// BriefOf returns the part of a report that changes all the time.
func BriefOf(r wire.Report) wire.Brief {
	return wire.Brief{
		Target: r.Target, Incarnation: r.Incarnation, Sequence: r.Sequence, Revision: r.Revision,
		Running: r.Running, Waiting: r.Waiting, WaitMS: r.WaitMS, LoadWaitMS: r.LoadWaitMS,
		EvictCost: float32(r.EvictCost), Draining: r.Draining, Ready: r.Ready, Static: staticHash(r),
	}
}

// staticHash is the hash of the fields that a brief leaves out.
func staticHash(r wire.Report) uint64 {
	r.Sequence, r.Revision = 0, 0
	r.Running, r.Waiting, r.WaitMS, r.LoadWaitMS = 0, 0, 0, 0
	r.EvictCost, r.Draining, r.Ready = 0, false, false
	encoded, err := r.MarshalMsg(nil)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(encoded)
}

// merge puts a brief's fields into a report with the same other fields.
func merge(r wire.Report, b wire.Brief) wire.Report {
	r.Sequence, r.Revision = b.Sequence, b.Revision
	r.Running, r.Waiting, r.WaitMS, r.LoadWaitMS = b.Running, b.Waiting, b.WaitMS, b.LoadWaitMS
	r.EvictCost, r.Draining, r.Ready = float64(b.EvictCost), b.Draining, b.Ready
	return r
}

// Expand returns the whole report that a brief stands for. It reports false if
// the registry lacks the other fields.
func (r *Registry) Expand(b wire.Brief) (wire.Report, bool) {
	m, known := r.Get(b.Target)
	if !known || m.static != b.Static {
		return wire.Report{}, false
	}
	return merge(m.Report, b), true
}

// EntriesHash is the hash of what identifies entries.
func EntriesHash(entries []wire.EntryInfo) uint64 {
	h := xxhash.New()
	for _, e := range entries {
		_, _ = h.WriteString(string(e.VM) + " " + string(e.Domain) + " " + e.Address + "\n")
	}
	return h.Sum64()
}

// Outbox remembers which receivers have which reports, so that only what they
// lack is sent whole.
type Outbox struct {
	mu   sync.Mutex
	sent map[string]map[ident.Target]uint64
}

// NewOutbox returns an outbox whose receivers have nothing.
func NewOutbox() *Outbox {
	return &Outbox{sent: make(map[string]map[ident.Target]uint64)}
}

// Lacking returns those of the reports that must be sent whole to a receiver.
func (o *Outbox) Lacking(receiver string, reports []wire.Report) []wire.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	have := o.sent[receiver]
	if have == nil {
		have = make(map[ident.Target]uint64)
		o.sent[receiver] = have
	}
	var out []wire.Report
	for _, r := range reports {
		if hash := staticHash(r); have[r.Target] != hash {
			have[r.Target] = hash
			out = append(out, r)
		}
	}
	return out
}

// Forget notes that a receiver lacks reports.
func (o *Outbox) Forget(receiver string, targets ...ident.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, t := range targets {
		delete(o.sent[receiver], t)
	}
}

// Reset notes that a receiver may lack everything, as after a lost message.
func (o *Outbox) Reset(receiver string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sent, receiver)
}

// DigestPeriod is the time between two digests of an entry. It grows with the
// number of entries, so that an entry's share of the traffic does not.
func DigestPeriod(entries int) time.Duration {
	return max(time.Second, time.Duration(entries)*time.Second/entriesPerSecond)
}

// entriesPerSecond is the number of entries that an entry sends digests to in a
// second.
const entriesPerSecond = 6
