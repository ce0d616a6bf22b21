package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/follow"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/quarantine"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// kindBans is the kind of the store's records of banned parts of prompts, which are named
// after the parts. An operator lifts a ban by deleting its record.
const kindBans platform.Kind = quarantine.BansKind

const (
	// banPause and banWait are the timing of the watch of bans. Agents tell of crashes
	// at once; the store matters to gateways that start.
	banPause = time.Second
	banWait  = 15 * time.Second
	// maxBanDelay bounds the random delay before a ban is written, within which most
	// gateways see the record of another one.
	maxBanDelay = 200 * time.Millisecond
	// banRetryDelay is the delay before a failed write is repeated, and maxBanRetries
	// the number of repetitions.
	banRetryDelay = time.Second
	maxBanRetries = 60
)

// banStore is the store's records of banned parts.
type banStore struct {
	// put and remove write to the store. They are replaced once there is one.
	put    func(part ident.PromptPart, spec json.RawMessage) error
	remove func(part ident.PromptPart, at platform.Position) error

	mu       sync.Mutex
	recorded map[ident.PromptPart]platform.Position
}

func newBanStore() *banStore {
	return &banStore{
		put:      func(ident.PromptPart, json.RawMessage) error { return nil },
		remove:   func(ident.PromptPart, platform.Position) error { return nil },
		recorded: make(map[ident.PromptPart]platform.Position),
	}
}

// use makes the bans last in the store.
func (b *banStore) use(s *platform.Store) {
	b.put = func(part ident.PromptPart, spec json.RawMessage) error {
		_, err := s.Put(kindBans, string(part), spec, platform.Position{})
		return errors.Trace(err)
	}
	b.remove = func(part ident.PromptPart, at platform.Position) error {
		return errors.Trace(s.Delete(kindBans, string(part), at))
	}
}

func (b *banStore) set(part ident.PromptPart, at platform.Position) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorded[part] = at
}

func (b *banStore) unset(part ident.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.recorded, part)
}

func (b *banStore) position(part ident.PromptPart) (platform.Position, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.recorded[part]
	return at, ok
}

// names returns the recorded parts.
func (b *banStore) names() []ident.PromptPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ident.PromptPart, 0, len(b.recorded))
	for part := range b.recorded {
		out = append(out, part)
	}
	return out
}

// banRecord is the record of a ban in the store.
type banRecord struct {
	Crashes []quarantine.Crash `json:"crashes"`
	Gateway ident.VM           `json:"gateway"`
}

// handleCrashReport records that an engine ended while requests waited for their first
// events.
func (g *Gateway) handleCrashReport(_ context.Context, _ *link.Stream, f link.Frame) error {
	var r wire.CrashReport
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	for _, b := range g.quarantine.Record(quarantine.Crash{VM: r.VM, StartMS: r.StartMS}, r.Parts, time.Now()) {
		g.Warn("msg", "part of prompts banned", "part", b.Part, "crashes", fmt.Sprint(b.Crashes))
		go g.recordBan(b)
	}
	return nil
}

// recordBan writes a ban to the store unless another gateway has done so.
func (g *Gateway) recordBan(b quarantine.Ban) {
	spec, err := json.Marshal(banRecord{Crashes: b.Crashes, Gateway: g.node.VM})
	if err != nil {
		g.Warn("msg", "failed to encode a ban", "part", b.Part, "err", err)
		return
	}
	delay := rand.N(maxBanDelay)
	for range maxBanRetries {
		time.Sleep(delay)
		_, recorded := g.bans.position(b.Part)
		_, banned := g.quarantine.Banned([]ident.PromptPart{b.Part}, time.Now())
		if recorded || !banned {
			return
		}
		err = g.bans.put(b.Part, spec)
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return
		}
		delay = g.addJitter(banRetryDelay)
	}
	g.Warn("msg", "failed to record a ban in the store", "part", b.Part, "err", err)
}

// clearParts records that a request with the parts had an event.
func (g *Gateway) clearParts(parts []ident.PromptPart) {
	for _, p := range g.quarantine.Clear(parts) {
		g.Warn("msg", "ban of a part of prompts ended: a request with it had an event", "part", p)
		g.removeBan(p)
	}
}

// removeBan deletes the record of a ban that was wrong.
func (g *Gateway) removeBan(p ident.PromptPart) {
	at, recorded := g.bans.position(p)
	if !recorded {
		return
	}
	go func() {
		if err := g.bans.remove(p, at); err != nil {
			g.Warn("msg", "failed to remove a ban from the store", "part", p, "err", err)
		}
	}()
}

// banFollower returns the follower of the bans in the store.
func (g *Gateway) banFollower(source follow.Source, outage *follow.Outage) *follow.Follower {
	return &follow.Follower{
		Common: g.Common, Source: source, Kind: kindBans, Freshness: new(follow.Freshness),
		Timing: follow.Timing{Pause: banPause, Wait: banWait}, Outage: outage,
		OnList: func(l follow.Listing) {
			listed := make(map[ident.PromptPart]bool, len(l.Objects))
			for _, o := range l.Objects {
				listed[ident.PromptPart(o.Name)] = true
				g.adoptBan(o)
			}
			for _, part := range g.bans.names() {
				switch {
				case listed[part]:
				case l.Restored:
					g.repeatBan(part)
				default:
					g.liftBan(part)
				}
			}
		},
		OnChanges: changeHandler(g.adoptBan, func(o platform.Object) { g.liftBan(ident.PromptPart(o.Name)) }),
	}
}

func (g *Gateway) adoptBan(o platform.Object) {
	var r banRecord
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		g.Warn("msg", "invalid record of a banned part of prompts", "part", o.Name, "revision", o.Revision, "err", err)
		return
	}
	now, part := time.Now(), ident.PromptPart(o.Name)
	g.bans.set(part, o.Position)
	if len(g.quarantine.Uncleared([]ident.PromptPart{part})) == 0 {
		g.Warn("msg", "ban of a part of prompts ended: a request with it had an event", "part", part, "by", r.Gateway)
		g.removeBan(part)
		return
	}
	if g.quarantine.Adopt(quarantine.Ban{Part: part, Crashes: r.Crashes, Until: now.Add(quarantine.BanTime)}, now) {
		g.Warn("msg", "part of prompts banned", "part", part, "by", r.Gateway, "revision", o.Revision, "crashes", fmt.Sprint(r.Crashes))
	}
}

// repeatBan writes a ban again that the store has lost.
func (g *Gateway) repeatBan(part ident.PromptPart) {
	g.bans.unset(part)
	if b, banned := g.quarantine.Banned([]ident.PromptPart{part}, time.Now()); banned {
		g.Info("msg", "record of a ban lost by the store; writing it again", "part", part)
		go g.recordBan(b)
	}
}

func (g *Gateway) liftBan(part ident.PromptPart) {
	g.bans.unset(part)
	if g.quarantine.Lift(part) {
		g.Warn("msg", "ban of a part of prompts lifted: its record was removed", "part", part)
	}
}

// reportLost tells the target's agent, if it has one, of a request that was lost before
// its first event, if a part of its prompt is not known to be sound.
func (x *exchange) reportLost(a *assignment, step string, err error) {
	if a.agent == nil || x.eventSeen || step != stepAnswer && step != stepStream || isTimeout(err) {
		return
	}
	parts := x.g.quarantine.Uncleared(x.q.parts)
	if len(parts) == 0 {
		return
	}
	if err := a.agent.Notify(link.KindRequestLost, &wire.RequestLost{Parts: parts}); err != nil {
		x.g.Info("msg", "failed to report a lost request", "agent", a.agent.Peer.VM, "err", err)
	}
}
