package orderer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
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

// Guards against ORDER: an entry whose list is behind can tell that the engine has started
// again, maybe as another software version.
func TestGrantNamesTheEnginesProcess(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		startOf := func() int64 {
			s, err := entry().Open(link.KindGrantRequest, &wire.GrantRequest{Model: "m", Adapter: ident.AdapterVersion{Adapter: "a1"}, PromptTokens: 100, OutputTokens: 10, MaxWaitMS: 20_000, ObjectiveMS: 800})
			require.NoError(t, err)
			defer s.Close()
			f, err := s.Receive(t.Context())
			require.NoError(t, err)
			return readGrant(t, f).StartMS
		}
		require.Equal(t, e.startMS, startOf())
		e.restart("i-1")
		time.Sleep(time.Second) // a report shows it
		require.Equal(t, e.startMS, startOf())
	})
}
