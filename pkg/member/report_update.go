package member

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// NewReportUpdate returns the fields of a report that change often.
func NewReportUpdate(r wire.Report) wire.ReportUpdate {
	return wire.ReportUpdate{
		Target: r.Target, Incarnation: r.Incarnation, Sequence: r.Sequence, Revision: r.Revision,
		Running: r.Running, Waiting: r.Waiting, WaitMS: r.WaitMS, LoadWaitMS: r.LoadWaitMS,
		EvictCost: float32(r.EvictCost), Draining: r.Draining, Ready: r.Ready, Static: staticHash(r),
	}
}

// staticHash returns the hash of the target, its incarnation and the fields that
// are not in an update.
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

// applyUpdate returns the report with the fields of the update.
func applyUpdate(r wire.Report, u wire.ReportUpdate) wire.Report {
	r.Sequence, r.Revision = u.Sequence, u.Revision
	r.Running, r.Waiting, r.WaitMS, r.LoadWaitMS = u.Running, u.Waiting, u.WaitMS, u.LoadWaitMS
	r.EvictCost, r.Draining, r.Ready = float64(u.EvictCost), u.Draining, u.Ready
	return r
}

// Expand returns the full report for an update. It reports false if the registry
// does not hold the fields that are not in the update, or holds others.
func (r *Registry) Expand(u wire.ReportUpdate) (wire.Report, bool) {
	m, known := r.Get(u.Target)
	if !known || m.static != u.Static {
		return wire.Report{}, false
	}
	return applyUpdate(m.Report, u), true
}

// EntriesHash returns the hash of the identities and addresses of entries.
func EntriesHash(entries []wire.EntryInfo) uint64 {
	h := xxhash.New()
	for _, e := range entries {
		_, _ = h.WriteString(string(e.VM) + " " + string(e.Domain) + " " + e.Address + "\n")
	}
	return h.Sum64()
}

// ReportTracker tracks which reports each receiver has, so that a report is sent in full
// only to receivers that lack it.
type ReportTracker struct {
	mu   sync.Mutex
	sent map[string]map[ident.Target]uint64
}

// NewReportTracker returns a tracker whose receivers have no reports.
func NewReportTracker() *ReportTracker {
	return &ReportTracker{sent: make(map[string]map[ident.Target]uint64)}
}

// MarkSent returns the reports that must be sent to a receiver in full, and
// records them as sent.
func (t *ReportTracker) MarkSent(receiver string, reports []wire.Report) []wire.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	sentHashes := t.sent[receiver]
	if sentHashes == nil {
		sentHashes = make(map[ident.Target]uint64)
		t.sent[receiver] = sentHashes
	}
	var out []wire.Report
	for _, r := range reports {
		if hash := staticHash(r); sentHashes[r.Target] != hash {
			sentHashes[r.Target] = hash
			out = append(out, r)
		}
	}
	return out
}

// MarkMissing records that a receiver lacks the reports of some targets.
func (t *ReportTracker) MarkMissing(receiver string, targets ...ident.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, target := range targets {
		delete(t.sent[receiver], target)
	}
}

// Reset records that a receiver may lack all reports, as after a lost message.
func (t *ReportTracker) Reset(receiver string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sent, receiver)
}

// DigestPeriod returns the time between two digests of an entry. It grows with
// the number of entries, so that the traffic of each entry stays constant.
func DigestPeriod(entries int) time.Duration {
	return max(time.Second, time.Duration(entries)*time.Second/digestsPerSecond)
}

// digestsPerSecond is the number of entries to which an entry sends digests per
// second.
const digestsPerSecond = 6
