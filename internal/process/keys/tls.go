package keys

import (
	"crypto/tls"
	"crypto/x509"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// ServerTLS returns a configuration that demands a certificate of one of the
// roles. Each handshake uses the material current at that time, also in clones
// of the configuration.
func (s *Store) ServerTLS(roles ...identity.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       s.now,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.certificate(), nil
		},
		// VerifyConnection checks the chain against the authorities current
		// at the handshake, which ClientCAs cannot do.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, err := s.verify(cs, x509.ExtKeyUsageClientAuth, roles)
			return err
		},
		// A resumed session would present no certificate.
		SessionTicketsDisabled: true,
	}
}

// ClientTLS returns a configuration for connecting to the VM called name. With
// an empty name, ServerName can be set in a clone; if it is not, or is an IP
// address, any VM is accepted: callers of the API know addresses only.
func (s *Store) ClientTLS(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       s.now,
		ServerName: name,
		// VerifyConnection checks the chain against the authorities current
		// at the handshake, which RootCAs cannot do.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyServer,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return s.certificate(), nil
		},
	}
}

func (s *Store) verifyServer(cs tls.ConnectionState) error {
	id, err := s.verify(cs, x509.ExtKeyUsageServerAuth, []identity.Role{identity.VM})
	if err != nil {
		return err
	}
	if cs.ServerName != "" && id.Name != cs.ServerName {
		return result.Errorf(result.BadCertificate, "server is %q instead of %q", id.Name, cs.ServerName)
	}
	return nil
}

// verify checks the chain, usage and role of the peer's certificate.
func (s *Store) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage, roles []identity.Role) (identity.Identity, error) {
	if len(cs.PeerCertificates) == 0 {
		return identity.Identity{}, result.Errorf(result.BadCertificate, "no certificate from the peer")
	}
	leaf := cs.PeerCertificates[0]
	now := s.now()
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       s.current.Load().pool(now),
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return identity.Identity{}, result.Wrapf(err, result.BadCertificate, "certificate of the peer")
	}
	id, err := identity.FromCertificate(leaf)
	if err != nil {
		return identity.Identity{}, err
	}
	return id, id.Require(roles...)
}

func (s *Store) certificate() *tls.Certificate {
	c := s.current.Load().cert
	return &c
}
