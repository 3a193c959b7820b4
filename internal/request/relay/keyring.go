package relay

import (
	"cmp"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"slices"
	"sync/atomic"
	"time"

	"heatherport/internal/result"
)

// SecretSize is the size of a key's secret in bytes.
const SecretSize = 32

// maxKeys is the number of keys in use during a rotation.
const maxKeys = 2

// Key authenticates messages. A Codec accepts it as soon as its Keyring holds
// it, and signs with it from SignFrom on, when all balancers should hold it.
type Key struct {
	ID          uint32 // unique among the keys in use; a higher one is newer
	Secret      [SecretSize]byte
	SignFrom    time.Duration
	AcceptUntil time.Duration // zero: no limit
}

func (k *Key) isAccepted(now time.Duration) bool {
	return k.AcceptUntil == 0 || now < k.AcceptUntil
}

// Keyring holds the keys in use: one and, during a rotation, two. Its methods
// are safe for concurrent use.
type Keyring struct {
	keys atomic.Pointer[[]Key] // newest first; the slice is immutable
}

// NewKeyring returns a Keyring that holds keys.
func NewKeyring(keys ...Key) (*Keyring, error) {
	r := &Keyring{}
	if err := r.Replace(keys...); err != nil {
		return nil, err
	}
	return r, nil
}

// Replace replaces the keys that r holds.
func (r *Keyring) Replace(keys ...Key) error {
	if len(keys) == 0 || len(keys) > maxKeys {
		return result.Errorf(result.BadArguments, "%d relay keys: must be 1 to %d", len(keys), maxKeys)
	}
	keys = slices.Clone(keys)
	slices.SortFunc(keys, func(a, b Key) int { return cmp.Compare(b.ID, a.ID) })
	if len(keys) == maxKeys && keys[0].ID == keys[1].ID {
		return result.Errorf(result.BadArguments, "two relay keys with ID %d", keys[0].ID)
	}
	r.keys.Store(&keys)
	return nil
}

// Codec encodes and decodes messages. It is not safe for concurrent use.
type Codec struct {
	ring   *Keyring
	clock  func() time.Duration
	keys   *[]Key // keys from which hashes were created
	hashes [maxKeys]hash.Hash
	sum    [sha256.Size]byte
}

// NewCodec returns a Codec that uses the keys of ring. The times of the keys are
// times of clock.
func NewCodec(ring *Keyring, clock func() time.Duration) *Codec {
	return &Codec{ring: ring, clock: clock}
}

// updateHashes creates the hashes of the keys in use if the keys have changed.
func (c *Codec) updateHashes() {
	keys := c.ring.keys.Load()
	if c.keys == keys {
		return
	}
	c.keys = keys
	for i := range *keys {
		c.hashes[i] = newHash(&(*keys)[i])
	}
}

func newHash(k *Key) hash.Hash { return hmac.New(sha256.New, k.Secret[:]) }

// sign writes the key ID and the tag of the message b.
func (c *Codec) sign(b []byte) {
	c.updateHashes()
	i := c.signingKey()
	binary.BigEndian.PutUint32(b[offsetKeyID:], (*c.keys)[i].ID)
	copy(b[offsetTag:], c.tag(c.hashes[i], b))
}

// signingKey returns the index of the newest key whose SignFrom has passed, or
// of the oldest key if there is none.
func (c *Codec) signingKey() int {
	now := c.clock()
	for i := range *c.keys {
		if k := &(*c.keys)[i]; now >= k.SignFrom && k.isAccepted(now) {
			return i
		}
	}
	return len(*c.keys) - 1
}

// verify reports whether b carries a valid tag of a key in use.
func (c *Codec) verify(b []byte) bool {
	c.updateHashes()
	i := c.acceptedKey(binary.BigEndian.Uint32(b[offsetKeyID:]))
	if i < 0 {
		return false
	}
	return hmac.Equal(c.tag(c.hashes[i], b), b[offsetTag:HeaderSize])
}

// acceptedKey returns the index of the key with the given ID, or -1 if none is
// accepted.
func (c *Codec) acceptedKey(id uint32) int {
	for i := range *c.keys {
		if k := &(*c.keys)[i]; k.ID == id && k.isAccepted(c.clock()) {
			return i
		}
	}
	return -1
}

func (c *Codec) tag(h hash.Hash, b []byte) []byte {
	h.Reset()
	h.Write(b[:offsetTag])
	h.Write(b[HeaderSize:])
	return h.Sum(c.sum[:0])[:TagSize]
}
