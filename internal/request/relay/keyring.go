package relay

import (
	"crypto/subtle"
	"encoding/binary"
	"hash"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/crypto/blake2s"

	"heatherport/internal/result"
)

// SecretSize is the size of a key's secret in bytes.
const SecretSize = 32

// Key authenticates messages.
type Key struct {
	ID     uint32 // unique among the keys in use
	Secret [SecretSize]byte
}

// Keyring holds the keys in use: the current one and, during a rotation, the
// previous one. Its methods are safe for concurrent use.
type Keyring struct {
	mu  sync.Mutex
	set atomic.Pointer[keySet]
}

// keySet is immutable.
type keySet struct {
	current    Key
	previous   *Key
	promoteAt  time.Duration // from then on the current key signs
	previousTo time.Duration // until then the previous key is accepted
}

// NewKeyring returns a Keyring that holds k alone.
func NewKeyring(k Key) *Keyring {
	r := &Keyring{}
	r.set.Store(&keySet{current: k})
	return r
}

// Rotate makes k the current key. It is accepted at once and signs from
// promoteAt on, by when all balancers should accept it. The key that it
// replaces is accepted until previousTo. An older one is dropped at once.
func (r *Keyring) Rotate(k Key, promoteAt, previousTo time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.set.Load()
	if old.current.ID == k.ID {
		return result.Errorf(result.BadArguments, "relay key %d is in use", k.ID)
	}
	if previousTo < promoteAt {
		return result.Errorf(result.BadArguments, "relay key %d would end before key %d signs", old.current.ID, k.ID)
	}
	previous := old.current
	r.set.Store(&keySet{current: k, previous: &previous, promoteAt: promoteAt, previousTo: previousTo})
	return nil
}

// CurrentID returns the ID of the newest key.
func (r *Keyring) CurrentID() uint32 { return r.set.Load().current.ID }

// Codec encodes and decodes messages. It serves one goroutine.
type Codec struct {
	ring     *Keyring
	clock    func() time.Duration
	set      *keySet
	current  hash.Hash
	previous hash.Hash
	sum      [TagSize]byte
}

// NewCodec returns a Codec that uses the keys of ring. The clock is the one by
// which the times given to Rotate are measured.
func NewCodec(ring *Keyring, clock func() time.Duration) *Codec {
	return &Codec{ring: ring, clock: clock}
}

// load takes over the keys in use if they have changed.
func (c *Codec) load() {
	set := c.ring.set.Load()
	if c.set == set {
		return
	}
	c.set = set
	c.current = newHash(&set.current)
	c.previous = nil
	if set.previous != nil {
		c.previous = newHash(set.previous)
	}
}

func newHash(k *Key) hash.Hash {
	h, err := blake2s.New128(k.Secret[:])
	if err != nil { // only for a secret of another size
		panic(err)
	}
	return h
}

// sign writes the key ID and the tag of the message b.
func (c *Codec) sign(b []byte) {
	c.load()
	id, h := c.set.current.ID, c.current
	if c.previous != nil && c.clock() < c.set.promoteAt {
		id, h = c.set.previous.ID, c.previous
	}
	binary.BigEndian.PutUint32(b[offsetKeyID:], id)
	copy(b[offsetTag:], c.tag(h, b))
}

// verify reports whether b carries a valid tag of a key in use.
func (c *Codec) verify(b []byte) bool {
	c.load()
	h := c.hashFor(binary.BigEndian.Uint32(b[offsetKeyID:]))
	if h == nil {
		return false
	}
	return subtle.ConstantTimeCompare(c.tag(h, b), b[offsetTag:HeaderSize]) == 1
}

// hashFor returns the keyed hash of the key with the given ID, or nil.
func (c *Codec) hashFor(id uint32) hash.Hash {
	if id == c.set.current.ID {
		return c.current
	}
	if c.previous == nil || id != c.set.previous.ID {
		return nil
	}
	if c.clock() >= c.set.previousTo {
		return nil
	}
	return c.previous
}

func (c *Codec) tag(h hash.Hash, b []byte) []byte {
	h.Reset()
	h.Write(b[:offsetTag])
	h.Write(b[HeaderSize:])
	return h.Sum(c.sum[:0])
}
