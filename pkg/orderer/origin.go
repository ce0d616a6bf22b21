package orderer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/origin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// handleStreamOrigin records which software began a stream, for entries that do not know it.
func (o *Orderer) handleStreamOrigin(_ context.Context, _ *link.Stream, f link.Frame) error {
	var r wire.StreamOrigin
	if _, err := r.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	startMS := o.startMS
	o.mu.Unlock()
	if r.StartMS != 0 && startMS != 0 && r.StartMS != startMS {
		// The entry's list is behind: the software of this process may be another one.
		o.Info("msg", "origin of a stream not recorded: the engine has started again", "request", r.Attempt, "listed-start", r.StartMS, "start", startMS)
		return nil
	}
	o.origins.Record(origin.Stream{Account: r.Account, Attempt: r.Attempt}, r.Software, time.Duration(r.TTLMS)*time.Millisecond, time.Now())
	return nil
}

// handleOriginQuery answers an entry that asks which software began a stream.
func (o *Orderer) handleOriginQuery(_ context.Context, s *link.Stream, f link.Frame) error {
	var q wire.OriginQuery
	if _, err := q.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	software, known := o.origins.Find(origin.Stream{Account: q.Account, Attempt: q.Attempt}, time.Now())
	return errors.Trace(s.Send(link.KindOriginReply, &wire.OriginReply{Known: known, Software: software}))
}
