package chervilladder

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"maps"
)

// AccountID names a client account: the callers that share its keys and its quota.
type AccountID string

// Key is the secret by which a caller proves its client account. Where the
// configuration names no client accounts, it is any word that tells callers apart. It
// must not be logged or sent to peers or upstreams; formatting it hides its content.
type Key string

// String hides the key.
func (Key) String() string { return "[key]" }

// GoString hides the key from %#v.
func (Key) GoString() string { return "[key]" }

// KeySalt is the random value with which a VM that reads a configuration digests its keys.
type KeySalt []byte

// KeyDigest identifies a key without revealing it. It depends on a KeySalt.
type KeyDigest string

// saltBytes and digestBytes are the sizes of a salt and of a digest before its encoding.
const (
	saltBytes   = 16
	digestBytes = 16
)

// NewKeySalt returns a random salt.
func NewKeySalt() KeySalt {
	salt := make(KeySalt, saltBytes)
	rand.Read(salt) // never fails
	return salt
}

// Digest returns the digest of a key.
func (s KeySalt) Digest(k Key) KeyDigest {
	mac := hmac.New(sha256.New, s)
	mac.Write([]byte(k))
	return KeyDigest(base64.RawStdEncoding.EncodeToString(mac.Sum(nil)[:digestBytes]))
}

// Accounts holds the client accounts of a configuration. It is immutable. Peers receive
// it with the salt, so that they can look up keys that they have never seen.
type Accounts struct {
	Salt   KeySalt
	Keys   map[KeyDigest]AccountID
	Quotas map[AccountID]Quota
	// Invalid holds the accounts whose entries can't be used. It is empty once
	// KeepLast has replaced them.
	Invalid map[AccountID]InvalidAccount `json:"-"`
}

// InvalidAccount describes an account whose entry in a configuration can't be used.
type InvalidAccount struct {
	// Listed holds the keys that the entry lists, as far as they could be read.
	Listed map[KeyDigest]bool
	// KeysUnknown is set if the entry holds no list of keys.
	KeysUnknown bool
}

// retains reports whether the account may keep a key that it held before: one that the
// entry no longer lists is withdrawn.
func (i InvalidAccount) retains(d KeyDigest) bool { return i.KeysUnknown || i.Listed[d] }

// KeepLast returns the accounts with each invalid one as it was in the previous
// configuration, without the keys that are withdrawn or that another account holds now. An
// account that was unknown before, or whose digests have another salt, gets no keys.
func (a *Accounts) KeepLast(before *Accounts) *Accounts {
	if a == nil || len(a.Invalid) == 0 {
		return a
	}
	kept := &Accounts{Salt: a.Salt, Keys: maps.Clone(a.Keys), Quotas: maps.Clone(a.Quotas)}
	if before == nil || !bytes.Equal(before.Salt, a.Salt) {
		return kept
	}
	for digest, id := range before.Keys {
		invalid, ok := a.Invalid[id]
		if _, held := kept.Keys[digest]; ok && !held && invalid.retains(digest) {
			kept.Keys[digest] = id
		}
	}
	for id := range a.Invalid {
		if q, ok := before.Quotas[id]; ok {
			kept.Quotas[id] = q
		}
	}
	return kept
}

// Holder returns the client account that holds a key. The time that a look-up takes
// depends on the digest only, which a caller can't predict without the salt.
func (a *Accounts) Holder(k Key) (AccountID, bool) {
	if a == nil {
		return "", false
	}
	id, ok := a.Keys[a.Salt.Digest(k)]
	return id, ok
}

// Names reports whether an account holds a key.
func (a *Accounts) Names(id AccountID) bool {
	if a == nil {
		return false
	}
	for _, holder := range a.Keys {
		if holder == id {
			return true
		}
	}
	return false
}

// Identity tells to which client account a caller belongs.
type Identity struct {
	// Account is empty if the configuration names no client accounts, or if the route
	// admits callers without one.
	Account AccountID
	// Name tells callers apart for fair queueing and in logs. It reveals no key.
	Name string
}

// Authenticator identifies callers by their keys.
type Authenticator interface {
	// Authenticate returns the identity of a caller that presents a key at a
	// database. Its error is a *DeniedError.
	Authenticate(r Route, k Key) (Identity, error)
}
