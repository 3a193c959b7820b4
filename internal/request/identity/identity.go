// Package identity tells who is at the other end of a mutual TLS connection.
// The name of a certificate is its common name and its only DNS name; its role
// is its organizational unit.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"heatherport/internal/result"
)

// Role is what the holder of a certificate may do.
type Role string

// The roles.
const (
	VM       Role = "vm"       // links between VMs
	Operator Role = "operator" // the operators' API
	Upstream Role = "upstream" // announcements of one upstream
)

// Valid reports whether r is one of the roles.
func (r Role) Valid() bool {
	return r == VM || r == Operator || r == Upstream
}

// Identity is the name and role of a certificate.
type Identity struct {
	Name string
	Role Role
}

// MaxNameLength is the length of the longest name in bytes.
const MaxNameLength = 63

// ValidName reports whether name can stand in a certificate: it is a DNS label
// in lower case.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	if name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// CheckName returns an error with code c unless name is valid.
func CheckName(c result.Code, name string) error {
	if ValidName(name) {
		return nil
	}
	return result.Errorf(c, "%q is not a name of lower-case letters, digits and inner hyphens, at most %d long", name, MaxNameLength)
}

// Of returns the identity in a verified certificate.
func FromCertificate(c *x509.Certificate) (Identity, error) {
	id := Identity{Name: c.Subject.CommonName}
	if len(c.Subject.OrganizationalUnit) == 1 {
		id.Role = Role(c.Subject.OrganizationalUnit[0])
	}
	switch {
	case !ValidName(id.Name):
		return Identity{}, CheckName(result.BadCertificate, id.Name)
	case !id.Role.Valid():
		return Identity{}, result.Errorf(result.BadCertificate, "certificate of %q names no known role", id.Name)
	case !slices.Equal(c.DNSNames, []string{id.Name}):
		return Identity{}, result.Errorf(result.BadCertificate, "DNS names of certificate %q differ from its common name", id.Name)
	}
	return id, nil
}

// OfConnection returns the identity at the other end of a connection whose
// handshake verified the certificate, as both sides do that package keys
// configures.
func FromConnectionState(s *tls.ConnectionState) (Identity, error) {
	if s == nil || len(s.PeerCertificates) == 0 {
		return Identity{}, result.Errorf(result.BadCertificate, "no verified certificate")
	}
	return FromCertificate(s.PeerCertificates[0])
}

// Require returns NotAuthorized unless id has one of the roles.
func (id Identity) Require(roles ...Role) error {
	if slices.Contains(roles, id.Role) {
		return nil
	}
	return result.Errorf(result.NotAuthorized, "%q has the role %s, needed is one of %v", id.Name, id.Role, roles)
}
