package keys

import (
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// The files of a key folder. A certificate is in NAME.pem, its key in
// NAME-key.pem.
const (
	CAFile     = "ca.pem"
	CAKeyFile  = "ca-key.pem"
	RelayFile  = "relay.keys"
	keySuffix  = "-key.pem"
	certSuffix = ".pem"
)

// CertificateFile returns the file name of the certificate for name.
func CertificateFile(name string) string { return name + certSuffix }

// KeyFile returns the file name of the private key for name.
func KeyFile(name string) string { return name + keySuffix }

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// DefaultWindow is the time for which both old and new keys are accepted.
const DefaultWindow = 24 * time.Hour

// Folder is the operators' folder with the certificate authority.
type Folder struct {
	Dir string
	Now func() time.Time // time.Now if nil
}

func (f Folder) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

func (f Folder) path(name string) string { return filepath.Join(f.Dir, name) }

// Init creates the certificate authority and the first relay key. It fails if
// the folder already contains one of their files.
func (f Folder) Init() error {
	for _, name := range []string{CAFile, CAKeyFile, RelayFile} {
		if _, err := os.Stat(f.path(name)); err == nil {
			return result.Errorf(result.BadArguments, "%s exists already", f.path(name))
		}
	}
	if err := os.MkdirAll(f.Dir, folderMode); err != nil {
		return result.Wrapf(err, result.StorageFailed, "create key folder")
	}
	a, err := newAuthority(f.now(), DefaultCAValidity)
	if err != nil {
		return err
	}
	k, err := newRelayKey(1, f.now())
	if err != nil {
		return err
	}
	if err := f.writeAuthority(a, []caCert{{cert: a.cert}}); err != nil {
		return err
	}
	return f.write(RelayFile, RelayKeys{k}.encode())
}

// Issued describes an issued certificate and its files.
type Issued struct {
	Certificate string    `json:"certificate"`
	Key         string    `json:"key"`
	NotAfter    time.Time `json:"not_after"`
}

// Issue writes a new certificate and private key for id. Files of the same name
// are replaced.
func (f Folder) Issue(id identity.Identity, validity time.Duration) (Issued, error) {
	if err := checkIdentity(id); err != nil {
		return Issued{}, err
	}
	if CertificateFile(id.Name) == CAFile {
		return Issued{}, result.Errorf(result.BadArguments, "%q is reserved for the certificate authority", id.Name)
	}
	if validity <= 0 {
		return Issued{}, result.Errorf(result.BadArguments, "validity %s is not positive", validity)
	}
	a, err := f.readAuthority()
	if err != nil {
		return Issued{}, err
	}
	p, err := a.issue(id, f.now(), validity)
	if err != nil {
		return Issued{}, err
	}
	out := Issued{Certificate: f.path(CertificateFile(id.Name)), Key: f.path(KeyFile(id.Name))}
	cert, err := parsePair(p)
	if err != nil {
		return Issued{}, err
	}
	out.NotAfter = cert.Leaf.NotAfter
	// The key is written first, so that a reader of the new certificate always
	// finds its key.
	if err := f.write(KeyFile(id.Name), p.key); err != nil {
		return Issued{}, err
	}
	return out, f.write(CertificateFile(id.Name), p.cert)
}

// Rotated is the result of a rotation.
type Rotated struct {
	RelayKey uint32    `json:"relay_key,omitempty"` // id of the new relay key
	CA       string    `json:"ca,omitempty"`        // name of the new authority
	UsedFrom time.Time `json:"used_from"`           // time from which the new key or authority is used
	OldUntil time.Time `json:"old_until"`           // time until which the old ones are accepted
}

// RotateRelay adds a relay key. The new key is used for sending after half of
// the window. The old ones are accepted until the end of the window.
func (f Folder) RotateRelay(window time.Duration) (Rotated, error) {
	if err := checkWindow(window); err != nil {
		return Rotated{}, err
	}
	ks, err := f.RelayKeys()
	if err != nil {
		return Rotated{}, err
	}
	now := f.now().Truncate(time.Second)
	ks, err = ks.rotate(now, window)
	if err != nil {
		return Rotated{}, err
	}
	k := ks[len(ks)-1]
	out := Rotated{RelayKey: k.ID, UsedFrom: k.NotBefore, OldUntil: now.Add(window)}
	return out, f.write(RelayFile, ks.encode())
}

// RotateCA adds a certificate authority, which signs all certificates issued
// from now on. Certificates signed by the old one are accepted until the end of
// the window.
func (f Folder) RotateCA(window time.Duration) (Rotated, error) {
	if err := checkWindow(window); err != nil {
		return Rotated{}, err
	}
	bundle, err := f.readBundle()
	if err != nil {
		return Rotated{}, err
	}
	now := f.now().Truncate(time.Second)
	a, err := newAuthority(now, DefaultCAValidity)
	if err != nil {
		return Rotated{}, err
	}
	out := Rotated{CA: a.cert.Subject.CommonName, UsedFrom: now, OldUntil: now.Add(window)}
	next, err := rotateBundle(bundle, a, now, out.OldUntil)
	if err != nil {
		return Rotated{}, err
	}
	return out, f.writeAuthority(a, next)
}

// rotateBundle returns the bundle with a as its first authority. The current
// authority is accepted until the given time. A second rotation within the
// window is rejected.
func rotateBundle(bundle []caCert, a authority, now, until time.Time) ([]caCert, error) {
	out := []caCert{{cert: a.cert}}
	for _, c := range bundle {
		if !c.accepted(now) {
			continue
		}
		if !c.until.IsZero() {
			return nil, result.Errorf(result.BadArguments, "%s is accepted until %s; rotate after that", c.cert.Subject.CommonName, c.until.UTC().Format(time.RFC3339))
		}
		c.until = until
		out = append(out, c)
	}
	return out, nil
}

const minWindow = time.Minute

func checkWindow(window time.Duration) error {
	if window < minWindow {
		return result.Errorf(result.BadArguments, "window %s is below %s", window, minWindow)
	}
	return nil
}

// RelayKeys reads the relay keys of the folder.
func (f Folder) RelayKeys() (RelayKeys, error) {
	b, err := f.read(RelayFile)
	if err != nil {
		return nil, err
	}
	return decodeRelayKeys(b)
}

func (f Folder) readBundle() ([]caCert, error) {
	b, err := f.read(CAFile)
	if err != nil {
		return nil, err
	}
	return decodeBundle(b)
}

func (f Folder) readAuthority() (authority, error) {
	bundle, err := f.readBundle()
	if err != nil {
		return authority{}, err
	}
	b, err := f.read(CAKeyFile)
	if err != nil {
		return authority{}, err
	}
	key, err := decodeKey(b)
	if err != nil {
		return authority{}, err
	}
	return matchAuthority(bundle, key)
}

// writeAuthority writes the bundle before the key. If the second write fails,
// the old key remains in use, and its certificate is still in the bundle.
func (f Folder) writeAuthority(a authority, bundle []caCert) error {
	key, err := encodeKey(a.key)
	if err != nil {
		return err
	}
	if err := f.write(CAFile, encodeBundle(bundle)); err != nil {
		return err
	}
	return f.write(CAKeyFile, key)
}

func (f Folder) read(name string) ([]byte, error) { return readFile(f.path(name)) }

func (f Folder) write(name string, b []byte) error {
	err := renameio.WriteFile(f.path(name), b, fileMode, renameio.WithTempDir(f.Dir), renameio.IgnoreUmask())
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "write %s", f.path(name))
	}
	return nil
}

func readFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrapf(err, result.KeyMissing, "read key file")
	}
	return b, nil
}
