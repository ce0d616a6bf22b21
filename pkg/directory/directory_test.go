package directory

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/platform"
)

func configuration(version uint64, prefixes ...string) *platform.Configuration {
	c := &platform.Configuration{Version: version}
	for _, p := range prefixes {
		c.Routes = append(c.Routes, platform.Route{Name: p, Host: "Host.example", PathPrefix: p})
	}
	return c
}

func ExampleTable_Find() {
	table := New()
	table.Update(configuration(1, "/a/", "/a/b/"))
	route, _ := table.Find("host.example", "/a/b/c")
	fmt.Println(route.Name)
	// Output: /a/b/
}

func TestFindsLongestPrefix(t *testing.T) {
	table := New()
	route, c := table.Find("host.example", "/a/")
	require.Nil(t, route)
	require.Nil(t, c)
	table.Update(configuration(1, "/", "/a/", "/a/b/"))
	for _, test := range []struct{ host, path, want string }{
		{"host.example", "/a/b/x", "/a/b/"},
		{"HOST.example:8080", "/a/bb/", "/a/"},
		{"host.example", "/a", "/"},
		{"other.example", "/a/", ""},
	} {
		route, _ := table.Find(test.host, test.path)
		if test.want == "" {
			require.Nil(t, route, test.path)
			continue
		}
		require.Equal(t, test.want, route.Name)
	}
}

// TestIgnoresOlderConfiguration guards against reverting to an older version,
// which stale reads and delayed writes of the store may deliver again.
func TestIgnoresOlderConfiguration(t *testing.T) {
	table := New()
	require.True(t, table.Update(configuration(7, "/new/")))
	require.False(t, table.Update(configuration(5, "/old/")))
	require.False(t, table.Update(configuration(7, "/same/")))
	require.Equal(t, uint64(7), table.Configuration().Version)
	require.Equal(t, "/new/", table.Configuration().Routes[0].PathPrefix)
}
