package controller

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version/vfs"
)

func openFolder(t *testing.T, path string) vfs.FS {
	folder, err := vfs.Dir(path)
	must.NoError(t, err)
	return folder
}

func TestIdentityStaysWithTheDisk(t *testing.T) {
	path := t.TempDir()
	first, err := loadIdentity(openFolder(t, path), linkAt(1), nil)
	must.NoError(t, err)
	again, err := loadIdentity(openFolder(t, path), linkAt(1), []netip.AddrPort{linkAt(1)})
	must.NoError(t, err)
	must.Eq(t, first, again)
	must.Nil(t, first.bootstrap())
	must.Eq(t, linkAt(1), linkOf(first.Name))
	other, err := loadIdentity(openFolder(t, t.TempDir()), linkAt(1), nil)
	must.NoError(t, err)
	must.NotEq(t, first.Name, other.Name)
}

func TestInitialVotersShareBootstrapConfiguration(t *testing.T) {
	initialVoters := []netip.AddrPort{linkAt(1), linkAt(2), linkAt(3)}
	path := t.TempDir()
	id, err := loadIdentity(openFolder(t, path), linkAt(2), initialVoters)
	must.NoError(t, err)
	must.Eq(t, memberID(linkAt(2), initialDisk), id.Name)
	must.Len(t, 3, id.bootstrap().Voters)
	// An initial voter that crashed before its log was durable bootstraps again.
	id, err = loadIdentity(openFolder(t, path), linkAt(2), nil)
	must.NoError(t, err)
	must.Len(t, 3, id.bootstrap().Voters)
}

func TestDamagedIdentityIsReported(t *testing.T) {
	folder := openFolder(t, t.TempDir())
	must.NoError(t, replaceFile(folder, identityFile, []byte{0xff}))
	_, err := loadIdentity(folder, linkAt(1), nil)
	must.Eq(t, result.StorageCorrupt, result.CodeOf(err))
}

func TestLinkOfNameWithoutAddressIsInvalid(t *testing.T) {
	must.False(t, linkOf("akure-1").IsValid())
}
