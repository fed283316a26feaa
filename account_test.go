package chervilladder_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilladder/chervilladder"
)

// accounts returns accounts with the given keys, and a quota for each of them.
func accounts(salt chervilladder.KeySalt, keys map[chervilladder.Key]chervilladder.AccountID) *chervilladder.Accounts {
	a := &chervilladder.Accounts{Salt: salt, Keys: make(map[chervilladder.KeyDigest]chervilladder.AccountID), Quotas: make(map[chervilladder.AccountID]chervilladder.Quota)}
	for k, id := range keys {
		a.Keys[salt.Digest(k)] = id
		a.Quotas[id] = chervilladder.Quota{Rate: 5, Burst: 5}
	}
	return a
}

func TestInvalidAccountStaysAsItWas(t *testing.T) {
	salt := chervilladder.NewKeySalt()
	before := accounts(salt, map[chervilladder.Key]chervilladder.AccountID{"k1": "acme", "k2": "acme", "k3": "brook"})
	for name, c := range map[string]struct {
		invalid chervilladder.InvalidAccount
		others  map[chervilladder.Key]chervilladder.AccountID
		want    map[chervilladder.Key]chervilladder.AccountID
	}{
		"all keys listed": {
			invalid: chervilladder.InvalidAccount{Listed: map[chervilladder.KeyDigest]bool{salt.Digest("k1"): true, salt.Digest("k2"): true}},
			want:    map[chervilladder.Key]chervilladder.AccountID{"k1": "acme", "k2": "acme", "k3": ""},
		},
		"one key is withdrawn and one new": {
			invalid: chervilladder.InvalidAccount{Listed: map[chervilladder.KeyDigest]bool{salt.Digest("k2"): true, salt.Digest("k9"): true}},
			want:    map[chervilladder.Key]chervilladder.AccountID{"k1": "", "k2": "acme", "k9": ""},
		},
		"keys can't be read": {
			invalid: chervilladder.InvalidAccount{KeysUnknown: true},
			want:    map[chervilladder.Key]chervilladder.AccountID{"k1": "acme", "k2": "acme"},
		},
		"a key has moved": {
			invalid: chervilladder.InvalidAccount{KeysUnknown: true},
			others:  map[chervilladder.Key]chervilladder.AccountID{"k1": "cress"},
			want:    map[chervilladder.Key]chervilladder.AccountID{"k1": "cress", "k2": "acme"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next := accounts(salt, c.others)
			next.Invalid = map[chervilladder.AccountID]chervilladder.InvalidAccount{"acme": c.invalid}
			kept := next.KeepLast(before)
			for k, want := range c.want {
				id, _ := kept.Holder(k)
				is.Equal(id, want)
			}
			is.Equal(kept.Quotas["acme"], before.Quotas["acme"])
			_, stays := kept.Quotas["brook"]
			is.True(!stays)
			is.Equal(len(kept.Invalid), 0)
		})
	}
}

// Digests of another salt can't be told from withdrawn keys.
func TestInvalidAccountWithAnotherSaltGetsNoKeys(t *testing.T) {
	is := is.New(t)
	before := accounts(chervilladder.NewKeySalt(), map[chervilladder.Key]chervilladder.AccountID{"k1": "acme"})
	for _, before := range []*chervilladder.Accounts{before, nil} {
		next := accounts(chervilladder.NewKeySalt(), nil)
		next.Invalid = map[chervilladder.AccountID]chervilladder.InvalidAccount{"acme": {KeysUnknown: true}}
		kept := next.KeepLast(before)
		is.True(kept != nil)
		is.Equal(len(kept.Keys), 0)
	}
}
