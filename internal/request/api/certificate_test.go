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

// startFailFirstProxy starts a proxy that closes its first connection after a
// handshake with any certificate and forwards later connections to vm. It
// simulates a request that fails before the client receives a TLS alert.
func startFailFirstProxy(p pki, vm netip.AddrPort) netip.AddrPort {
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
				return // closed at the end of the test
			}
			if accepted.Add(1) == 1 {
				_ = tls.Server(conn, config).HandshakeContext(context.Background()) // the connection is closed in any case
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

// TestRejectedCertificateIsReported guards against losing the TLS alert of a VM
// that rejects the client's certificate. The client may already have sent its
// request when the alert arrives.
func TestRejectedCertificateIsReported(t *testing.T) {
	p := newPKI(t)
	to := p.serve(&fakeControl{})
	for range 200 {
		_, err := p.untrustedClient(to).Status(context.Background())
		must.Eq(t, result.BadCertificate, result.CodeOf(err), must.Sprintf("%v", err))
	}
}

// TestRejectionIsFoundAfterFailedRequest covers a transport that reports the
// failed request in place of the alert: the client must still find the rejection.
func TestRejectionIsFoundAfterFailedRequest(t *testing.T) {
	p := newPKI(t)
	to := startFailFirstProxy(p, p.serve(&fakeControl{}))
	_, err := p.untrustedClient(to).Status(context.Background())
	must.Eq(t, result.BadCertificate, result.CodeOf(err), must.Sprintf("%v", err))
}

func TestFailedRequestWithValidCertificateIsNoRejection(t *testing.T) {
	p := newPKI(t)
	to := startFailFirstProxy(p, p.serve(&fakeControl{}))
	_, err := p.operator(to).Status(context.Background())
	must.Eq(t, result.Unreachable, result.CodeOf(err), must.Sprintf("%v", err))
	_, err = p.operator(to).Status(context.Background())
	must.NoError(t, err)
}

// TestFailedSubmissionIsNeverReportedAsRejected checks that the outcome of a
// submission without a response is unknown: it may have been executed before the
// VM began to reject the certificate.
func TestFailedSubmissionIsNeverReportedAsRejected(t *testing.T) {
	p := newPKI(t)
	to := startFailFirstProxy(p, p.serve(&fakeControl{}))
	_, err := p.untrustedClient(to).SubmitSheet(context.Background(), []byte("version,1\n"))
	must.Eq(t, result.OutcomeUnknown, result.CodeOf(err), must.Sprintf("%v", err))
}
