// Package keys creates, stores and reloads the certificates and relay keys of
// the fleet. A folder kept by the operators holds the certificate authority.
// Each VM gets its own certificate, the authority's certificates and the relay
// keys. After a rotation, both old and new are accepted for a given window.
package keys

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// The validity of certificates.
const (
	DefaultCAValidity   = 10 * 365 * 24 * time.Hour
	DefaultLeafValidity = 365 * 24 * time.Hour
	clockSkew           = 5 * time.Minute // certificates are valid from this long before their issue
)

const serialBits = 128

// authority is a certificate authority (CA).
type authority struct {
	cert *x509.Certificate
	key  crypto.Signer
}

// pair is a PEM-encoded certificate and its private key.
type pair struct {
	cert, key []byte
}

func newAuthority(now time.Time, validity time.Duration) (authority, error) {
	key, err := newKey()
	if err != nil {
		return authority{}, err
	}
	serial, err := newSerial()
	if err != nil {
		return authority{}, err
	}
	t := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "heatherport CA " + now.UTC().Format(time.RFC3339)},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(validity),
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return authority{}, result.Wrapf(err, result.Internal, "create CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return authority{}, result.Wrapf(err, result.Internal, "parse CA certificate")
	}
	return authority{cert: cert, key: key}, nil
}

// issue returns a certificate for id that is valid for clients and servers.
func (a authority) issue(id identity.Identity, now time.Time, validity time.Duration) (pair, error) {
	if err := checkIdentity(id); err != nil {
		return pair{}, err
	}
	key, err := newKey()
	if err != nil {
		return pair{}, err
	}
	serial, err := newSerial()
	if err != nil {
		return pair{}, err
	}
	notAfter := now.Add(validity)
	if notAfter.After(a.cert.NotAfter) {
		notAfter = a.cert.NotAfter
	}
	t := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: id.Name, OrganizationalUnit: []string{string(id.Role)}},
		DNSNames:     []string{id.Name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     notAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, key.Public(), a.key)
	if err != nil {
		return pair{}, result.Wrapf(err, result.Internal, "create certificate of %q", id.Name)
	}
	keyPEM, err := encodeKey(key)
	if err != nil {
		return pair{}, err
	}
	return pair{cert: encodeCertificate(der), key: keyPEM}, nil
}

// checkIdentity rejects unknown roles and names that cannot be used in
// certificates and file names.
func checkIdentity(id identity.Identity) error {
	if !id.Role.Valid() {
		return result.Errorf(result.BadArguments, "unknown role %q", id.Role)
	}
	return identity.CheckName(result.BadArguments, id.Name)
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "generate key")
	}
	return key, nil
}

func newSerial() (*big.Int, error) {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "generate serial number")
	}
	return n, nil
}
