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

func ExampleDirectory_Find() {
	d := New()
	d.Use(configuration(1, "/a/", "/a/b/"))
	route, _ := d.Find("host.example", "/a/b/c")
	fmt.Println(route.Name)
	// Output: /a/b/
}

func TestFindsLongestPrefix(t *testing.T) {
	d := New()
	route, c := d.Find("host.example", "/a/")
	require.Nil(t, route)
	require.Nil(t, c)
	d.Use(configuration(1, "/", "/a/", "/a/b/"))
	for _, test := range []struct{ host, path, want string }{
		{"host.example", "/a/b/x", "/a/b/"},
		{"HOST.example:8080", "/a/bb/", "/a/"},
		{"host.example", "/a", "/"},
		{"other.example", "/a/", ""},
	} {
		route, _ := d.Find(test.host, test.path)
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
	d := New()
	require.True(t, d.Use(configuration(7, "/new/")))
	require.False(t, d.Use(configuration(5, "/old/")))
	require.False(t, d.Use(configuration(7, "/same/")))
	require.Equal(t, uint64(7), d.Configuration().Version)
	require.Equal(t, "/new/", d.Configuration().Routes[0].PathPrefix)
}
