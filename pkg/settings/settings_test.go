package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validAgent = `{
  // the VM
  "vm": "vm-1", "domain": "a", "link": "10.0.0.1:1", "status": "10.0.0.1:2",
  "platform": "http://10.0.0.9:1", "secret-file": "secret",
  "target": {"name": "t", "kind": "engine", "url": "http://10.0.0.1:3", "model": "m", "role": "drafting", "slots": 4, "seats": 8},
  "entries": ["10.0.0.2:1"],
}`

func TestParseReportsEveryError(t *testing.T) {
	scenarios := []struct {
		name          string
		old, replaced string
		wantErrors    []string // as line: key
	}{
		{"good", "", "", nil},
		{"unknown key", `"domain"`, `"domian"`, []string{"3: /domian: unknown key"}},
		{"two unknown keys", `"seats": 8`, `"seat": 8, "slot": 2`, []string{"5: /target/seat: unknown key", "5: /target/slot: unknown key"}},
		{"wrong type", `"slots": 4`, `"slots": "four"`, []string{"5: /target/slots: string is not a valid int"}},
		{"out of range", `"slots": 4`, `"slots": 0`, []string{"5: /target/slots: must be above zero"}},
		{"not an address", `"10.0.0.1:1"`, `"host:1"`, []string{"3: /link:"}},
		{"several errors", `"vm": "vm-1", "domain": "a"`, `"vm": "", "domain": "a b"`, []string{"3: /vm:", "3: /domain:"}},
		{"not JSON", `"domain": "a",`, `"domain" "a",`, []string{"1: /:"}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			v := DefaultAgent()
			err := Parse("f", []byte(strings.Replace(validAgent, s.old, s.replaced, 1)), &v)
			if s.wantErrors == nil {
				require.NoError(t, err)
				require.Equal(t, 4, v.Target.Slots)
				return
			}
			var errs ValidationErrors
			require.ErrorAs(t, err, &errs)
			require.Len(t, errs, len(s.wantErrors))
			for i, want := range s.wantErrors {
				require.Contains(t, errs[i].String(), "f:"+want)
			}
		})
	}
}
