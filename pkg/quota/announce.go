package quota

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/route"
)

// announcers is the number of gateways that announce limits to each holder, on average.
// Each question states the limits as well, so that a holder needs only one of them.
const announcers = 32

// Announces reports whether a gateway announces limits to a holder, with so many gateways
// in all. It answers a change of the configuration in a fleet of hundreds of gateways,
// whose messages would grow with gateways and holders. Gateways decide independently.
func Announces(gateway ident.VM, holder string, gateways int) bool {
	if gateways <= announcers {
		return true
	}
	draw := route.RendezvousHash(xxhash.Sum64String(string(gateway)), xxhash.Sum64String(holder))
	return float64(draw) < announcers/float64(gateways)*route.MaxDraw
}
