package keys

import (
	"crypto/tls"
	"crypto/x509"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// ServerTLS returns a configuration that asks for a certificate of one of the
// roles. Each connection uses the material current at its start.
func (s *Store) ServerTLS(protocols []string, roles ...identity.Role) *tls.Config {
	build := func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.serverConfig(protocols, roles), nil
	}
	c := s.serverConfig(protocols, roles)
	c.GetConfigForClient = build
	return c
}

func (s *Store) serverConfig(protocols []string, roles []identity.Role) *tls.Config {
	m := s.current.Load()
	now := s.now()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       protocols,
		Time:             s.now,
		Certificates:     []tls.Certificate{m.cert},
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        m.pool(now),
		VerifyConnection: requireRole(roles),
		// A resumed session would skip the check against rotated authorities.
		SessionTicketsDisabled: true,
	}
}

func requireRole(roles []identity.Role) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		id, err := identity.OfConnection(&cs)
		if err != nil {
			return err
		}
		return id.Require(roles...)
	}
}

// ClientTLS returns a configuration for connecting to the VM called name. An
// empty name accepts any VM: callers of the API know addresses only.
func (s *Store) ClientTLS(protocols []string, name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		Time:       s.now,
		ServerName: name,
		// VerifyConnection checks the chain against the authorities current
		// at the handshake, which RootCAs cannot do.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			return s.verifyVM(cs, name)
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			c := s.current.Load().cert
			return &c, nil
		},
	}
}

// verifyVM checks the chain, role and name of a server.
func (s *Store) verifyVM(cs tls.ConnectionState, name string) error {
	if len(cs.PeerCertificates) == 0 {
		return result.Errorf(result.BadCertificate, "no certificate from the server")
	}
	leaf := cs.PeerCertificates[0]
	now := s.now()
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       s.current.Load().pool(now),
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return result.Wrapf(err, result.BadCertificate, "certificate of the server")
	}
	id, err := identity.Of(leaf)
	if err != nil {
		return err
	}
	if name != "" && id.Name != name {
		return result.Errorf(result.BadCertificate, "server is %q instead of %q", id.Name, name)
	}
	return id.Require(identity.VM)
}
