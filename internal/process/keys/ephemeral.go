package keys

import (
	"time"

	"heatherport/internal/request/identity"
)

// Ephemeral is a certificate authority in memory, for the demo and tests.
type Ephemeral struct {
	authority authority
	bundle    []byte
	relay     []byte
	now       func() time.Time
}

// NewEphemeral creates a certificate authority and a relay key.
func NewEphemeral() (*Ephemeral, error) {
	return newEphemeral(time.Now)
}

func newEphemeral(now func() time.Time) (*Ephemeral, error) {
	a, err := newAuthority(now(), DefaultLeafValidity)
	if err != nil {
		return nil, err
	}
	k, err := newRelayKey(1, now().Add(-clockSkew))
	if err != nil {
		return nil, err
	}
	return &Ephemeral{
		authority: a,
		bundle:    encodeBundle([]caCert{{cert: a.cert}}),
		relay:     RelayKeys{k}.encode(),
		now:       now,
	}, nil
}

// Issue returns a store with a certificate for the role and name. The store of a
// VM also holds the relay key.
func (e *Ephemeral) Issue(role identity.Role, name string) (*Store, error) {
	p, err := e.authority.issue(identity.Identity{Name: name, Role: role}, e.now(), DefaultLeafValidity)
	if err != nil {
		return nil, err
	}
	b := fileContents{ca: e.bundle, cert: p.cert, key: p.key}
	if role == identity.VM {
		b.relay = e.relay
	}
	s := &Store{now: e.now}
	return s, s.install(b)
}
