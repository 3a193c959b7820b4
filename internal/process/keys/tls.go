package keys

import (
	"crypto/tls"
	"crypto/x509"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// ServerTLS returns a server configuration that requires client certificates of
// one of the roles. Each handshake uses the certificates that are current at the
// time, also in clones of the configuration.
func (s *Store) ServerTLS(roles ...identity.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       s.now,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.certificate(), nil
		},
		// VerifyConnection verifies the chain against the authorities that are
		// current at the handshake. ClientCAs cannot change after this call.
		ClientAuth: tls.RequireAnyClientCert,
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, err := s.verify(cs, x509.ExtKeyUsageClientAuth, roles)
			return err
		},
		// In a resumed session the client presents no certificate.
		SessionTicketsDisabled: true,
	}
}

// ClientTLS returns a configuration for connections to the VM called name. If
// name is empty, ServerName can be set in a clone. If it is not set either, or
// is an IP address, any VM is accepted, because clients of the API only know
// addresses.
func (s *Store) ClientTLS(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		Time:       s.now,
		ServerName: name,
		// VerifyConnection verifies the chain against the authorities that are
		// current at the handshake. RootCAs cannot change after this call.
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
		return result.Errorf(result.BadCertificate, "server certificate is for %q, not %q", id.Name, cs.ServerName)
	}
	return nil
}

// verify verifies the chain, usage and role of the peer's certificate.
func (s *Store) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage, roles []identity.Role) (identity.Identity, error) {
	if len(cs.PeerCertificates) == 0 {
		return identity.Identity{}, result.Errorf(result.BadCertificate, "peer sent no certificate")
	}
	leaf := cs.PeerCertificates[0]
	now := s.now()
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       s.current.Load().pool(now),
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return identity.Identity{}, result.Wrapf(err, result.BadCertificate, "verify peer certificate")
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
