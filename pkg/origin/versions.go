package origin

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Versions is which software versions the targets of each service have stated, and when last.
// It is safe for concurrent use.
type Versions struct {
	mu   sync.Mutex
	seen map[ident.Service]map[ident.Software]time.Time
	// gaps are times until which versions may have been missed.
	gaps []time.Time
}

// NewVersions returns a record without versions.
func NewVersions() *Versions {
	return &Versions{seen: make(map[ident.Service]map[ident.Software]time.Time)}
}

// Observe records that a target of the service has stated a version.
func (v *Versions) Observe(s ident.Service, software ident.Software, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	versions := v.seen[s]
	if versions == nil {
		versions = make(map[ident.Software]time.Time)
		v.seen[s] = versions
	}
	versions[software] = now
	for other, at := range versions {
		if now.Sub(at) > MaxTTL {
			delete(versions, other)
		}
	}
}

// RecordGap records that until now targets may have stated a version and left, unnoticed.
func (v *Versions) RecordGap(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gaps = append(slices.DeleteFunc(v.gaps, func(gap time.Time) bool { return now.Sub(gap) > MaxTTL }), now)
}

// CloseGap records that the versions stated in the gap that was recorded at a time have been
// observed since.
func (v *Versions) CloseGap(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.gaps = slices.DeleteFunc(v.gaps, at.Equal)
}

// Sole returns the only version that targets of the service have stated within a time, if there
// was only one.
func (v *Versions) Sole(s ident.Service, within time.Duration, now time.Time) (ident.Software, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	stated := v.stated(s, within, now)
	inGap := slices.ContainsFunc(v.gaps, func(gap time.Time) bool { return now.Sub(gap) <= within })
	if inGap || len(stated) != 1 {
		return "", false
	}
	return stated[0], true
}

// Several reports whether targets of the service have stated more than one version within a
// time.
func (v *Versions) Several(s ident.Service, within time.Duration, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.stated(s, within, now)) > 1
}

// stated returns the versions stated within a time. The caller holds mu.
func (v *Versions) stated(s ident.Service, within time.Duration, now time.Time) (out []ident.Software) {
	for software, at := range v.seen[s] {
		if now.Sub(at) <= within {
			out = append(out, software)
		}
	}
	return out
}
