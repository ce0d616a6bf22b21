package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/tcptest"
)

// A reply with a malformed head counts neither as an entry's reply nor as a gateway's page.
func TestMalformedHeadsOfReplies(t *testing.T) {
	for _, head := range []struct {
		begin string
		sound bool
	}{
		{"HTTP/1.1 200 OK\r\n", true}, {"HTTP/1.1 000 OK\r\n", false}, {"HTTP/1.1 200 OK\r\nX A: 1\r\n", false}, {"HTTP/1.1 200 OK\r\nX-A : 1\r\n", false},
	} {
		address := tcptest.ServeText(t, head.begin+"Content-Length: 2\r\n\r\n{}")
		_, replyErr := NewClient("http://"+address, "token").Query("x")
		var page map[string]any
		pageErr := readGatewayPage(address, "/bans", &page)
		for _, err := range []error{replyErr, pageErr} {
			if head.sound {
				require.NoError(t, err)
				continue
			}
			require.ErrorIs(t, err, httphead.ErrMalformed, "%q", head.begin)
		}
	}
}
