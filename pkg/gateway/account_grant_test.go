package gateway

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/link"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Gateways and agents of two releases run side by side: an agent that does not know
// accounts closes the link on an unknown kind of frame, and rejects a longer tuple.
func TestAgentsOfEarlierReleasesAreNotToldTheAccount(t *testing.T) {
	tokens := &platform.Account{Name: "a", Unit: platform.QuotaTokens, PerSecond: 11_000}
	for _, test := range []struct {
		name    string
		account *platform.Account
		newest  link.Kind // that the agent reads
		want    wire.AccountGrantRequest
		kind    link.Kind
	}{
		{"both new", tokens, link.KindAccountGrantRequest, wire.AccountGrantRequest{Account: "a", Weight: 11_000}, link.KindAccountGrantRequest},
		{"requests as the unit", &platform.Account{Name: "a", PerSecond: 20}, link.KindAccountGrantRequest, wire.AccountGrantRequest{Account: "a", Weight: 20_000}, link.KindAccountGrantRequest},
		{"no rate", &platform.Account{Name: "a"}, link.KindAccountGrantRequest, wire.AccountGrantRequest{Account: "a", Weight: 1}, link.KindAccountGrantRequest},
		{"no accounts", nil, link.KindAccountGrantRequest, wire.AccountGrantRequest{}, link.KindGrantRequest},
		{"earlier agent", tokens, link.KindRunReply, wire.AccountGrantRequest{}, link.KindGrantRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				frames := make(chan link.Frame, 1)
				receive := func(_ context.Context, _ *link.Stream, f link.Frame) error { frames <- f; return nil }
				near, far := net.Pipe()
				go func() {
					_, _ = link.Server(far, link.Identity{Role: wire.RoleAgent, VM: "b"}, link.Handlers{link.KindGrantRequest: receive, link.KindAccountGrantRequest: receive})
				}()
				conn, err := link.Client(near, link.Identity{Role: wire.RoleEntry, VM: "a"}, nil)
				require.NoError(t, err)
				defer conn.Close()
				conn.Peer.NewestKind = uint8(test.newest)
				_, err = openGrant(conn, test.account, wire.GrantRequest{Attempt: "r", PromptTokens: 7})
				require.NoError(t, err)
				f := <-frames
				require.Equal(t, test.kind, f.Kind)
				test.want.Request = wire.GrantRequest{Attempt: "r", PromptTokens: 7}
				var got wire.AccountGrantRequest
				if f.Kind == link.KindGrantRequest {
					_, err = got.Request.UnmarshalMsg(f.Body)
				} else {
					_, err = got.UnmarshalMsg(f.Body)
				}
				require.NoError(t, err)
				require.Equal(t, test.want, got)
				require.Equal(t, byte(12), grantRequestFields(t), "releases without accounts decode 12 fields")
			})
		})
	}
}

// grantRequestFields returns the number of fields of an encoded GrantRequest.
func grantRequestFields(t *testing.T) byte {
	b, err := (&wire.GrantRequest{}).MarshalMsg(nil)
	require.NoError(t, err)
	return b[0] & 0x0f // a msgpack array of fewer than 16 elements
}
