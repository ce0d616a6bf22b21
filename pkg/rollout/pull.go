package rollout

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const pullTimeout = 3 * time.Second

// Pull requests the changes after the current revision from a peer and applies
// them.
func Pull(ctx context.Context, c *link.Conn, l *Log, withoutBulk bool) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	s, err := c.Open(link.KindConfigPull, &wire.ConfigPull{After: l.Catalog().Revision(), WithoutBulk: withoutBulk})
	if err != nil {
		return errors.Trace(err)
	}
	defer s.Close()
	receiver := NewDeltaReceiver(l)
	for {
		f, err := s.Receive(ctx)
		if err != nil {
			return errors.Annotate(err, "pulling configuration")
		}
		var d wire.ConfigDelta
		if _, err := d.UnmarshalMsg(f.Body); err != nil {
			return errors.Trace(err)
		}
		if receiver.Add(d) {
			return nil
		}
	}
}

// ServePull answers the Pull of a peer.
func ServePull(l *Log, s *link.Stream, f link.Frame) error {
	var in wire.ConfigPull
	if _, err := in.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	for _, page := range l.Delta(in.After, in.WithoutBulk) {
		if err := s.Send(link.KindConfigDelta, &page); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
