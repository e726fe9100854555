// Package key holds the authentication state: the keyed hashes of each client
// account's keys. It never stores clear keys.
package key

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"celerypin.example/celerypin/pkg/state/id"
)

// ErrHash is returned for text that is not a hash in hexadecimal form.
var ErrHash = errors.New("not a key hash: want 64 hexadecimal digits")

// Hash is the keyed hash of a client's key.
type Hash [sha256.Size]byte

// Hasher computes the hashes of clear keys with the fleet's secret.
type Hasher struct{ secret []byte }

// NewHasher returns a hasher with the fleet's secret.
func NewHasher(secret []byte) Hasher { return Hasher{secret: secret} }

// Hash returns the keyed hash of the clear key.
func (h Hasher) Hash(clear string) Hash {
	mac := hmac.New(sha256.New, h.secret)
	mac.Write([]byte(clear))
	var out Hash
	mac.Sum(out[:0])
	return out
}

// String returns the hash in hexadecimal form.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in hexadecimal form.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads the hexadecimal form.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("%w: got %d characters", ErrHash, len(text))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("%w: %w", ErrHash, err)
	}
	return nil
}

// Record grants a key, by its hash, to an account.
type Record struct {
	Hash      Hash       `json:"hash"`
	Account   id.Account `json:"account"`
	Withdrawn bool       `json:"withdrawn,omitempty"`
}

// Ring is the immutable set of granted keys and of withdrawal marks. A mark is
// permanent: a withdrawn hash never authenticates again, even if it is granted
// later.
//
// Entries are indexed by a prefix of the keyed hash and compared in constant
// time, so that the duration of a look-up reveals nothing about stored hashes.
type Ring struct {
	entries map[uint64][]entry
}

type entry struct {
	hash      Hash
	account   id.Account
	withdrawn bool
}

// NewRing builds a ring from the committed records and the withdrawal marks.
func NewRing(records []Record, marks []Hash) Ring {
	r := Ring{entries: make(map[uint64][]entry, len(records)+len(marks))}
	for _, m := range marks {
		r.add(entry{hash: m, withdrawn: true})
	}
	for _, rec := range records {
		r.add(entry{hash: rec.Hash, account: rec.Account, withdrawn: rec.Withdrawn})
	}
	return r
}

func (r Ring) add(e entry) {
	index := e.hash.index()
	r.entries[index] = append(r.entries[index], e)
}

// Account returns the account that the hash authenticates. One withdrawal
// overrides any number of grants.
func (r Ring) Account(h Hash) (id.Account, bool) {
	var account id.Account
	granted := false
	for _, e := range r.entries[h.index()] {
		if subtle.ConstantTimeCompare(e.hash[:], h[:]) != 1 {
			continue
		}
		if e.withdrawn {
			return "", false
		}
		account, granted = e.account, true
	}
	return account, granted
}

func (h Hash) index() uint64 { return binary.BigEndian.Uint64(h[:8]) }
