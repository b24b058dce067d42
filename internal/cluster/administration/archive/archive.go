// Package archive is a backup of a system in a file, and its way back into the folder of a new control process.
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

// Archive is the state of a system.
type Archive struct {
	MadeMs int64 // ms since 1970
	Shards []Shard
}

// Shard is the state of one shard.
type Shard struct {
	ID    uint32
	Index uint64 // of the newest entry that it holds
	Term  uint64 // of the owner that gave it
	Data  []byte // its state machine's snapshot
}

// A file: magic and version, the archive (gob), CRC-32C of all.
const (
	magic   = "OPBACK\x00\x01"
	sumSize = 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns a file's content.
func (a *Archive) Encode() ([]byte, error) {
	var content bytes.Buffer
	content.WriteString(magic)
	if err := gob.NewEncoder(&content).Encode(a); err != nil {
		return nil, errors.Wrap(err, "encode the backup")
	}
	body := content.Bytes()
	return binary.LittleEndian.AppendUint32(body, crc32.Checksum(body, castagnoli)), nil
}

// Decode reads a file's content.
func Decode(content []byte) (*Archive, error) {
	if len(content) < len(magic)+sumSize || string(content[:len(magic)]) != magic {
		return nil, errors.New("it is not a backup of a known version")
	}
	body := content[:len(content)-sumSize]
	if binary.LittleEndian.Uint32(content[len(body):]) != crc32.Checksum(body, castagnoli) {
		return nil, errors.New("it is damaged: its sum is wrong")
	}
	archive := &Archive{}
	if err := gob.NewDecoder(bytes.NewReader(body[len(magic):])).Decode(archive); err != nil {
		return nil, errors.Wrap(err, "it cannot be decoded")
	}
	return archive, nil
}

// Read reads a file.
func Read(path string) (*Archive, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	archive, err := Decode(content)
	return archive, errors.Wrap(err, path)
}

// Write writes a file whole or not at all, and makes sure that it is on disk. A file that is there is left alone.
func (a *Archive) Write(path string) error {
	content, err := a.Encode()
	if err != nil {
		return err
	}
	if _, err := os.Lstat(path); err == nil {
		return errors.Errorf("%s is there already", path)
	}
	temporary := path + ".new"
	if err := writeSynced(temporary, content); err != nil {
		_ = os.Remove(temporary)
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func writeSynced(path string, content []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	return err
}

func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}
