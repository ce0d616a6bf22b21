package gateway

import (
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// pickService chooses one of a route's services by weight. The choice depends on
// the attempt ID alone, so that the shares hold across all entries.
func pickService(r *platform.Route, attempt string) ident.Service {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := unitHash(attempt) * total
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
