package standin

import (
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/objects"
	"github.com/hyssoproad/hyssoproad/platform"
)

// ListKind returns the objects of a kind as platform.Store does, without a connection.
func (o *Objects) ListKind(kind platform.Kind) ([]platform.Object, platform.Position, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Outage {
		return nil, platform.Position{}, platform.ErrUnavailable
	}
	var out []platform.Object
	for key, object := range o.objects {
		if k, _ := objects.Split(key); k == kind {
			out = append(out, o.direct(object))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, platform.Position{Era: o.era, Revision: platform.Revision(o.last)}, nil
}

// direct returns an object as platform.Store does. The caller holds mu.
func (o *Objects) direct(object objects.Object) platform.Object {
	stored := toStoredObject(object)
	return platform.Object{Name: stored.Metadata.Name, Position: platform.Position{Era: o.era, Revision: platform.Revision(object.Version)}, Spec: stored.Spec}
}

// WatchKind waits for changes as platform.Store does, without a connection. As there, the
// store is told only the revision of the position.
func (o *Objects) WatchKind(kind platform.Kind, from platform.Position, wait time.Duration) ([]platform.Event, platform.Position, error) {
	for timeout := time.After(wait); ; {
		found, last, changed, err := o.changesSince(kind, objects.ObjectVersion(from.Revision))
		switch {
		case errors.Is(err, errHistoryGone):
			return nil, from, platform.ErrHistoryGone
		case err != nil:
			return nil, from, platform.ErrUnavailable
		}
		timedOut := false
		if len(found) == 0 {
			select {
			case <-changed:
			case <-timeout:
				timedOut = true
			}
		}
		if len(found) > 0 || timedOut {
			era := o.currentEra()
			var events []platform.Event
			for _, e := range found {
				at := platform.Position{Era: era, Revision: platform.Revision(e.Object.Metadata.Revision)}
				events = append(events, platform.Event{Object: platform.Object{Name: e.Object.Metadata.Name, Position: at, Spec: e.Object.Spec}, Removed: e.Removed})
			}
			return events, platform.Position{Era: era, Revision: platform.Revision(last)}, nil
		}
	}
}
