// Package archive writes backups of a cluster to files, and restores them into the data folder of a new control process.
//
// A backup has the snapshot of each shard's state machine, with the index and the owner's term at that time. Each shard
// is consistent, but the shards' snapshots are taken at different times. A file is written completely or not at all, and
// a checksum shows damage to it.
package archive

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Archive is the content of a backup. It and Shard are encoded by gob: the field names are the format.
type Archive struct {
	MadeMs int64 // time of the backup, in ms since 1970
	Shards []Shard
}

// Shard is the state of one shard.
type Shard struct {
	ID    uint32
	Index uint64 // index of the newest log entry that Data includes
	Term  uint64 // term of the owner that encoded Data
	Data  []byte // snapshot of the shard's state machine
}

// A file has the magic, the Archive encoded by gob, and the CRC-32C of both in little-endian order.
const (
	magic        = "OPBACK\x00\x01" // the last byte is the version of the format
	checksumSize = 4                // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the content of a backup's file.
func (a *Archive) Encode() ([]byte, error) {
	var content bytes.Buffer
	content.WriteString(magic)
	if err := gob.NewEncoder(&content).Encode(a); err != nil {
		return nil, errors.Wrap(err, "encode the backup")
	}
	body := content.Bytes()
	return binary.LittleEndian.AppendUint32(body, crc32.Checksum(body, castagnoli)), nil
}

// Decode decodes the content of a backup's file. It fails if the content is damaged or of an unknown version.
func Decode(content []byte) (*Archive, error) {
	if len(content) < len(magic)+checksumSize || string(content[:len(magic)]) != magic {
		return nil, errors.New("it is not a backup of a known version")
	}
	body := content[:len(content)-checksumSize]
	if binary.LittleEndian.Uint32(content[len(body):]) != crc32.Checksum(body, castagnoli) {
		return nil, errors.New("it is damaged: its checksum is wrong")
	}
	archive := &Archive{}
	if err := gob.NewDecoder(bytes.NewReader(body[len(magic):])).Decode(archive); err != nil {
		return nil, errors.Wrap(err, "it cannot be decoded")
	}
	return archive, nil
}

// Read reads and decodes a backup's file. Errors name the file.
func Read(path string) (*Archive, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	archive, err := Decode(content)
	return archive, errors.Wrap(err, path)
}

// Write writes the backup to a new file and syncs it to disk. It fails if the file exists. The content is written to a
// temporary file first, which is renamed when it is complete.
func (a *Archive) Write(path string) error {
	content, err := a.Encode()
	if err != nil {
		return err
	}
	if _, err := os.Lstat(path); err == nil {
		return errors.Errorf("%s exists already", path)
	}
	temporary := path + ".new"
	if err := writeSynced(temporary, content); err != nil {
		_ = os.Remove(temporary)
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncDir(filepath.Dir(path))
}

// writeSynced writes a file and syncs its content.
func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDir syncs a folder, so that renames of its files survive a power failure.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = folder.Sync()
	if closeErr := folder.Close(); err == nil {
		err = closeErr
	}
	return err
}
