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

// The file of an identity has the magic, with the version of the format as its last byte; the identity, encoded by gob;
// and the CRC-32C of both.
const (
	identityMagic = "OPIDEN\x00\x01"
	identityName  = "identity"
	damagedFolder = "damaged" // where MoveAside moves files
	lockName      = "lock"    // the lock file, which belongs to the user of this package
)

// Identity identifies a process as a member of its groups. It is bound to the content of the disk: a process that has lost
// its disk must take another ID, because it no longer knows its votes and entries. Identity is encoded by gob, so the
// names of the fields are part of the format on disk.
type Identity struct {
	ID    consensus.MemberID
	First []consensus.Member // initial members of all groups; empty unless the process is an initial member
}

// ReadIdentity returns the identity on disk, or nil without an error if there is none. It returns a *DamageError if the
// file is damaged.
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
		return nil, &DamageError{File: identityName, Reason: "its checksum is wrong"}
	}
	identity := &Identity{}
	if err := gob.NewDecoder(bytes.NewReader(body[front:])).Decode(identity); err != nil {
		return nil, &DamageError{File: identityName, Offset: int64(front), Reason: err.Error()}
	}
	return identity, nil
}

// WriteIdentity writes the identity durably. It creates dir if that is missing.
func WriteIdentity(files vfs.FS, dir string, identity *Identity) error {
	if err := files.MkdirAll(dir); err != nil {
		return errors.Wrapf(err, "create folder %s", dir)
	}
	var content bytes.Buffer
	content.WriteString(identityMagic)
	if err := gob.NewEncoder(&content).Encode(identity); err != nil {
		return errors.Wrap(err, "encode the identity")
	}
	body := content.Bytes()
	body = binary.LittleEndian.AppendUint32(body, crc32.Checksum(body, castagnoli))
	if err := writeAtomically(files, dir, identityName, [][]byte{body}); err != nil {
		return errors.Wrap(err, "write the identity")
	}
	return nil
}

// Vacant reports whether dir has no file of an earlier process, or is missing. It ignores the lock and an identity that
// was never renamed into place. A process may become an initial member only if its dir is vacant: if dir has a log but no
// identity, an earlier process has already taken part in the groups under the lost identity.
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

// listFolder returns the names of the files in dir. There are none if dir is missing.
func listFolder(files vfs.FS, dir string) ([]string, error) {
	names, err := files.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return names, errors.Wrapf(err, "list %s", dir)
}

// MoveAside moves all files in dir except the lock to the folder "damaged" below it, so that an operator can look at
// them. It first removes the files that an earlier call moved there. The identity is moved first, durably: if the
// process ends halfway, no process can use the rest of the log under that identity.
func MoveAside(files vfs.FS, dir string) error {
	aside := filepath.Join(dir, damagedFolder)
	if err := files.MkdirAll(aside); err != nil {
		return errors.Wrapf(err, "create folder %s", aside)
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
			return errors.Wrapf(err, "move %s to folder damaged", name)
		}
	}
	return errors.Wrap(files.SyncDir(dir), "sync folder after moving the files of a damaged disk")
}

// moveIdentity moves the identity to the folder aside, if it is among the names, and syncs dir.
func moveIdentity(files vfs.FS, dir, aside string, names []string) error {
	if !slices.Contains(names, identityName) {
		return nil
	}
	if err := files.Rename(filepath.Join(dir, identityName), filepath.Join(aside, identityName)); err != nil {
		return errors.Wrap(err, "move the identity to folder damaged")
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
