// Package account finds the client account that holds a key. It does no I/O.
package account

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"hash/maphash"
	"math"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// Index holds the accounts of one configuration by their keys. It is immutable. The zero
// value and nil hold no accounts.
type Index struct {
	accounts []platform.Account
	// byHash maps the keyed hash of a key to its place in keys. Keys that share a hash,
	// which nobody outside the process can bring about, follow each other.
	byHash map[uint64]int32
	keys   []indexedKey
	// longest is the length of the longest key.
	longest int
	ranked  bool
}

// indexedKey is a key of the account at a place in Index.accounts.
type indexedKey struct {
	key     string
	account int32
	// next is the place of another key with the same hash, or -1.
	next int32
}

// seed keys the hashes, so that the time of a lookup tells nothing of the keys held.
var seed = maphash.MakeSeed()

// NewIndex returns the index of a configuration's accounts. It returns a NotValid error
// that names the account if they are contradictory or out of range.
func NewIndex(accounts []platform.Account) (*Index, error) {
	index := &Index{accounts: accounts}
	n := 0
	for _, a := range accounts {
		n += len(a.Keys)
	}
	index.byHash, index.keys = make(map[uint64]int32, n), make([]indexedKey, 0, n)
	names := make(map[ident.Account]bool, len(accounts))
	for i := range accounts {
		a := &accounts[i]
		if err := check(a); err != nil {
			return nil, errors.Annotatef(err, "account %q", a.Name)
		}
		if names[a.Name] {
			return nil, errors.NotValidf("account %q: name of two accounts", a.Name)
		}
		names[a.Name] = true
		index.ranked = index.ranked || a.HasRank
		for _, key := range a.Keys {
			if err := index.add(key, int32(i)); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	return index, nil
}

// check checks what concerns one account alone.
func check(a *platform.Account) error {
	if a.Name == "" {
		return errors.NotValidf("empty name")
	}
	// The name is sent to targets as the value of a header.
	if strings.ContainsFunc(string(a.Name), isControl) || strings.TrimSpace(string(a.Name)) != string(a.Name) {
		return errors.NotValidf("name that cannot be sent in a header")
	}
	for _, key := range a.Keys {
		if strings.TrimSpace(key) == "" {
			return errors.NotValidf("empty key")
		}
	}
	for _, n := range []struct {
		name  string
		value float64
	}{{"rate-per-s", a.PerSecond}, {"burst", a.Burst}, {"plain-tokens", a.PlainTokens}} {
		if !(n.value >= 0) || math.IsInf(n.value, 0) { // NaN fails the comparison
			return errors.NotValidf("%s: %v", n.name, n.value)
		}
	}
	return nil
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// add adds a key of the account at a place.
func (index *Index) add(key string, account int32) error {
	hash := maphash.String(seed, key)
	first, taken := index.byHash[hash]
	if !taken {
		first = -1
	}
	for at := first; at >= 0; at = index.keys[at].next {
		if k := index.keys[at]; k.key == key {
			if k.account == account {
				return nil
			}
			return errors.NotValidf("account %q: key %s, which account %q holds too,", index.accounts[account].Name, Fingerprint(key), index.accounts[k.account].Name)
		}
	}
	index.byHash[hash] = int32(len(index.keys))
	index.keys = append(index.keys, indexedKey{key: key, account: account, next: first})
	index.longest = max(index.longest, len(key))
	return nil
}

// Empty reports whether the index holds no accounts, so that requests need no keys.
func (index *Index) Empty() bool { return index == nil || len(index.accounts) == 0 }

// Ranked reports whether an account has a rank.
func (index *Index) Ranked() bool { return index != nil && index.ranked }

// Find returns the account that holds the key, or nil. The time it takes does not depend
// on the number of keys held, nor on how much of a key is right.
func (index *Index) Find(key string) *platform.Account {
	if index == nil || len(key) > index.longest {
		return nil
	}
	at, held := index.byHash[maphash.String(seed, key)]
	if !held {
		return nil
	}
	var found *platform.Account
	for ; at >= 0; at = index.keys[at].next {
		k := &index.keys[at]
		if subtle.ConstantTimeCompare([]byte(k.key), []byte(key)) == 1 {
			found = &index.accounts[k.account]
		}
	}
	return found
}

// Accounts returns the accounts, which must not be changed.
func (index *Index) Accounts() []platform.Account {
	if index == nil {
		return nil
	}
	return index.accounts
}

// fingerprintBytes is the length of a fingerprint: long enough to tell the keys of a log
// apart, and too short to search for the key even if fingerprintKey were known.
const fingerprintBytes = 4

// fingerprintKey differs between processes, so that a log does not help to guess a key.
var fingerprintKey = func() []byte {
	key := make([]byte, sha256.Size)
	_, _ = rand.Read(key) // never fails
	return key
}()

// Fingerprint returns a short name for a key, for the log. It is the same in all rows of
// one process, and another one in other processes.
func Fingerprint(key string) string {
	mac := hmac.New(sha256.New, fingerprintKey)
	_, _ = mac.Write([]byte(key)) // never fails
	return hex.EncodeToString(mac.Sum(nil)[:fingerprintBytes])
}
