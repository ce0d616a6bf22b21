package directory

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
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

// update passes a valid configuration to the table, which takes it or not.
func update(t *testing.T, table *Table, c *platform.Configuration, taken bool) {
	t.Helper()
	got, err := table.Update(c)
	require.NoError(t, err)
	require.Equal(t, taken, got)
}

func ExampleTable_Find() {
	table := New()
	_, err := table.Update(configuration(1, "/a/", "/a/b/"))
	if err != nil {
		panic(err)
	}
	route, _ := table.Find("host.example", "/a/b/c")
	fmt.Println(route.Name)
	// Output: /a/b/
}

func TestFindsLongestPrefix(t *testing.T) {
	table := New()
	route, c := table.Find("host.example", "/a/")
	require.Nil(t, route)
	require.Nil(t, c)
	update(t, table, configuration(1, "/", "/a/", "/a/b/"), true)
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
	update(t, table, configuration(7, "/new/"), true)
	update(t, table, configuration(5, "/old/"), false)
	update(t, table, configuration(7, "/same/"), false)
	require.Equal(t, uint64(7), table.Configuration().Version)
	require.Equal(t, "/new/", table.Configuration().Routes[0].PathPrefix)
}

// TestInvalidConfigurationChangesNothing guards against a configuration whose accounts
// contradict each other and that takes effect in part.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	table := New()
	require.True(t, table.Accounts().Empty())
	valid, invalid := configuration(1, "/old/"), configuration(2, "/new/")
	valid.Accounts = []platform.Account{{Name: "a", Keys: []string{"k-1"}}}
	invalid.Accounts = []platform.Account{{Name: "a", Keys: []string{"k-2"}}, {Name: "b", Keys: []string{"k-2"}}}
	update(t, table, valid, true)
	taken, err := table.Update(invalid)
	require.ErrorIs(t, err, errors.NotValid)
	require.ErrorContains(t, err, `"b"`)
	require.False(t, taken)
	rules := table.Rules("host.example", "/old/x")
	require.Equal(t, valid, rules.Configuration)
	require.Equal(t, "/old/", rules.Route.Name)
	require.NotNil(t, rules.Accounts.Find("k-1"))
	require.Nil(t, rules.Accounts.Find("k-2"))
	invalid.Version = 1
	_, err = table.Update(invalid)
	require.NoError(t, err, "an older one is not looked at")
}
