package gateway

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/platform"
)

// kindEvidence is the kind of the store's records of targets that ended with requests in
// progress. Each gateway has one, named after its VM. An operator lifts all bans of requests
// by deleting the records.
const kindEvidence platform.Kind = quarantine.EvidenceKind

const (
	// evidencePause and evidenceWait are the timing of the watch of the evidence. All gateways
	// have to know it before repeats of a request have ended more targets.
	evidencePause = 500 * time.Millisecond
	evidenceWait  = 15 * time.Second
	// evidenceInterval is the least time between two writes of a gateway, and
	// evidenceRetryDelay the delay after a failed one.
	evidenceInterval   = 500 * time.Millisecond
	evidenceRetryDelay = time.Second
	// evidenceListTime is how long a list may have been on its way, so that it lacks what was
	// written meanwhile.
	evidenceListTime = 5 * time.Second
)

// evidenceStore writes a gateway's evidence to the store.
type evidenceStore struct {
	g *Gateway
	// put and get access the gateway's record. They are replaced once there is a store.
	put func(spec json.RawMessage, at platform.Position) (platform.Position, error)
	get func() (platform.Object, error)
	// remove deletes the record of another VM.
	remove func(name string, at platform.Position) error

	mu        sync.Mutex
	at        platform.Position // of the record; zero if there is none
	scheduled bool
	wrote     time.Time
}

func newEvidenceStore(g *Gateway) *evidenceStore {
	return &evidenceStore{
		g:      g,
		put:    func(json.RawMessage, platform.Position) (platform.Position, error) { return platform.Position{}, nil },
		get:    func() (platform.Object, error) { return platform.Object{}, platform.ErrNotFound },
		remove: func(string, platform.Position) error { return nil },
	}
}

// use makes the evidence last in the store.
func (e *evidenceStore) use(s *platform.Store) {
	name := string(e.g.node.VM)
	e.put = func(spec json.RawMessage, at platform.Position) (platform.Position, error) {
		return s.Put(kindEvidence, name, spec, at)
	}
	e.get = func() (platform.Object, error) { return s.Get(kindEvidence, name) }
	e.remove = func(name string, at platform.Position) error { return s.Delete(kindEvidence, name, at) }
}

// schedule writes the evidence soon. Changes until then are written together.
func (e *evidenceStore) schedule() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.scheduled {
		return
	}
	e.scheduled = true
	go e.write(evidenceInterval - time.Since(e.wrote))
}

// write writes the evidence after a delay, and again until that succeeds.
func (e *evidenceStore) write(delay time.Duration) {
	for {
		time.Sleep(delay)
		e.mu.Lock()
		e.scheduled, e.wrote = false, time.Now()
		at := e.at
		e.mu.Unlock()
		spec, err := json.Marshal(e.g.requests.Own())
		if err != nil {
			e.g.Warn("msg", "failed to encode the evidence of targets that ended", "err", err)
			return
		}
		written, err := e.put(spec, at)
		if err == nil {
			e.observe(written)
			return
		}
		delay = e.g.addJitter(evidenceRetryDelay)
		if errors.Is(err, platform.ErrConflict) {
			if err = e.adopt(); err == nil {
				delay = evidenceInterval
			}
		}
		if err != nil {
			e.g.Info("msg", "failed to write the evidence of targets that ended", "err", err)
		}
		e.mu.Lock()
		again := !e.scheduled
		e.scheduled = true
		e.mu.Unlock()
		if !again {
			return // a later write is under way
		}
	}
}

// adopt reads the gateway's record, which an earlier process or a write without an answer has
// left, and adds it to the evidence.
func (e *evidenceStore) adopt() error {
	o, err := e.get()
	if errors.Is(err, platform.ErrNotFound) {
		e.forget()
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	e.g.adoptOwnEvidence(o)
	return nil
}

// observe records the position of the gateway's record.
func (e *evidenceStore) observe(at platform.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !at.SameHistory(e.at) || at.Revision > e.at.Revision {
		e.at = at
	}
}

// writtenLately reports whether a list that has just arrived may be older than the record.
func (e *evidenceStore) writtenLately() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.wrote) < evidenceListTime
}

// forget records that the gateway has no record. It reports whether it had one.
func (e *evidenceStore) forget() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	had := e.at != platform.Position{}
	e.at = platform.Position{}
	return had
}

// evidenceFollower returns the follower of the evidence of all gateways.
func (g *Gateway) evidenceFollower(source follow.Source, outage *follow.Outage) *follow.Follower {
	return &follow.Follower{
		Common: g.Common, Source: source, Kind: kindEvidence, Freshness: new(follow.Freshness),
		Timing: follow.Timing{Pause: evidencePause, Wait: evidenceWait}, Outage: outage,
		OnList:    g.replaceEvidence,
		OnChanges: changeHandler(g.putEvidence, func(o platform.Object) { g.removeEvidence(ident.VM(o.Name)) }),
	}
}

func (g *Gateway) replaceEvidence(l follow.Listing) {
	listed, now := make(map[ident.VM]bool, len(l.Objects)), time.Now()
	for _, o := range l.Objects {
		listed[ident.VM(o.Name)] = true
		g.putEvidence(o)
		if e, err := parseEvidence(o); err == nil && ident.VM(o.Name) != g.node.VM && e.Expired(now) {
			g.removeExpiredEvidence(o)
		}
	}
	for _, vm := range g.requests.Sources() {
		if !listed[vm] && !l.Restored {
			g.requests.Replace(vm, quarantine.Evidence{}, now)
		}
	}
	switch {
	case listed[g.node.VM], !l.Restored && g.evidence.writtenLately():
	case l.Restored:
		if g.evidence.forget() {
			g.evidence.schedule()
		}
	default:
		g.removeEvidence(g.node.VM)
	}
}

// removeExpiredEvidence deletes the record of a gateway that does not do so itself.
func (g *Gateway) removeExpiredEvidence(o platform.Object) {
	go func() {
		if err := g.evidence.remove(o.Name, o.Position); err != nil {
			g.Info("msg", "failed to delete expired evidence", "of", o.Name, "err", err)
		}
	}()
}

func parseEvidence(o platform.Object) (quarantine.Evidence, error) {
	var e quarantine.Evidence
	err := json.Unmarshal(o.Spec, &e)
	return e, errors.Trace(err)
}

func (g *Gateway) putEvidence(o platform.Object) {
	if ident.VM(o.Name) == g.node.VM {
		g.adoptOwnEvidence(o)
		return
	}
	e, err := parseEvidence(o)
	if err != nil {
		g.Warn("msg", "invalid evidence of targets that ended", "of", o.Name, "revision", o.Revision, "err", err)
		return
	}
	now := time.Now()
	g.requests.Replace(ident.VM(o.Name), e, now)
	if len(e.Ends) == 0 {
		return
	}
	for _, f := range e.Ends[len(e.Ends)-1].Requests {
		g.logBan(f, now)
	}
}

// adoptOwnEvidence adds the gateway's record, of which it may know less, to its evidence.
func (g *Gateway) adoptOwnEvidence(o platform.Object) {
	g.evidence.observe(o.Position)
	e, err := parseEvidence(o)
	if err != nil {
		g.Warn("msg", "invalid evidence of targets that ended", "of", o.Name, "revision", o.Revision, "err", err)
		return
	}
	g.requests.Adopt(e, time.Now())
}

// removeEvidence drops the evidence of a gateway whose record was deleted.
func (g *Gateway) removeEvidence(vm ident.VM) {
	if vm != g.node.VM {
		g.requests.Replace(vm, quarantine.Evidence{}, time.Now())
		return
	}
	if g.evidence.forget() {
		g.Warn("msg", "evidence of targets that ended was deleted; it no longer counts")
		g.requests.Drop()
	}
}
