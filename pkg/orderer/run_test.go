package orderer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

// An entry learns whether the engine runs a request from a report that is made after the
// question, and that nothing is known if there is none.
func TestTellsWhetherTheEngineRunsARequest(t *testing.T) {
	testOrderer(t, func(t *testing.T, e *fakeEngine, entry func() *link.Conn) {
		conn := entry()
		for _, test := range []struct {
			name string
			runs []ident.Attempt
			down bool
			want wire.RunReply
		}{
			{"it runs", []ident.Attempt{"a-0", "a-1"}, false, wire.RunReply{Known: true, Running: true}},
			{"another one runs", []ident.Attempt{"a-12"}, false, wire.RunReply{Known: true}},
			{"nothing runs", nil, false, wire.RunReply{Known: true}},
			{"no report", []ident.Attempt{"a-1"}, true, wire.RunReply{}},
		} {
			e.mu.Lock()
			e.runs, e.down = test.runs, test.down
			e.mu.Unlock()
			var reply wire.RunReply
			require.NoError(t, conn.Call(t.Context(), link.KindRunQuery, &wire.RunQuery{Attempt: "a-1"}, link.KindRunReply, &reply))
			require.Equal(t, test.want, reply, test.name)
		}
	})
}
