package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// Guards against ORDER: entries that start again ask which software began a stream. What an
// entry says of an earlier process of the engine is not recorded.
func TestTellsWhichSoftwareBeganAStream(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		conn := entry()
		time.Sleep(time.Second) // a report tells the start of the engine's process
		start := e.startMS
		require.NoError(t, conn.Notify(link.KindStreamOrigin, &wire.StreamOrigin{Attempt: "a-1", StartMS: start, Software: "v1", TTLMS: 10_000}))
		require.NoError(t, conn.Notify(link.KindStreamOrigin, &wire.StreamOrigin{Attempt: "a-2", StartMS: start + 1, Software: "v1", TTLMS: 10_000}))
		time.Sleep(time.Second)
		for _, test := range []struct {
			query wire.OriginQuery
			want  wire.OriginReply
		}{
			{wire.OriginQuery{Attempt: "a-1"}, wire.OriginReply{Known: true, Software: "v1"}},
			{wire.OriginQuery{Attempt: "a-1", Account: "other"}, wire.OriginReply{}},
			{wire.OriginQuery{Attempt: "a-2"}, wire.OriginReply{}},
		} {
			var reply wire.OriginReply
			require.NoError(t, entry().Call(t.Context(), link.KindOriginQuery, &test.query, link.KindOriginReply, &reply))
			require.Equal(t, test.want, reply, test.query)
		}
	})
}
