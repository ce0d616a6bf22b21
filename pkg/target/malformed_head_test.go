package target_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/target"
)

// Guards against MIXED in the agent: an answer with a malformed head is none. The call may
// have run.
func TestMalformedHeadsOfTargets(t *testing.T) {
	deadline := time.Now().Add(time.Minute)
	for _, call := range []struct {
		name, body string
		do         func(base string) error
	}{
		{"call of a service", "done", func(base string) error {
			_, err := target.NewService(base).Call(target.ServiceCall{Method: "POST", Path: "/x"}, deadline)
			return err
		}},
		{"probe of a service", "", func(base string) error { return target.NewService(base).Probe() }},
		{"completion", "data: [DONE]\n\n", func(base string) error {
			return target.NewEngine(base).Generate(target.CompletionRequest{ID: "r"}, "", deadline, func(target.CompletionChunk) {})
		}},
		{"load", "", func(base string) error {
			return target.NewEngine(base).Load(target.AdapterOrder{Name: "a"}, ident.Incarnation(1))
		}},
		{"list of adapters", `{"data":[]}`, func(base string) error {
			_, _, err := target.NewEngine(base).ListAdapters()
			return err
		}},
	} {
		for _, head := range []struct {
			name, begin string
			sound       bool
		}{
			{"sound", "HTTP/1.1 200 OK\r\n", true},
			{"folded value", "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\n", true},
			{"code 000", "HTTP/1.1 000 OK\r\n", false},
			{"code 001", "HTTP/1.1 001 OK\r\n", false},
			{"code 999", "HTTP/1.1 999 OK\r\n", false},
			{"space in a name", "HTTP/1.1 200 OK\r\nX A: 1\r\n", false},
			{"space before the colon", "HTTP/1.1 200 OK\r\nX-A : 1\r\n", false},
			{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01A: 1\r\n", false},
			{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", false},
		} {
			for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(call.body)), "Connection: close\r\n"} {
				t.Run(call.name+", "+head.name+", "+strings.TrimSpace(framing), func(t *testing.T) {
					err := call.do(serveRaw(t, head.begin+framing+"\r\n"+call.body))
					if head.sound {
						require.NoError(t, err)
						return
					}
					require.ErrorIs(t, err, httphead.ErrMalformed)
					require.NotErrorIs(t, err, target.ErrNotHeld)
				})
			}
		}
	}
}
