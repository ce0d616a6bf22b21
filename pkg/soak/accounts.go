package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/platform"
)

const (
	accounts = 4
	// keyUseDelay is the time after which callers use a key that was added, when all
	// gateways have to know it.
	keyUseDelay = routeGrace + schedulingMargin
	// keyRotation is the mean pause before a key is added and another one removed.
	keyRotation = 800 * time.Millisecond
	// firstKeys is the number of keys of an account at the start.
	firstKeys = 3
	// keyRetireTime is the time between the last use of a key and its removal.
	keyRetireTime = time.Second
)

// Shares of the requests with a key that is not held, and of those with other oddities.
const (
	unknownKeyShare = 0.01
	noKeyShare      = 0.01
	removedKeyShare = 0.04
	// namedAccountShare is the share of requests that name an account themselves.
	namedAccountShare = 0.1
)

// account is a client account with its keys. The first key is never removed.
type account struct {
	name ident.Account
	keys []accountKey
}

// accountKey is a key and when callers may use it from.
type accountKey struct {
	key      string
	usable   time.Time
	retiring bool
}

// accountBook is the client accounts that the operator wants to be in force.
type accountBook struct {
	mu       sync.Mutex
	accounts []*account
	removed  []removedKey
	made     int
}

// removedKey is a key and the account that held it.
type removedKey struct {
	key  string
	name ident.Account
}

func newAccountBook() *accountBook {
	b := &accountBook{}
	for i := range accounts {
		a := &account{name: ident.Account(fmt.Sprintf("account %d", i+1))}
		b.accounts = append(b.accounts, a)
		for range firstKeys {
			b.addLocked(a, time.Time{})
		}
	}
	return b
}

// addLocked adds a new key to an account. The caller holds mu.
func (b *accountBook) addLocked(a *account, usable time.Time) string {
	b.made++
	key := fmt.Sprintf("key-%s-%d", a.name[len(a.name)-1:], b.made)
	a.keys = append(a.keys, accountKey{key: key, usable: usable})
	return key
}

// operatorAccounts returns the accounts as a configuration lists them.
func (b *accountBook) operatorAccounts() []standin.OperatorAccount {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []standin.OperatorAccount
	for i, a := range b.accounts {
		o := standin.OperatorAccount{Name: a.name, Rank: i % 2}
		for _, k := range a.keys {
			o.Keys = append(o.Keys, k.key)
		}
		out = append(out, o)
	}
	return out
}

// sign chooses the key that a request carries and the headers that it is sent with.
func (b *accountBook) sign(r *clientRequest, random *rand.Rand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[random.IntN(len(b.accounts))]
	r.Account, r.Key = a.name, a.pick(random)
	switch p := random.Float64(); {
	case p < unknownKeyShare:
		r.Account, r.Key, r.Invalid = "", "key-unknown", true
	case p < unknownKeyShare+noKeyShare:
		r.Account, r.Key, r.Invalid = "", "", true
	case p < unknownKeyShare+noKeyShare+removedKeyShare && len(b.removed) > 0:
		k := b.removed[random.IntN(len(b.removed))]
		r.Account, r.Key, r.Invalid = k.name, k.key, true
	}
	if !r.NeedsKey {
		r.Invalid = false
	}
	if random.Float64() < namedAccountShare {
		r.namedAccount = string(b.accounts[random.IntN(len(b.accounts))].name)
	}
}

// pick returns one of the account's keys that callers use.
func (a *account) pick(random *rand.Rand) string {
	var usable []string
	for _, k := range a.keys {
		if !k.retiring && !time.Now().Before(k.usable) {
			usable = append(usable, k.key)
		}
	}
	return usable[random.IntN(len(usable))]
}

// setKeyHeaders sets the headers of client accounts.
func (r clientRequest) setKeyHeaders(h http.Header) {
	if r.Key != "" {
		h.Set(platform.HeaderAPIKey, r.Key)
	}
	if r.namedAccount != "" {
		h.Set(platform.HeaderAccount, r.namedAccount)
	}
}

// rotateKeys adds and removes keys until ctx is done.
func (d *deployment) rotateKeys(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.Seed, 4))
	for ctx.Err() == nil {
		time.Sleep(keyRotation/2 + time.Duration(random.Int64N(int64(keyRotation))))
		if err := d.addKey(random); err != nil {
			d.oracle.RecordViolation(Violation{GuaranteeValidKey, "", err.Error()})
		}
		if err := d.removeKey(random); err != nil {
			d.oracle.RecordViolation(Violation{GuaranteeRevocation, "", err.Error()})
		}
	}
}

// addKey adds a key to an account.
func (d *deployment) addKey(random *rand.Rand) error {
	b := d.accounts
	b.mu.Lock()
	key := b.addLocked(b.accounts[random.IntN(len(b.accounts))], time.Now().Add(keyUseDelay))
	b.mu.Unlock()
	if err := d.publishConfiguration(""); err != nil {
		return errors.Trace(err)
	}
	d.oracle.RecordKeyAdded(key, time.Now())
	return nil
}

// removeKey retires a key, if there is one to spare, and removes it when callers use it no
// longer. Later requests with it are sent to see that it has ended.
func (d *deployment) removeKey(random *rand.Rand) error {
	b := d.accounts
	a, key := b.retire(random)
	if a == nil {
		return nil
	}
	time.Sleep(keyRetireTime)
	b.mu.Lock()
	a.keys = slices.DeleteFunc(a.keys, func(k accountKey) bool { return k.key == key })
	b.mu.Unlock()
	if err := d.publishConfiguration(""); err != nil {
		return errors.Trace(err)
	}
	d.oracle.RecordKeyRemoved(key, time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removed = append(b.removed, removedKey{key, a.name})
	return nil
}

// retire chooses a key that callers use, and ends that. The account is nil if there is none
// to spare.
func (b *accountBook) retire(random *rand.Rand) (*account, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[random.IntN(len(b.accounts))]
	for i := range a.keys[1:] {
		if k := &a.keys[i+1]; time.Now().After(k.usable) {
			k.retiring = true
			return a, k.key
		}
	}
	return nil, ""
}

// recordRewrite records that the store has acknowledged again what keys are removed.
func (d *deployment) recordRewrite() {
	b := d.accounts
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.removed {
		d.oracle.RecordKeyRemoved(k.key, time.Now())
	}
}

// signProbe gives a request a key that is never removed.
func (b *accountBook) signProbe(r *Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[0]
	r.NeedsKey, r.Account, r.Key = true, a.name, a.keys[0].key
}
