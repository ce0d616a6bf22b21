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

// isRelay reports whether this entry is a configuration relay, which watches
// the object API.
func (p *Peer) isRelay() bool {
	for _, e := range member.Relays(p.Entries(), p.settings.RelaysPerDomain) {
		if e.VM == p.settings.VM {
			return true
		}
	}
	return false
}

// configLoop keeps the configuration current. Relays watch the configuration
// log. Other entries receive it from their peers, and read the log themselves
// only if no peer confirms the configuration.
func (p *Peer) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := p.followConfig(ctx); err != nil {
			p.Debug("msg", "failed to follow the configuration log", "err", err)
			sleep(ctx, watchRetry)
		}
	}
}

func (p *Peer) followConfig(ctx context.Context) error {
	if p.isRelay() {
		return p.Config.Follow(ctx, p.watchTimeout())
	}
	sleep(ctx, watchRetry)
	// Relays confirm the configuration once per watch. An entry reads the log
	// itself only if it hears from no relay.
	if time.Since(p.Config.ConfirmedAt()) < 2*p.watchTimeout() {
		return nil
	}
	return p.Config.Refresh(ctx)
}

// watchTimeout returns the timeout of a watch. A watch that times out confirms
// that the configuration was the latest when the watch began, so the timeout
// must be well below the maximum age of the configuration.
func (p *Peer) watchTimeout() time.Duration {
	return min(p.settings.ConfigMaxAge.Std()/3, rollout.MaxWatch)
}

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
		p.Debug("msg", "failed to pull the configuration", "peer", conn.Peer.VM, "err", err)
	}
}

// UpdateConfigTo updates the configuration to at least a revision that another process
// uses, from the other entries or else from the object API.
func (p *Peer) UpdateConfigTo(ctx context.Context, revision ident.Revision) error {
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
// send heartbeats to this entry.
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
			p.pushTo(ctx, conn, d)
			<-slots
		})
	}
	full := p.announcement(after, false)
	for _, address := range p.otherEntries() {
		if conn, err := p.Pool.Get(ctx, address); err == nil {
			send(conn, full)
		}
	}
	withoutBulk := p.announcement(after, true)
	for _, conn := range p.agentConns() {
		send(conn, withoutBulk)
	}
	wg.Wait()
}

// announcement returns the delta if it fits one page, and otherwise only the new
// revision, after which the receiver pulls the delta.
func (p *Peer) announcement(after ident.Revision, withoutBulk bool) wire.ConfigDelta {
	pages := p.Config.Delta(after, withoutBulk)
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

func (p *Peer) pushTo(ctx context.Context, conn *link.Conn, d wire.ConfigDelta) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var ack wire.ConfigAck
	if err := conn.Call(ctx, link.KindConfigDelta, &d, link.KindConfigAck, &ack); err != nil {
		p.Debug("msg", "failed to push the configuration", "peer", conn.Peer.VM, "err", err)
	}
}
