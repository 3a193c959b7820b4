package keys

import (
	"bytes"
	"crypto"
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"sync/atomic"
	"time"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// serialBase is the number base in which serial numbers are shown.
const serialBase = 16

// Files holds the paths of the key files of one VM, operator or upstream.
// RelayKeys is set for VMs only.
type Files struct {
	CA, Certificate, Key, RelayKeys string
}

// fileContents holds the contents of Files.
type fileContents struct {
	ca, cert, key, relay []byte
}

func (e fileContents) equal(o fileContents) bool {
	return bytes.Equal(e.ca, o.ca) && bytes.Equal(e.cert, o.cert) &&
		bytes.Equal(e.key, o.key) && bytes.Equal(e.relay, o.relay)
}

// keyMaterial holds the certificates and keys decoded from the files. It is
// immutable.
type keyMaterial struct {
	source fileContents
	self   identity.Identity
	cert   tls.Certificate
	bundle []caCert
	relay  RelayKeys
}

// Store holds the current certificates and keys. It is safe for concurrent use.
// Reload takes effect for new connections.
type Store struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[keyMaterial]
}

// Open reads and validates the files.
func Open(files Files) (*Store, error) {
	s := &Store{files: files, now: time.Now}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again and reports whether they changed. After an error
// the previous certificates and keys remain in use.
func (s *Store) Reload() (bool, error) {
	if s.files == (Files{}) {
		return false, nil // issued by an Ephemeral, without files
	}
	e, err := s.files.read()
	if err != nil {
		return false, err
	}
	if m := s.current.Load(); m != nil && m.source.equal(e) {
		return false, nil
	}
	return true, s.install(e)
}

func (s *Store) install(e fileContents) error {
	m, err := decode(e)
	if err != nil {
		return err
	}
	if old := s.current.Load(); old != nil && old.self != m.self {
		return result.Errorf(result.BadCertificate, "certificate for %q was replaced by one for %q", old.self.Name, m.self.Name)
	}
	s.current.Store(m)
	return nil
}

func (f Files) read() (fileContents, error) {
	var e fileContents
	targets := []struct {
		path string
		to   *[]byte
	}{
		{f.CA, &e.ca},
		{f.Certificate, &e.cert},
		{f.Key, &e.key},
		{f.RelayKeys, &e.relay},
	}
	for _, t := range targets {
		if t.path == "" {
			continue
		}
		b, err := readFile(t.path)
		if err != nil {
			return fileContents{}, err
		}
		*t.to = b
	}
	return e, nil
}

func decode(e fileContents) (*keyMaterial, error) {
	m := &keyMaterial{source: e}
	var err error
	if m.bundle, err = decodeBundle(e.ca); err != nil {
		return nil, err
	}
	if m.cert, err = parsePair(pair{cert: e.cert, key: e.key}); err != nil {
		return nil, err
	}
	if m.self, err = identity.FromCertificate(m.cert.Leaf); err != nil {
		return nil, err
	}
	if len(e.relay) == 0 {
		return m, nil
	}
	m.relay, err = decodeRelayKeys(e.relay)
	return m, err
}

func parsePair(p pair) (tls.Certificate, error) {
	c, err := tls.X509KeyPair(p.cert, p.key)
	if err != nil {
		return tls.Certificate{}, result.Wrapf(err, result.BadCertificate, "parse certificate and private key")
	}
	return c, nil
}

// matchAuthority returns the authority whose certificate in the bundle matches
// key.
func matchAuthority(bundle []caCert, key crypto.Signer) (authority, error) {
	pub, ok := key.Public().(*ecdsa.PublicKey)
	if !ok {
		return authority{}, result.Errorf(result.BadCertificate, "CA key is not an ECDSA key")
	}
	for _, c := range bundle {
		if pub.Equal(c.cert.PublicKey) {
			return authority{cert: c.cert, key: key}, nil
		}
	}
	return authority{}, result.Errorf(result.BadCertificate, "no CA certificate matches the CA key")
}

// Self returns the identity in the store's own certificate.
func (s *Store) Self() identity.Identity { return s.current.Load().self }

// NotAfter returns the expiry of the store's own certificate, or the time until
// which its authority is accepted if that is earlier.
func (s *Store) NotAfter() time.Time {
	m := s.current.Load()
	end := m.cert.Leaf.NotAfter
	for _, c := range m.bundle {
		signed := m.cert.Leaf.CheckSignatureFrom(c.cert) == nil
		if signed && !c.until.IsZero() && c.until.Before(end) {
			end = c.until
		}
	}
	return end
}

// Summary describes the certificates and keys in use, without secrets, for the
// audit trail.
func (s *Store) Summary() string {
	m := s.current.Load()
	out := fmt.Sprintf("certificate %s until %s", m.cert.Leaf.SerialNumber.Text(serialBase), m.cert.Leaf.NotAfter.UTC().Format(time.RFC3339))
	for _, c := range m.bundle {
		out += fmt.Sprintf(", authority %q", c.cert.Subject.CommonName)
	}
	for _, k := range m.relay {
		out += fmt.Sprintf(", relay key %d", k.ID)
	}
	return out
}

// RelayKeys returns all loaded relay keys.
func (s *Store) RelayKeys() RelayKeys { return s.current.Load().relay }

// pool returns the certificates of the authorities accepted at now.
func (m *keyMaterial) pool(now time.Time) *x509.CertPool {
	p := x509.NewCertPool()
	for _, c := range m.bundle {
		if c.accepted(now) {
			p.AddCert(c.cert)
		}
	}
	return p
}
