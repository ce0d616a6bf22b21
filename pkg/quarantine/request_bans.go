package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// BansPath is the path on a gateway's metrics listener that lists banned requests.
const BansPath = "/bans"

// BanReport is the requests that a gateway refuses because they crash targets.
type BanReport struct {
	Gateway  ident.VM     `json:"gateway"`
	Requests []RequestBan `json:"requests"`
}

// RequestBan is a request that is refused, with the evidence against it.
type RequestBan struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	UntilMS     int64       `json:"until-ms"` // Unix ms
	Ends        []SeenEnd   `json:"ends"`
}

// SeenEnd is the end of a target's process with the names of the records that have it.
type SeenEnd struct {
	End
	Records []ident.VM `json:"records"`
}

// Bans returns the banned requests by fingerprint. The own evidence is that of vm.
func (r *Requests) Bans(vm ident.VM, now time.Time) BanReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := BanReport{Gateway: vm, Requests: []RequestBan{}}
	for f := range r.fingerprints() {
		s := r.suspicion(f)
		ends, until, banned := verdict(s.live(now))
		if !banned {
			continue
		}
		b := RequestBan{Fingerprint: f, UntilMS: until.UnixMilli()}
		for _, e := range ends {
			b.Ends = append(b.Ends, SeenEnd{End: e, Records: r.recordsOf(f, e, vm)})
		}
		out.Requests = append(out.Requests, b)
	}
	slices.SortFunc(out.Requests, func(a, b RequestBan) int { return cmp.Compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return out
}

// fingerprints returns the requests in the evidence of all processes. The caller holds mu.
func (r *Requests) fingerprints() map[Fingerprint]bool {
	out := make(map[Fingerprint]bool)
	add := func(e Evidence) {
		for _, end := range e.Ends {
			for _, f := range end.Requests {
				out[f] = true
			}
		}
	}
	add(r.own)
	for e := range maps.Values(r.others) {
		add(e)
	}
	return out
}

// recordsOf returns the processes whose evidence has the end under the request. The caller
// holds mu.
func (r *Requests) recordsOf(f Fingerprint, end End, own ident.VM) []ident.VM {
	has := func(e Evidence) bool {
		return slices.ContainsFunc(e.Ends, func(seen EndWithRequests) bool {
			return seen.sameProcess(end) && slices.Contains(seen.Requests, f)
		})
	}
	var out []ident.VM
	if has(r.own) {
		out = append(out, own)
	}
	for vm, e := range maps.All(r.others) {
		if has(e) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}
