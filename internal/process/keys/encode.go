package keys

import (
	"crypto"
	"crypto/x509"
	"encoding/pem"
	"strings"
	"time"

	"heatherport/internal/result"
)

const (
	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
	acceptUntil    = "accept-until " // precedes a CA certificate that is being replaced
)

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der})
}

func encodeKey(key crypto.Signer) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: der}), nil
}

func decodeKey(b []byte) (crypto.Signer, error) {
	block, _ := pem.Decode(b)
	if block == nil || block.Type != pemKey {
		return nil, result.Errorf(result.BadCertificate, "no %s block", pemKey)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, result.Wrapf(err, result.BadCertificate, "parse private key")
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, result.Errorf(result.BadCertificate, "private key cannot sign")
	}
	return signer, nil
}

// caCert is one certificate of the CA bundle.
type caCert struct {
	cert  *x509.Certificate
	until time.Time // end of acceptance; zero for the certificate's own expiry
}

// accepted reports whether certificates signed by c are accepted at now.
func (c caCert) accepted(now time.Time) bool {
	return c.until.IsZero() || now.Before(c.until)
}

// encodeBundle encodes a CA bundle, which is ordered from newest to oldest.
func encodeBundle(bundle []caCert) []byte {
	var b strings.Builder
	for _, c := range bundle {
		if !c.until.IsZero() {
			b.WriteString(acceptUntil + c.until.UTC().Format(time.RFC3339) + "\n")
		}
		b.Write(encodeCertificate(c.cert.Raw))
	}
	return []byte(b.String())
}

func decodeBundle(b []byte) ([]caCert, error) {
	var out []caCert
	for {
		block, rest := pem.Decode(b)
		if block == nil {
			break
		}
		c, err := decodeBundleEntry(b, block)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
		b = rest
	}
	if len(out) == 0 {
		return nil, result.Errorf(result.BadCertificate, "no CA certificate")
	}
	return out, nil
}

func decodeBundleEntry(b []byte, block *pem.Block) (caCert, error) {
	if block.Type != pemCertificate {
		return caCert{}, result.Errorf(result.BadCertificate, "unexpected %s block in the CA bundle", block.Type)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return caCert{}, result.Wrapf(err, result.BadCertificate, "parse CA certificate")
	}
	c := caCert{cert: cert}
	text, _, _ := strings.Cut(string(b), "-----BEGIN")
	value, ok := strings.CutPrefix(strings.TrimSpace(text), acceptUntil)
	if !ok {
		return c, nil
	}
	c.until, err = time.Parse(time.RFC3339, value)
	if err != nil {
		return caCert{}, result.Wrapf(err, result.BadCertificate, "parse %s of a CA certificate", strings.TrimSpace(acceptUntil))
	}
	return c, nil
}
