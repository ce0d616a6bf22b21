package account

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

func ExampleIndex_Find() {
	index, err := NewIndex([]platform.Account{{Name: "north", Keys: []string{"k-1", "k-2"}}, {Name: "south", Keys: []string{"k-3"}}})
	fmt.Println(err, index.Find("k-3").Name, index.Find("k-4"))
	// Output: <nil> south <nil>
}

// Guards against a key that is found under another account, or although nobody holds it.
func TestFindsOnlyTheHolderOfAKey(t *testing.T) {
	index, err := NewIndex([]platform.Account{
		{Name: "a", Keys: []string{"key", "Key", "key-long", "same", "same"}}, {Name: "b", Keys: []string{"\xff", "kez"}}, {Name: "none"},
	})
	require.NoError(t, err)
	for _, test := range []struct {
		key  string
		want ident.Account
	}{
		{"key", "a"}, {"Key", "a"}, {"key-long", "a"}, {"same", "a"}, {"kez", "b"}, {"\xff", "b"},
		{"", ""}, {"ke", ""}, {"key ", ""}, {"KEY", ""}, {"key\x00", ""}, {strings.Repeat("k", 1<<16), ""},
	} {
		found := index.Find(test.key)
		if test.want == "" {
			require.Nil(t, found, "%q", test.key)
			continue
		}
		require.NotNil(t, found, "%q", test.key)
		require.Equal(t, test.want, found.Name)
	}
	require.False(t, index.Empty())
	require.Len(t, index.Accounts(), 3)
}

// Guards against keys that shadow each other if their hashes collide.
func TestKeysWithOneHashAreToldApart(t *testing.T) {
	index, err := NewIndex([]platform.Account{{Name: "a", Keys: []string{"k-1"}}, {Name: "b", Keys: []string{"k-2"}}})
	require.NoError(t, err)
	index.keys[1].next = 0
	for hash := range index.byHash {
		index.byHash[hash] = 1
	}
	require.Equal(t, ident.Account("a"), index.Find("k-1").Name)
	require.Equal(t, ident.Account("b"), index.Find("k-2").Name)
}

// Guards against requests that need a key where there are no accounts.
func TestIndexWithoutAccounts(t *testing.T) {
	empty, err := NewIndex(nil)
	require.NoError(t, err)
	for _, index := range []*Index{nil, {}, empty} {
		require.True(t, index.Empty())
		require.Nil(t, index.Find("k"))
		require.Nil(t, index.Find(""))
		require.Empty(t, index.Accounts())
	}
}

// Guards against accounts that are taken into force although two of them contradict each
// other or a number has no meaning, and against an error that shows a key.
func TestInvalidAccountsAreNamed(t *testing.T) {
	for _, test := range []struct {
		name     string
		accounts []platform.Account
		says     []string
	}{
		{"one key in two accounts", []platform.Account{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}, []string{`"a"`, `"b"`}},
		{"an empty key", []platform.Account{{Name: "a", Keys: []string{"secret", ""}}}, []string{`"a"`, "empty key"}},
		{"a blank key", []platform.Account{{Name: "a", Keys: []string{" \t"}}}, []string{`"a"`, "empty key"}},
		{"an empty name", []platform.Account{{Keys: []string{"secret"}}}, []string{`""`, "empty name"}},
		{"one name twice", []platform.Account{{Name: "a", Keys: []string{"secret"}}, {Name: "a", Keys: []string{"secret-2"}}}, []string{`"a"`, "name of two accounts"}},
		{"a name with a line end", []platform.Account{{Name: "a\r\nX-Hold: 1"}}, []string{`"a\r\nX-Hold: 1"`, "header"}},
		{"a name with a space at its end", []platform.Account{{Name: "a "}}, []string{`"a "`, "header"}},
		{"a negative rate", []platform.Account{{Name: "a", PerSecond: -1}}, []string{`"a"`, "rate-per-s"}},
		{"a rate that is no number", []platform.Account{{Name: "a", PerSecond: math.NaN()}}, []string{`"a"`, "rate-per-s"}},
		{"an infinite burst", []platform.Account{{Name: "a", Burst: math.Inf(1)}}, []string{`"a"`, "burst"}},
		{"negative plain tokens", []platform.Account{{Name: "a", PlainTokens: math.Inf(-1)}}, []string{`"a"`, "plain-tokens"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := NewIndex(test.accounts)
			require.ErrorIs(t, err, errors.NotValid)
			for _, part := range test.says {
				require.ErrorContains(t, err, part)
			}
			require.NotContains(t, err.Error(), "secret")
		})
	}
}

// Guards against a log that shows keys, or in which two keys can't be told apart.
func TestFingerprintDoesNotShowTheKey(t *testing.T) {
	require.Equal(t, Fingerprint("secret-1"), Fingerprint("secret-1"))
	require.NotEqual(t, Fingerprint("secret-1"), Fingerprint("secret-2"))
	require.Len(t, Fingerprint(""), 2*fingerprintBytes)
	require.NotContains(t, Fingerprint("secret"), "secret")
}

// manyKeys are the keys of the largest configuration that has to be borne.
const manyKeys = 10_000

func manyAccounts() []platform.Account {
	accounts := make([]platform.Account, 100)
	for i := range accounts {
		accounts[i].Name = ident.Account(fmt.Sprintf("account-%d", i))
		for k := range manyKeys / len(accounts) {
			accounts[i].Keys = append(accounts[i].Keys, fmt.Sprintf("key-of-%04d-with-forty-characters--%05d", i, k))
		}
	}
	return accounts
}

// Guards against keys that take a considerable part of a small VM's memory: with the
// strings themselves they stay under 4 MB.
func TestManyKeysTakeLittleMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	index, err := NewIndex(manyAccounts())
	require.NoError(t, err)
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(4<<20))
	runtime.KeepAlive(index)
}

func BenchmarkFind(b *testing.B) {
	accounts := manyAccounts()
	index, err := NewIndex(accounts)
	require.NoError(b, err)
	for _, test := range []struct {
		name string
		key  string
	}{{"held", accounts[42].Keys[7]}, {"unknown", accounts[42].Keys[7][1:]}} {
		b.Run(test.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				index.Find(test.key)
			}
		})
	}
}

func BenchmarkNewIndex(b *testing.B) {
	accounts := manyAccounts()
	b.ReportAllocs()
	for b.Loop() {
		_, _ = NewIndex(accounts)
	}
}
