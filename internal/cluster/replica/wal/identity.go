package wal

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"io/fs"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"ospreypond/internal/cluster/consensus"
	"ospreypond/internal/store/vfs"
)

// The file of an identity: magic and version, the identity (gob), CRC-32C of all.
const (
	identityMagic = "OPIDEN\x00\x01"
	identityName  = "identity"
	damagedFolder = "damaged"
	lockName      = "lock"
)

// Identity is who a process is in its groups, for as long as its disk lasts. It is encoded by gob: the field names are
// the format on disk.
type Identity struct {
	ID    consensus.MemberID
	First []consensus.Member // the initial members of each group, if the process is one of them
}

// ReadIdentity returns the identity on disk, or nil without an error if there is none. A damaged file is a
// *DamageError.
func ReadIdentity(files vfs.FS, dir string) (*Identity, error) {
	content, err := vfs.ReadFile(files, filepath.Join(dir, identityName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the identity")
	}
	front := len(identityMagic)
	if len(content) < front+checksumSize || string(content[:front]) != identityMagic {
		return nil, &DamageError{File: identityName, Reason: "it is not an identity of a known version"}
	}
	body := content[:len(content)-checksumSize]
	if binary.LittleEndian.Uint32(content[len(body):]) != crc32.Checksum(body, castagnoli) {
		return nil, &DamageError{File: identityName, Reason: "its sum is wrong"}
	}
	identity := &Identity{}
	if err := gob.NewDecoder(bytes.NewReader(body[front:])).Decode(identity); err != nil {
		return nil, &DamageError{File: identityName, Offset: int64(front), Reason: err.Error()}
	}
	return identity, nil
}

// WriteIdentity writes the identity and syncs it and dir, which is created if it is missing.
func WriteIdentity(files vfs.FS, dir string, identity *Identity) error {
	if err := files.MkdirAll(dir); err != nil {
		return errors.Wrapf(err, "make folder %s", dir)
	}
	var content bytes.Buffer
	content.WriteString(identityMagic)
	if err := gob.NewEncoder(&content).Encode(identity); err != nil {
		return errors.Wrap(err, "encode the identity")
	}
	body := content.Bytes()
	body = binary.LittleEndian.AppendUint32(body, crc32.Checksum(body, castagnoli))
	if err := writeAtomically(files, dir, identityName, [][]byte{body}); err != nil {
		return errors.Wrap(err, "identity")
	}
	return nil
}

// Vacant reports whether dir has nothing that an earlier process left there. Only then may its process be an initial
// member.
func Vacant(files vfs.FS, dir string) (bool, error) {
	names, err := listFolder(files, dir)
	if err != nil {
		return false, err
	}
	for _, name := range names {
		if name != lockName && name != identityName+temporarySuffix {
			return false, nil
		}
	}
	return true, nil
}

// listFolder returns the names in dir, none if it is missing.
func listFolder(files vfs.FS, dir string) ([]string, error) {
	names, err := files.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return names, errors.Wrapf(err, "list %s", dir)
}

// MoveAside moves everything in dir to a folder below it, and removes what was moved there before. The identity is
// moved first: a log that is moved in part belongs to nobody.
func MoveAside(files vfs.FS, dir string) error {
	aside := filepath.Join(dir, damagedFolder)
	if err := files.MkdirAll(aside); err != nil {
		return errors.Wrapf(err, "make folder %s", aside)
	}
	if err := removeAll(files, aside); err != nil {
		return err
	}
	names, err := listFolder(files, dir)
	if err != nil {
		return err
	}
	if err := moveIdentity(files, dir, aside, names); err != nil {
		return err
	}
	for _, name := range names {
		if name == lockName || name == identityName {
			continue
		}
		if err := files.Rename(filepath.Join(dir, name), filepath.Join(aside, name)); err != nil {
			return errors.Wrapf(err, "move %s aside", name)
		}
	}
	return errors.Wrap(files.SyncDir(dir), "sync folder")
}

func moveIdentity(files vfs.FS, dir, aside string, names []string) error {
	if !slices.Contains(names, identityName) {
		return nil
	}
	if err := files.Rename(filepath.Join(dir, identityName), filepath.Join(aside, identityName)); err != nil {
		return errors.Wrap(err, "move the identity aside")
	}
	return errors.Wrap(files.SyncDir(dir), "sync folder")
}

func removeAll(files vfs.FS, dir string) error {
	names, err := listFolder(files, dir)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := files.Remove(filepath.Join(dir, name)); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}
