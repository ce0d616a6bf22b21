package caller

import (
	"time"

	"github.com/hyssoproad/hyssoproad/pkg/dispatch"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

// Explain returns what would happen now to a request for an adapter from a caller that may
// use it and is within its limits. It changes nothing.
func (srv *Server) Explain(named ident.AdapterVersion) (*dispatch.Job, dispatch.Placement) {
	job := &dispatch.Job{Adapter: named, Deadline: time.Now().Add(srv.settings.Deadline.Std()), Revision: srv.catalog.Revision()}
	adapter, ok := srv.catalog.Adapter(named.Adapter)
	if !ok {
		return job, dispatch.Placement{Refusal: unknownAdapter(named.Adapter)}
	}
	if refusal := srv.resolveVersion(job, adapter, named); refusal != nil {
		return job, dispatch.Placement{Refusal: refusal}
	}
	out := srv.place(job)
	if refusal := srv.checkConfiguration(); refusal != nil {
		out.Refusal = refusal
	}
	return job, out
}
