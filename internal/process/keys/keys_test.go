package keys

import (
	"crypto/tls"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/request/identity"
	"heatherport/internal/result"
)

// fakeClock is a clock that a test sets.
type fakeClock struct{ now time.Time }

func (c *fakeClock) time() time.Time { return c.now }

func newFakeClock() *fakeClock {
	return &fakeClock{now: time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)}
}

func newTestFolder(t *testing.T, c *fakeClock) Folder {
	f := Folder{Dir: filepath.Join(t.TempDir(), "keys"), Now: c.time}
	must.NoError(t, f.Init())
	return f
}

// openStore issues a certificate and opens a store for it.
func openStore(t *testing.T, f Folder, id identity.Identity) *Store {
	issued, err := f.Issue(id, DefaultLeafValidity)
	must.NoError(t, err)
	files := Files{CA: f.path(CAFile), Certificate: issued.Certificate, Key: issued.Key}
	if id.Role == identity.VM {
		files.RelayKeys = f.path(RelayFile)
	}
	s := &Store{files: files, now: f.Now}
	_, err = s.Reload()
	must.NoError(t, err)
	return s
}

// handshake performs a TLS handshake and returns the errors of both sides.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	done := make(chan error, 1)
	go func() {
		s := tls.Server(b, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte{1})
		}
		b.Close()
		done <- err
	}()
	c := tls.Client(a, client)
	clientErr = c.Handshake()
	if clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	a.Close()
	return clientErr, <-done
}

func vm(name string) identity.Identity { return identity.Identity{Name: name, Role: identity.VM} }

func TestInit(t *testing.T) {
	f := newTestFolder(t, newFakeClock())
	for _, name := range []string{CAFile, CAKeyFile, RelayFile} {
		st, err := os.Stat(f.path(name))
		must.NoError(t, err)
		must.Eq(t, os.FileMode(fileMode), st.Mode().Perm())
	}
	must.Eq(t, result.BadArguments, result.CodeOf(f.Init()))
}

func TestIssueRejects(t *testing.T) {
	f := newTestFolder(t, newFakeClock())
	cases := []struct {
		name     string
		id       identity.Identity
		validity time.Duration
	}{
		{"role", identity.Identity{Name: "a", Role: "root"}, time.Hour},
		{"path", vm("../a"), time.Hour},
		{"empty", vm(""), time.Hour},
		{"authority", vm("ca"), time.Hour},
		{"validity", vm("a"), 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := f.Issue(c.id, c.validity)
			must.Eq(t, result.BadArguments, result.CodeOf(err))
		})
	}
	_, err := Folder{Dir: t.TempDir()}.Issue(vm("a"), time.Hour)
	must.Eq(t, result.KeyMissing, result.CodeOf(err))
}

func TestMutualTLS(t *testing.T) {
	c := newFakeClock()
	f := newTestFolder(t, c)
	other := openStore(t, newTestFolder(t, c), vm("a-1"))
	a, b := openStore(t, f, vm("a-1")), openStore(t, f, vm("b-1"))
	operator := openStore(t, f, identity.Identity{Name: "amina", Role: identity.Operator})

	cases := []struct {
		name   string
		client *tls.Config
		server *tls.Config
		ok     bool
	}{
		{"VM to named VM", b.ClientTLS("a-1"), a.ServerTLS(identity.VM), true},
		{"VM to any VM", b.ClientTLS(""), a.ServerTLS(identity.VM), true},
		{"operator to VM", operator.ClientTLS(""), a.ServerTLS(identity.Operator), true},
		{"wrong name", b.ClientTLS("c-1"), a.ServerTLS(identity.VM), false},
		{"wrong role of client", operator.ClientTLS("a-1"), a.ServerTLS(identity.VM), false},
		{"wrong role of server", a.ClientTLS(""), operator.ServerTLS(identity.VM), false},
		{"wrong authority of client", other.ClientTLS("a-1"), a.ServerTLS(identity.VM), false},
		{"wrong authority of server", b.ClientTLS("a-1"), other.ServerTLS(identity.VM), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, a.ServerTLS(identity.VM), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clientErr, serverErr := handshake(c.client, c.server)
			must.Eq(t, c.ok, clientErr == nil && serverErr == nil, must.Sprint(clientErr, serverErr))
		})
	}

	c.now = c.now.Add(DefaultLeafValidity + time.Second) // NotAfter itself is valid
	clientErr, serverErr := handshake(b.ClientTLS("a-1"), a.ServerTLS(identity.VM))
	must.True(t, clientErr != nil && serverErr != nil, must.Sprint("expired certificates"))
}

func TestRotateCA(t *testing.T) {
	const window = time.Hour
	c := newFakeClock()
	f := newTestFolder(t, c)
	a, b := openStore(t, f, vm("a-1")), openStore(t, f, vm("b-1"))
	server, client := a.ServerTLS(identity.VM), b.ClientTLS("a-1")

	_, err := f.RotateCA(window)
	must.NoError(t, err)
	_, err = f.RotateCA(window)
	must.Eq(t, result.BadArguments, result.CodeOf(err))
	for _, s := range []*Store{a, b} {
		changed, err := s.Reload()
		must.NoError(t, err)
		must.True(t, changed)
	}
	must.Eq(t, c.now.Add(window), a.NotAfter())

	// b gets a certificate signed by the new authority, and a keeps its old one.
	_, err = f.Issue(vm("b-1"), DefaultLeafValidity)
	must.NoError(t, err)
	_, err = b.Reload()
	must.NoError(t, err)
	clientErr, serverErr := handshake(client, server)
	must.NoError(t, clientErr)
	must.NoError(t, serverErr)

	// The old certificate of a is rejected after the end of the window.
	c.now = c.now.Add(window)
	clientErr, _ = handshake(client, server)
	must.Error(t, clientErr)
	_, err = f.Issue(vm("a-1"), DefaultLeafValidity)
	must.NoError(t, err)
	_, err = a.Reload()
	must.NoError(t, err)
	clientErr, serverErr = handshake(client, server)
	must.NoError(t, clientErr)
	must.NoError(t, serverErr)
}

func TestRotateRelay(t *testing.T) {
	const window = time.Hour
	c := newFakeClock()
	f := newTestFolder(t, c)
	r, err := f.RotateRelay(window)
	must.NoError(t, err)
	must.Eq(t, 2, r.RelayKey)
	ks, err := f.RelayKeys()
	must.NoError(t, err)
	_, err = f.RotateRelay(window)
	must.Eq(t, result.BadArguments, result.CodeOf(err))

	steps := []struct {
		after    time.Duration
		sending  uint32
		accepted int
	}{
		{0, 1, 2},
		{window/2 - time.Second, 1, 2},
		{window / 2, 2, 2},
		{window - time.Second, 2, 2},
		{window, 2, 1},
	}
	for _, s := range steps {
		now := c.now.Add(s.after)
		k, ok := ks.Sending(now)
		must.True(t, ok)
		must.Eq(t, s.sending, k.ID, must.Sprint(s.after))
		must.Len(t, s.accepted, ks.Accepted(now), must.Sprint(s.after))
	}
	c.now = c.now.Add(window)
	r, err = f.RotateRelay(window)
	must.NoError(t, err)
	must.Eq(t, 3, r.RelayKey)

	summary := openStore(t, f, vm("a-1")).Summary()
	must.StrContains(t, summary, `authority "heatherport CA 2026-12-01T06:00:00Z", relay key 2, relay key 3`)
	for _, k := range ks {
		must.StrNotContains(t, summary, hex.EncodeToString(k.Secret[:]))
	}
}

func TestRelayKeysReject(t *testing.T) {
	const secret = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
	cases := []struct{ name, text string }{
		{"empty", "# nothing\n"},
		{"fields", "1 " + secret + " 2026-12-01T06:00:00Z\n"},
		{"id", "x " + secret + " 2026-12-01T06:00:00Z -\n"},
		{"short secret", "1 0001 2026-12-01T06:00:00Z -\n"},
		{"time", "1 " + secret + " now -\n"},
		{"end", "1 " + secret + " 2026-12-01T06:00:00Z never\n"},
		{"order", "2 " + secret + " 2026-12-01T06:00:00Z -\n2 " + secret + " 2026-12-01T06:00:00Z -\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := decodeRelayKeys([]byte(c.text))
			must.Eq(t, result.KeyMissing, result.CodeOf(err))
			must.StrNotContains(t, err.Error(), secret)
		})
	}
}

func TestReload(t *testing.T) {
	c := newFakeClock()
	f := newTestFolder(t, c)
	s := openStore(t, f, vm("a-1"))
	changed, err := s.Reload()
	must.NoError(t, err)
	must.False(t, changed)

	// The previous certificate remains in use if a file is damaged.
	must.NoError(t, os.WriteFile(s.files.Certificate, []byte("damaged"), fileMode))
	_, err = s.Reload()
	must.Eq(t, result.BadCertificate, result.CodeOf(err))
	must.Eq(t, vm("a-1"), s.Self())
	clientErr, serverErr := handshake(s.ClientTLS("a-1"), s.ServerTLS(identity.VM))
	must.NoError(t, clientErr)
	must.NoError(t, serverErr)

	// A certificate for another name is rejected.
	b := openStore(t, f, vm("b-1"))
	s.files.Certificate, s.files.Key = b.files.Certificate, b.files.Key
	_, err = s.Reload()
	must.Eq(t, result.BadCertificate, result.CodeOf(err))

	must.NoError(t, os.Remove(b.files.Certificate))
	_, err = s.Reload()
	must.Eq(t, result.KeyMissing, result.CodeOf(err))
}

func TestEphemeral(t *testing.T) {
	e, err := NewEphemeral()
	must.NoError(t, err)
	a, err := e.Issue(identity.VM, "a-1")
	must.NoError(t, err)
	b, err := e.Issue(identity.VM, "b-1")
	must.NoError(t, err)
	must.Eq(t, a.RelayKeys(), b.RelayKeys())
	_, ok := a.RelayKeys().Sending(time.Now())
	must.True(t, ok)
	clientErr, serverErr := handshake(a.ClientTLS("b-1"), b.ServerTLS(identity.VM))
	must.NoError(t, clientErr)
	must.NoError(t, serverErr)
}

func FuzzRelayKeys(f *testing.F) {
	k, err := newRelayKey(7, newFakeClock().now)
	must.NoError(f, err)
	f.Add(RelayKeys{k}.encode())
	f.Add([]byte("1 00 now -\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		ks, err := decodeRelayKeys(b)
		if err != nil {
			must.Eq(t, result.KeyMissing, result.CodeOf(err))
			return
		}
		again, err := decodeRelayKeys(ks.encode())
		must.NoError(t, err)
		must.Len(t, len(ks), again)
	})
}

func FuzzBundle(f *testing.F) {
	c := newFakeClock()
	a, err := newAuthority(c.now, time.Hour)
	must.NoError(f, err)
	f.Add(encodeBundle([]caCert{{cert: a.cert}}))
	f.Add(encodeBundle([]caCert{{cert: a.cert, until: c.now}, {cert: a.cert}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		bundle, err := decodeBundle(b)
		if err != nil {
			must.Eq(t, result.BadCertificate, result.CodeOf(err))
			return
		}
		again, err := decodeBundle(encodeBundle(bundle))
		must.NoError(t, err)
		must.Len(t, len(bundle), again)
	})
}
