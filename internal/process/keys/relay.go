package keys

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherport/internal/result"
)

// RelaySecretSize is the size of a relay key's secret in bytes.
const RelaySecretSize = 32

// RelayKey authenticates packets relayed between VMs. A VM accepts a key from
// the time it is loaded until NotAfter, and uses it for sending from NotBefore
// on, so that all VMs have loaded a new key before one sends with it.
type RelayKey struct {
	ID        uint32
	Secret    [RelaySecretSize]byte
	NotBefore time.Time
	NotAfter  time.Time // zero if the key does not expire
}

// RelayKeys holds relay keys ordered by ID. A key with a higher ID is newer.
type RelayKeys []RelayKey

// Sending returns the key to send with at now: the newest one in use.
func (ks RelayKeys) Sending(now time.Time) (RelayKey, bool) {
	for _, k := range slices.Backward(ks) {
		if !now.Before(k.NotBefore) && k.accepted(now) {
			return k, true
		}
	}
	return RelayKey{}, false
}

// Accepted returns the keys accepted at now.
func (ks RelayKeys) Accepted(now time.Time) RelayKeys {
	var out RelayKeys
	for _, k := range ks {
		if k.accepted(now) {
			out = append(out, k)
		}
	}
	return out
}

func (k RelayKey) accepted(now time.Time) bool {
	return k.NotAfter.IsZero() || now.Before(k.NotAfter)
}

func newRelayKey(id uint32, notBefore time.Time) (RelayKey, error) {
	k := RelayKey{ID: id, NotBefore: notBefore}
	if _, err := rand.Read(k.Secret[:]); err != nil {
		return RelayKey{}, result.Wrapf(err, result.Internal, "generate relay key")
	}
	return k, nil
}

// rotate adds a key that is used for sending after half of the window. The
// current key is accepted until the end of the window. A second rotation within
// the window is rejected, because a VM holds at most two keys.
func (ks RelayKeys) rotate(now time.Time, window time.Duration) (RelayKeys, error) {
	out := ks.Accepted(now)
	if len(out) > 1 {
		return nil, result.Errorf(result.BadArguments, "relay key %d is accepted until %s; rotate after that", out[0].ID, out[0].NotAfter.UTC().Format(time.RFC3339))
	}
	next := ks[len(ks)-1].ID + 1
	k, err := newRelayKey(next, now.Add(window/2))
	if err != nil {
		return nil, err
	}
	if len(out) == 1 {
		out[0].NotAfter = now.Add(window)
	}
	return append(out, k), nil
}

const noExpiry = "-"

// encode returns the text form of the keys. Each line holds the id, secret,
// not-before and not-after time of one key.
func (ks RelayKeys) encode() []byte {
	var b bytes.Buffer
	b.WriteString("# id secret not-before not-after\n")
	for _, k := range ks {
		end := noExpiry
		if !k.NotAfter.IsZero() {
			end = k.NotAfter.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(&b, "%d %s %s %s\n", k.ID, hex.EncodeToString(k.Secret[:]), k.NotBefore.UTC().Format(time.RFC3339), end)
	}
	return b.Bytes()
}

func decodeRelayKeys(b []byte) (RelayKeys, error) {
	var out RelayKeys
	sc := bufio.NewScanner(bytes.NewReader(b))
	for line := 1; sc.Scan(); line++ {
		text := strings.TrimSpace(sc.Text())
		if text == "" || text[0] == '#' {
			continue
		}
		k, err := decodeRelayKey(text)
		if err != nil {
			return nil, result.Wrapf(err, result.KeyMissing, "relay keys, line %d", line)
		}
		if len(out) > 0 && k.ID <= out[len(out)-1].ID {
			return nil, result.Errorf(result.KeyMissing, "relay keys, line %d: id %d is not greater than the previous id", line, k.ID)
		}
		out = append(out, k)
	}
	if err := sc.Err(); err != nil {
		return nil, result.Wrapf(err, result.KeyMissing, "read relay keys")
	}
	if len(out) == 0 {
		return nil, result.Errorf(result.KeyMissing, "relay keys: file contains no key")
	}
	return out, nil
}

const relayKeyFields = 4

// decodeRelayKey parses a line of the text form. Its errors never contain the
// text of the line, because it includes the secret.
func decodeRelayKey(text string) (RelayKey, error) {
	f := strings.Fields(text)
	if len(f) != relayKeyFields {
		return RelayKey{}, result.Errorf(result.KeyMissing, "got %d fields, want %d", len(f), relayKeyFields)
	}
	id, err := strconv.ParseUint(f[0], 10, 32)
	if err != nil {
		return RelayKey{}, result.Errorf(result.KeyMissing, "id is not a number")
	}
	k := RelayKey{ID: uint32(id)}
	secret, err := hex.DecodeString(f[1])
	if err != nil || len(secret) != RelaySecretSize {
		return RelayKey{}, result.Errorf(result.KeyMissing, "secret is not %d bytes in hexadecimal", RelaySecretSize)
	}
	copy(k.Secret[:], secret)
	k.NotBefore, err = time.Parse(time.RFC3339, f[2])
	if err != nil {
		return RelayKey{}, result.Errorf(result.KeyMissing, "not-before is not a time")
	}
	if f[3] == noExpiry {
		return k, nil
	}
	k.NotAfter, err = time.Parse(time.RFC3339, f[3])
	if err != nil {
		return RelayKey{}, result.Errorf(result.KeyMissing, "not-after is not a time")
	}
	return k, nil
}
