package controller

import (
	"crypto/rand"
	"encoding/hex"
	"io/fs"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
	"heatherport/internal/version/raft"
	"heatherport/internal/version/vfs"
)

// identityFile is the file that holds the identity of a data folder.
const identityFile = "identity"

// initialDisk is the disk name of the initial voters. They must know each
// other's member IDs before they have exchanged a message.
const initialDisk = "founder"

const diskNameBytes = 8

// identity identifies a data folder in the replicated log. A VM whose disk was
// lost returns with another ID, so that it cannot vote as a voter whose
// earlier votes it no longer has.
type identity struct {
	Name          string   `cbor:"1,keyasint"`
	InitialVoters []string `cbor:"2,keyasint,omitempty"` // member IDs, if this is one of them
}

// memberID returns the member ID of the data folder with the given disk name at
// a link address.
func memberID(link netip.AddrPort, disk string) string { return link.String() + "/" + disk }

// linkOf returns the link address in a member ID.
func linkOf(id string) netip.AddrPort {
	address, _, _ := strings.Cut(id, "/")
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{} // not made by memberID
	}
	return ap
}

// loadIdentity reads the identity of a folder, or creates it. A new folder
// becomes that of an initial voter when initialVoters, the link addresses of
// the initial voters, contains self.
func loadIdentity(folder vfs.FS, self netip.AddrPort, initialVoters []netip.AddrPort) (identity, error) {
	id, err := readIdentity(folder)
	if err == nil || !errors.Is(err, fs.ErrNotExist) {
		return id, err
	}
	for _, link := range initialVoters {
		id.InitialVoters = append(id.InitialVoters, memberID(link, initialDisk))
		if link == self {
			id.Name = memberID(self, initialDisk)
		}
	}
	if id.Name == "" {
		disk := make([]byte, diskNameBytes)
		if _, err := rand.Read(disk); err != nil {
			return id, result.Wrapf(err, result.Internal, "generate disk name")
		}
		id = identity{Name: memberID(self, hex.EncodeToString(disk))}
	}
	return id, writeIdentity(folder, id)
}

func readIdentity(folder vfs.FS) (id identity, err error) {
	data, err := readFile(folder, identityFile)
	if err != nil {
		return id, err
	}
	if err := cbor.Unmarshal(data, &id); err != nil {
		return id, result.Wrapf(err, result.StorageCorrupt, "decode %s", identityFile)
	}
	return id, nil
}

// writeIdentity makes the identity durable before the log is created, so that
// no folder has a log without an identity.
func writeIdentity(folder vfs.FS, id identity) error {
	data, err := cbor.Marshal(id)
	if err != nil {
		return result.Wrapf(err, result.Internal, "encode %s", identityFile)
	}
	return replaceFile(folder, identityFile, data)
}

// bootstrap returns the initial configuration of the log, or nil for a folder
// that joins an existing group.
func (id identity) bootstrap() *raft.Configuration {
	if len(id.InitialVoters) == 0 {
		return nil
	}
	return &raft.Configuration{Voters: id.InitialVoters}
}
