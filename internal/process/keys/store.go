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

// serialBase is the base in which serial numbers are shown.
const serialBase = 16

// Files names the key files of one VM, operator or upstream. RelayKeys is
// empty for all but VMs.
type Files struct {
	CA, Certificate, Key, RelayKeys string
}

// encoded holds the bytes of Files.
type encoded struct {
	ca, cert, key, relay []byte
}

func (e encoded) equal(o encoded) bool {
	return bytes.Equal(e.ca, o.ca) && bytes.Equal(e.cert, o.cert) &&
		bytes.Equal(e.key, o.key) && bytes.Equal(e.relay, o.relay)
}

// material is what one load of the files gave. It is immutable.
type material struct {
	source encoded
	self   identity.Identity
	cert   tls.Certificate
	bundle []caCert
	relay  RelayKeys
}

// Store holds the current certificates and keys. It is safe for concurrent
// use; Reload takes effect for connections that begin afterwards.
type Store struct {
	files   Files
	now     func() time.Time
	current atomic.Pointer[material]
}

// Open reads and checks the files.
func Open(files Files) (*Store, error) {
	s := &Store{files: files, now: time.Now}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again and reports whether they changed. After an
// error the former material stays in use.
func (s *Store) Reload() (bool, error) {
	if s.files == (Files{}) {
		return false, nil // in memory only
	}
	e, err := s.files.read()
	if err != nil {
		return false, err
	}
	if m := s.current.Load(); m != nil && m.source.equal(e) {
		return false, nil
	}
	return true, s.set(e)
}

func (s *Store) set(e encoded) error {
	m, err := decode(e)
	if err != nil {
		return err
	}
	if old := s.current.Load(); old != nil && old.self != m.self {
		return result.Errorf(result.BadCertificate, "certificate of %q replaced by one of %q", old.self.Name, m.self.Name)
	}
	s.current.Store(m)
	return nil
}

func (f Files) read() (encoded, error) {
	var e encoded
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
			return encoded{}, err
		}
		*t.to = b
	}
	return e, nil
}

func decode(e encoded) (*material, error) {
	m := &material{source: e}
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
		return tls.Certificate{}, result.Wrapf(err, result.BadCertificate, "certificate and key")
	}
	return c, nil
}

// findAuthority returns the certificate of the bundle that belongs to key.
func findAuthority(bundle []caCert, key crypto.Signer) (authority, error) {
	pub, ok := key.Public().(*ecdsa.PublicKey)
	if !ok {
		return authority{}, result.Errorf(result.BadCertificate, "CA key is not an ECDSA key")
	}
	for _, c := range bundle {
		if pub.Equal(c.cert.PublicKey) {
			return authority{cert: c.cert, key: key}, nil
		}
	}
	return authority{}, result.Errorf(result.BadCertificate, "no CA certificate belongs to the CA key")
}

// Self returns the identity of the own certificate.
func (s *Store) Self() identity.Identity { return s.current.Load().self }

// NotAfter returns the end of the own certificate, or of the window in which
// its authority is accepted if that comes first.
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

// Summary describes the material in use, without secrets, for the audit trail.
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

// RelayKeys returns all relay keys in the file.
func (s *Store) RelayKeys() RelayKeys { return s.current.Load().relay }

// pool returns the authorities accepted at now.
func (m *material) pool(now time.Time) *x509.CertPool {
	p := x509.NewCertPool()
	for _, c := range m.bundle {
		if c.accepted(now) {
			p.AddCert(c.cert)
		}
	}
	return p
}
