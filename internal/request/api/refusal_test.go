package api_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// breakFirst accepts handshakes with any certificate at first and then ends
// the connection without a word; later connections are passed to a VM.
func breakFirst(p pki, vm netip.AddrPort) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(p.t, err)
	p.t.Cleanup(func() { l.Close() })
	config := p.config(identity.VM, serverName)
	config.ClientAuth = tls.RequestClientCert
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return // the test ends
			}
			if accepted.Add(1) == 1 {
				_ = tls.Server(conn, config).HandshakeContext(context.Background()) // ended at once all the same
				conn.Close()
				continue
			}
			to, err := net.Dial("tcp", vm.String())
			if err != nil {
				conn.Close()
				continue
			}
			go func() { _, _ = to.(*net.TCPConn).ReadFrom(conn); to.Close() }()
			go func() { _, _ = conn.(*net.TCPConn).ReadFrom(to); conn.Close() }()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestRefusedCertificateIsTold: the TLS alert of a VM that refuses the client's
// certificate must reach the client, whatever it has sent by then.
func TestRefusedCertificateIsTold(t *testing.T) {
	p := newPKI(t)
	to := p.serve(&fake{})
	for range 200 {
		_, err := p.stranger(to).Status(context.Background())
		must.Eq(t, result.BadCertificate, result.CodeOf(err), must.Sprintf("%v", err))
	}
}

// The transport may report how the request failed in place of the alert.
func TestRefusalIsFoundAfterALostRequest(t *testing.T) {
	p := newPKI(t)
	to := breakFirst(p, p.serve(&fake{}))
	_, err := p.stranger(to).Status(context.Background())
	must.Eq(t, result.BadCertificate, result.CodeOf(err), must.Sprintf("%v", err))
}

func TestLostRequestWithAGoodCertificateIsNoRefusal(t *testing.T) {
	p := newPKI(t)
	to := breakFirst(p, p.serve(&fake{}))
	_, err := p.operator(to).Status(context.Background())
	must.Eq(t, result.Unreachable, result.CodeOf(err), must.Sprintf("%v", err))
	_, err = p.operator(to).Status(context.Background())
	must.NoError(t, err)
}

// A submission may have run before the VM began to refuse the certificate.
func TestLostSubmissionIsNeverCalledRefused(t *testing.T) {
	p := newPKI(t)
	to := breakFirst(p, p.serve(&fake{}))
	_, err := p.stranger(to).SubmitSheet(context.Background(), []byte("version,1\n"))
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err), must.Sprintf("%v", err))
}
