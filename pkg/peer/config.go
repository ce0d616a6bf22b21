package peer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/member"
	"github.com/hyssoproad/hyssoproad/pkg/rollout"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const (
	watchRetry  = 500 * time.Millisecond
	pushTimeout = 2 * time.Second
	maxPushes   = 64
)

// relay reports whether this entry is one of those that watch the object API.
func (p *Peer) relay() bool {
	for _, e := range member.Relays(p.Entries(), p.settings.Relays) {
		if e.VM == p.settings.VM {
			return true
		}
	}
	return false
}

// configLoop follows the configuration log: through a watch on relays, and
// through the other entries elsewhere, while those confirm it.
func (p *Peer) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.follow(ctx); err != nil {
			p.Debug("msg", "configuration not followed", "err", err)
			sleep(ctx, watchRetry)
		}
	}
}

func (p *Peer) follow(ctx context.Context) error {
	if p.relay() {
		return p.Config.Follow(ctx, p.watchTime())
	}
	sleep(ctx, watchRetry)
	// Relays prove the configuration once in each watch; only without one of
	// them does an entry ask by itself.
	if time.Since(p.Config.Fresh()) < 2*p.watchTime() {
		return nil
	}
	return p.Config.Refresh(ctx)
}

// watchTime is how long a watch waits. Its end proves that the configuration
// in force was the latest when it began, so it stays well below the maximum
// age.
func (p *Peer) watchTime() time.Duration { return p.settings.ConfigMaxAge.Std() / 3 }

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (p *Peer) serveConfigPull(_ context.Context, s *link.Stream, f link.Frame) error {
	return rollout.ServePull(p.Config, s, f)
}

func (p *Peer) serveConfigDelta(ctx context.Context, s *link.Stream, f link.Frame) error {
	var d wire.ConfigDelta
	if _, err := d.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	if !d.Full {
		p.Config.Apply(d.Records)
	}
	if p.Config.Catalog().Revision() < d.Revision {
		p.pull(ctx, s.Conn())
	}
	return s.Send(link.KindConfigAck, &wire.ConfigAck{Revision: p.Config.Catalog().Revision()})
}

func (p *Peer) pull(ctx context.Context, conn *link.Conn) {
	if err := rollout.Pull(ctx, conn, p.Config, false); err != nil {
		p.Debug("msg", "configuration not pulled", "peer", conn.Peer.VM, "err", err)
	}
}

// CatchUp brings the configuration to a revision that another process acted
// on, from the entries or the object API.
func (p *Peer) CatchUp(ctx context.Context, revision ident.Revision) error {
	for _, address := range p.otherEntries() {
		if p.Config.Catalog().Revision() >= revision {
			return nil
		}
		if conn, err := p.Pool.Get(ctx, address); err == nil {
			p.pull(ctx, conn)
		}
	}
	if p.Config.Catalog().Revision() >= revision {
		return nil
	}
	return errors.Trace(p.Config.Refresh(ctx))
}

// pushLoop sends each new revision to the other entries and to the agents that
// report here.
func (p *Peer) pushLoop(ctx context.Context) {
	pushed := p.Config.Catalog().Revision()
	for {
		select {
		case <-p.pushes:
		case <-ctx.Done():
			return
		}
		revision := p.Config.Catalog().Revision()
		if revision > pushed {
			p.push(ctx, pushed)
			pushed = revision
		}
	}
}

func (p *Peer) push(ctx context.Context, after ident.Revision) {
	slots := make(chan struct{}, maxPushes)
	var wg sync.WaitGroup
	send := func(conn *link.Conn, d wire.ConfigDelta) {
		slots <- struct{}{}
		wg.Go(func() {
			p.pushOne(ctx, conn, d)
			<-slots
		})
	}
	full := p.announcement(after, false)
	for _, address := range p.otherEntries() {
		if conn, err := p.Pool.Get(ctx, address); err == nil {
			send(conn, full)
		}
	}
	lean := p.announcement(after, true)
	for _, conn := range p.agentConns() {
		send(conn, lean)
	}
	wg.Wait()
}

// announcement is a small delta, or only the new revision where the delta is
// large: the receiver then pulls.
func (p *Peer) announcement(after ident.Revision, lean bool) wire.ConfigDelta {
	pages := p.Config.Delta(after, lean)
	if len(pages) == 1 && !pages[0].Full {
		return pages[0]
	}
	return wire.ConfigDelta{Revision: p.Config.Catalog().Revision()}
}

func (p *Peer) agentConns() []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link.Conn, 0, len(p.agents))
	for _, conn := range p.agents {
		out = append(out, conn)
	}
	return out
}

func (p *Peer) pushOne(ctx context.Context, conn *link.Conn, d wire.ConfigDelta) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var ack wire.ConfigAck
	if err := conn.Call(ctx, link.KindConfigDelta, &d, link.KindConfigAck, &ack); err != nil {
		p.Debug("msg", "configuration not pushed", "peer", conn.Peer.VM, "err", err)
	}
}
