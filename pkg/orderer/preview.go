package orderer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// handleGrantPreview answers an entry that asks what it would be answered to a request now.
func (o *Orderer) handleGrantPreview(_ context.Context, s *link.Stream, f link.Frame) error {
	var p wire.GrantPreview
	if _, err := p.UnmarshalMsg(f.Body); err != nil {
		return errors.Trace(err)
	}
	reply := o.preview(p.Request)
	return errors.Trace(s.Send(link.KindGrantPreviewReply, &reply))
}

func (o *Orderer) preview(r wire.GrantRequest) wire.GrantPreviewReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out wire.GrantPreviewReply
	out.Reply = o.scheduler.Preview(r, time.Now())
	out.Waiting, out.Running = o.scheduler.RequestCounts()
	return out
}
