package identity

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
)

func certificate(name string, units, dns []string) *x509.Certificate {
	return &x509.Certificate{
		Subject:  pkix.Name{CommonName: name, OrganizationalUnit: units},
		DNSNames: dns,
	}
}

func TestOf(t *testing.T) {
	cases := []struct {
		name string
		cert *x509.Certificate
		want Identity
	}{
		{"VM", certificate("a-1", []string{"vm"}, []string{"a-1"}), Identity{"a-1", VM}},
		{"operator", certificate("amina", []string{"operator"}, []string{"amina"}), Identity{"amina", Operator}},
		{"no name", certificate("", []string{"vm"}, []string{""}), Identity{}},
		{"name no DNS label", certificate("a 1", []string{"vm"}, []string{"a 1"}), Identity{}},
		{"no role", certificate("a-1", nil, []string{"a-1"}), Identity{}},
		{"unknown role", certificate("a-1", []string{"root"}, []string{"a-1"}), Identity{}},
		{"two roles", certificate("a-1", []string{"vm", "operator"}, []string{"a-1"}), Identity{}},
		{"other DNS name", certificate("a-1", []string{"vm"}, []string{"b-1"}), Identity{}},
		{"more DNS names", certificate("a-1", []string{"vm"}, []string{"a-1", "b-1"}), Identity{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := FromConnectionState(&tls.ConnectionState{PeerCertificates: []*x509.Certificate{c.cert}})
			must.Eq(t, c.want, got)
			if c.want == (Identity{}) {
				must.Eq(t, result.BadCertificate, result.CodeOf(err))
			}
		})
	}
	for _, s := range []*tls.ConnectionState{nil, {}} {
		_, err := FromConnectionState(s)
		must.Eq(t, result.BadCertificate, result.CodeOf(err))
	}
}

func TestRequire(t *testing.T) {
	id := Identity{Name: "a-1", Role: VM}
	must.NoError(t, id.Require(Operator, VM))
	must.Eq(t, result.NotAuthorized, result.CodeOf(id.Require(Operator)))
	must.Eq(t, result.NotAuthorized, result.CodeOf(id.Require()))
}

func TestValidName(t *testing.T) {
	for _, name := range []string{"a", "a-1", "0", strings.Repeat("x", MaxNameLength)} {
		must.True(t, ValidName(name), must.Sprint(name))
	}
	for _, name := range []string{"", "A", "a.b", "-a", "a-", "a/b", "é", strings.Repeat("x", MaxNameLength+1)} {
		must.False(t, ValidName(name), must.Sprint(name))
	}
}
