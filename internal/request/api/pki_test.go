package api_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/request/api"
	"heatherport/internal/request/identity"
)

// serverName is the name of the VM that serves in tests.
const serverName = "a-1"

// pki issues certificates of one CA.
type pki struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newPKI(t *testing.T) pki {
	key := newKey(t)
	c := template("ca")
	c.IsCA = true
	c.BasicConstraintsValid = true
	c.KeyUsage = x509.KeyUsageCertSign
	return pki{t, sign(t, c, c, key, key), key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	return key
}

func template(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func sign(t *testing.T, c, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, c, parent, key.Public(), parentKey)
	must.NoError(t, err)
	out, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	return out
}

// config returns a configuration for a client or a server with a certificate
// signed by p.
func (p pki) config(role identity.Role, name string) *tls.Config {
	key := newKey(p.t)
	c := template(name)
	c.Subject.OrganizationalUnit = []string{string(role)}
	c.DNSNames = []string{name}
	c.KeyUsage = x509.KeyUsageDigitalSignature
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	pool := x509.NewCertPool()
	pool.AddCert(p.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{
			Certificate: [][]byte{sign(p.t, c, p.cert, key, p.key).Raw},
			PrivateKey:  key,
		}},
		ServerName: serverName,
		RootCAs:    pool,
		ClientCAs:  pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// serve starts a server over control and returns its address.
func (p pki) serve(control api.Control) netip.AddrPort {
	return p.serveWith(control, new(api.Counters), p.config(identity.VM, serverName))
}

func (p pki) serveWith(control api.Control, counters *api.Counters, config *tls.Config) netip.AddrPort {
	server := httptest.NewUnstartedServer(nil)
	server.Config = api.NewServer(control, counters)
	server.TLS = config
	server.StartTLS()
	p.t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func (p pki) client(role identity.Role, name string, to ...netip.AddrPort) *api.Client {
	return api.NewClient(to, p.config(role, name))
}

func (p pki) operator(to ...netip.AddrPort) *api.Client {
	return p.client(identity.Operator, "amina", to...)
}

func (p pki) upstream(name string, to ...netip.AddrPort) *api.Client {
	return p.client(identity.Upstream, name, to...)
}

// untrustedClient returns a client whose certificate is signed by another CA.
func (p pki) untrustedClient(to netip.AddrPort) *api.Client {
	config := newPKI(p.t).config(identity.Operator, "amina")
	config.RootCAs = p.config(identity.Operator, "amina").RootCAs
	return api.NewClient([]netip.AddrPort{to}, config)
}
